#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_outbound_reach.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr auto kMaxAge = ZoneReachReports::kReportMaxAge;

} // namespace

/// The pattern: nothing gets out of an evacuated zone, while messages from
/// other zones still arrive.
TEST_GROUP(OutboundReach)
{
  OutboundReachDetector mDetector{ 0 };
  OutboundReachReports mReports;

  void CheckAfter(ZoneReach aExpected, std::vector<ZoneReach> const& aZones)
  {
    mDetector.Update(aZones);
    CHECK(aExpected == mDetector.Reach());
  }
};

TEST(OutboundReach, is_lost_only_if_each_other_zone_is_silent)
{
  CheckAfter(ZoneReach::Unknown, {});
  CheckAfter(ZoneReach::Unknown, { ZoneReach::Silent, ZoneReach::Unknown });
  CheckAfter(ZoneReach::Answering, { ZoneReach::Silent, ZoneReach::Answering });
  CheckAfter(ZoneReach::Silent, { ZoneReach::Silent, ZoneReach::Silent });
}

TEST(OutboundReach, once_lost_only_an_answer_ends_that)
{
  CheckAfter(ZoneReach::Silent, { ZoneReach::Silent });
  CheckAfter(ZoneReach::Silent, { ZoneReach::Unknown, ZoneReach::Unknown });
  CheckAfter(ZoneReach::Answering,
             { ZoneReach::Unknown, ZoneReach::Answering });
  CheckAfter(ZoneReach::Unknown, { ZoneReach::Silent, ZoneReach::Unknown });
}

TEST(OutboundReach, without_another_zone_in_use_nothing_is_lost)
{
  CheckAfter(ZoneReach::Silent, { ZoneReach::Silent });
  CheckAfter(ZoneReach::Unknown, {});
}

TEST(OutboundReach, one_probe_per_period_is_due_while_it_is_lost)
{
  CHECK_FALSE(mDetector.TakeProbeTurn(kStart).has_value());
  mDetector.Update({ ZoneReach::Silent });
  auto const first = mDetector.TakeProbeTurn(kStart);
  CHECK(first.has_value());
  CHECK_FALSE(mDetector.TakeProbeTurn(kStart).has_value());
  auto const second =
    mDetector.TakeProbeTurn(kStart + OutboundReachDetector::kProbePeriod);
  CHECK_EQUAL(*first + 1, *second);
}

TEST(OutboundReach, upstreams_that_answer_nobody_are_no_fault_of_the_link)
{
  mReports.SetOwn(kStart, "vm-1", ZoneReach::Silent);
  CHECK_FALSE(mReports.IsLost(kStart));
  mReports.RecordOtherZone(kStart, ZoneReach::Unknown);
  mReports.RecordOtherZone(kStart, ZoneReach::Silent);
  CHECK_FALSE(mReports.IsLost(kStart));
  mReports.RecordOtherZone(kStart, ZoneReach::Answering);
  CHECK(mReports.IsLost(kStart));
  mReports.SetOwn(kStart + kMaxAge, "vm-1", ZoneReach::Silent);
  CHECK_FALSE(mReports.IsLost(kStart + kMaxAge));
}

TEST(OutboundReach, most_vms_of_the_zone_decide_for_all)
{
  mReports.RecordOtherZone(kStart, ZoneReach::Answering);
  mReports.RecordZonePeer(kStart, "vm-2", ZoneReach::Silent);
  CHECK(mReports.IsLost(kStart)); // This VM has observed nothing.
  mReports.SetOwn(kStart, "vm-1", ZoneReach::Answering);
  CHECK_FALSE(mReports.IsLost(kStart));
  mReports.RecordZonePeer(kStart, "vm-3", ZoneReach::Silent);
  CHECK(mReports.IsLost(kStart));
  mReports.RecordZonePeer(kStart, "vm-3", ZoneReach::Answering);
  CHECK_FALSE(mReports.IsLost(kStart));
}

TEST(OutboundReach, reports_of_older_programs_do_not_count)
{
  mReports.RecordOtherZone(kStart, ZoneReach::Answering);
  mReports.RecordZonePeer(kStart, "old-1", ZoneReach::Unknown);
  mReports.RecordZonePeer(kStart, "old-2", ZoneReach::Unknown);
  CHECK_FALSE(mReports.IsLost(kStart));
  mReports.SetOwn(kStart, "vm-1", ZoneReach::Silent);
  CHECK(mReports.IsLost(kStart));
}
