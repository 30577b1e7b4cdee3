#include "tarragonsill_test.hpp"

#include "platform/tarragonsill_lab_network_lock.hpp"
#include "platform/tarragonsill_lab_soak.hpp"

using namespace tarragonsill;

namespace {

/// A number that no soak of the tests uses.
constexpr std::uint32_t kNetwork = 49;

} // namespace

TEST_GROUP(LabSoak){};

TEST(LabSoak, a_seed_that_draws_no_selected_fault_is_refused)
{
  Lab::SoakOptions options;
  options.mSeed = 6;
  options.mNetwork.mNumber = kNetwork;
  options.mFaultFilter.mOnly = { Lab::SoakFaultKind::StoreRollback };
  auto const report = Lab::RunSoak(options);
  CHECK_FALSE(report.HasValue());
  CHECK(report.LastReason().mCode == ReasonCode::Invalid);
  CHECK(report.LastReason().mText.find("seed 6 draws no fault") !=
        std::string::npos);
}

TEST(LabSoak, a_second_run_on_a_network_is_told_so_by_name)
{
  auto first = Lab::NetworkLock::Take(kNetwork);
  CHECK(first.HasValue());
  auto const second = Lab::NetworkLock::Take(kNetwork);
  CHECK_FALSE(second.HasValue());
  CHECK(second.LastReason().mText.find("network 49 is in use") !=
        std::string::npos);
}

TEST(LabSoak, a_network_is_free_once_its_run_has_ended)
{
  CHECK(Lab::NetworkLock::Take(kNetwork).HasValue());
  CHECK(Lab::NetworkLock::Take(kNetwork).HasValue());
}

TEST(LabSoak, a_soak_without_flows_or_answers_proves_nothing)
{
  Lab::SoakReport report;
  CHECK(report.FindMissingEvidence().has_value());
  report.mCallers.mOpened = 80;
  CHECK(report.FindMissingEvidence().has_value());
  report.mCallers.mAnswers = 1;
  CHECK_FALSE(report.FindMissingEvidence().has_value());
}
