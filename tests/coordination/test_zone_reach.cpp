#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

} // namespace

TEST_GROUP(ZoneReach)
{
  ZoneReachReports mReports;
};

TEST(ZoneReach, a_vm_that_has_observed_nothing_follows_most_of_its_zone)
{
  CHECK_FALSE(mReports.IsSilent(kStart));
  mReports.RecordReport(kStart, "vm-1", ZoneReach::Silent);
  CHECK(mReports.IsSilent(kStart));
  mReports.RecordReport(kStart, "vm-2", ZoneReach::Answering);
  CHECK_FALSE(mReports.IsSilent(kStart));
  mReports.RecordReport(kStart, "vm-3", ZoneReach::Silent);
  CHECK(mReports.IsSilent(kStart));
}

TEST(ZoneReach, its_own_observation_outranks_reports)
{
  mReports.RecordReport(kStart, "vm-1", ZoneReach::Silent);
  mReports.SetOwn(ZoneReach::Answering);
  CHECK_FALSE(mReports.IsSilent(kStart));
  mReports.SetOwn(ZoneReach::Silent);
  mReports.RecordReport(kStart, "vm-1", ZoneReach::Answering);
  CHECK(mReports.IsSilent(kStart));
}

TEST(ZoneReach, a_vm_does_not_report_what_it_took_from_others)
{
  mReports.RecordReport(kStart, "vm-1", ZoneReach::Silent);
  CHECK(mReports.IsSilent(kStart));
  CHECK(mReports.Own() == ZoneReach::Unknown);
}

TEST(ZoneReach, reports_expire_and_unknown_ones_do_not_count)
{
  mReports.RecordReport(kStart, "vm-1", ZoneReach::Silent);
  mReports.RecordReport(kStart, "vm-2", ZoneReach::Unknown);
  CHECK(mReports.IsSilent(kStart));
  CHECK_FALSE(mReports.IsSilent(kStart + ZoneReachReports::kReportMaxAge));
}
