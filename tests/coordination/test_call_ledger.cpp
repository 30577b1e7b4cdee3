#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"
#include "tarragonsill/coordination/tarragonsill_call_ledger.hpp"
#include "tarragonsill/coordination/tarragonsill_slot_ledger.hpp"

using namespace tarragonsill;
using Test::kStart;

namespace {

constexpr seconds kHeldBeyondRetention{ 1000 };

CallResult
Answer(std::string aBody)
{
  CallResult result;
  result.mOutcome = CallOutcome::Answered;
  result.mBody = std::move(aBody);
  return result;
}

} // namespace

TEST_GROUP(CallLedger){};

TEST(CallLedger,
     a_repeated_attempt_gets_the_recorded_answer_without_another_run)
{
  CallLedger ledger({});
  CHECK(ledger.Begin(kStart, "c", 1, kHeldBeyondRetention) == CallVerdict::Run);
  CHECK(ledger.Begin(kStart, "c", 2, kHeldBeyondRetention) ==
        CallVerdict::InProgress);
  ledger.Finish("c", Answer("yes"));
  CHECK(ledger.Begin(kStart, "c", 2, kHeldBeyondRetention) ==
        CallVerdict::Recorded);
  STRCMP_EQUAL("yes", ledger.Outcome("c")->mBody.c_str());
}

TEST(CallLedger, a_call_that_was_not_run_may_be_retried)
{
  CallLedger ledger({});
  ledger.Begin(kStart, "c", 1, kHeldBeyondRetention);
  CallResult result;
  result.mOutcome = CallOutcome::NotRun;
  ledger.Finish("c", result);
  CHECK(ledger.Begin(kStart, "c", 1, kHeldBeyondRetention) == CallVerdict::Run);
}

TEST(CallLedger,
     a_home_newer_than_the_retention_does_not_run_a_repeated_attempt)
{
  CallLedger ledger({});
  CHECK(ledger.Begin(kStart, "c", 2, seconds{ 59 }) == CallVerdict::Uncertain);
  CHECK(ledger.Begin(kStart, "c", 2, seconds{ 60 }) == CallVerdict::Run);
}

TEST(CallLedger, a_query_leaves_a_tombstone_for_a_call_that_was_not_seen)
{
  CallLedger ledger({});
  CHECK(ledger.Query(kStart, "c", kHeldBeyondRetention) ==
        CallLedger::QueryVerdict::NotSeen);
  CHECK(ledger.Begin(kStart, "c", 1, kHeldBeyondRetention) ==
        CallVerdict::Tombstone);
}

TEST(CallLedger,
     a_home_newer_than_the_retention_is_uncertain_and_leaves_a_tombstone)
{
  CallLedger ledger({});
  CHECK(ledger.Query(kStart, "c", seconds{ 1 }) ==
        CallLedger::QueryVerdict::Uncertain);
  CHECK(ledger.Begin(kStart, "c", 1, kHeldBeyondRetention) ==
        CallVerdict::Tombstone);
}

TEST(CallLedger, memory_is_bounded_in_calls_and_in_bytes)
{
  CallLedger::Options options;
  options.mMaxCalls = 2;
  options.mMaxBodyBytes = 10;
  CallLedger ledger(options);
  ledger.Begin(kStart, "1", 1, kHeldBeyondRetention);
  ledger.Finish("1", Answer("12345678"));
  ledger.Begin(kStart, "2", 1, kHeldBeyondRetention);
  ledger.Finish("2", Answer("12345678"));
  CHECK(ledger.Outcome("2")->mOutcome == CallOutcome::Unknown);
  CHECK(ledger.Begin(kStart, "3", 1, kHeldBeyondRetention) ==
        CallVerdict::Full);
  ledger.Sweep(kStart + seconds{ 61 });
  LONGS_EQUAL(0, ledger.Size());
}

TEST(CallLedger, no_order_of_attempts_makes_a_call_run_twice)
{
  CheckProperty("at most once", [] {
    CallLedger ledger({});
    auto now = kStart;
    unsigned runs = 0;
    bool running = false;
    bool ended = false;
    auto const steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
    for (auto const step : steps) {
      now += milliseconds{ 100 };
      switch (step) {
        case 0:
        case 1: {
          auto const attempt = step == 0 && runs == 0 ? 1U : 2U;
          if (ledger.Begin(now, "c", attempt, kHeldBeyondRetention) ==
              CallVerdict::Run) {
            RC_ASSERT(!ended);
            ++runs;
            running = true;
          }
          break;
        }
        case 2:
          if (running) {
            ledger.Finish("c", Answer("x"));
            running = false;
            ended = true;
          }
          break;
        case 3:
          ledger.Query(now, "c", kHeldBeyondRetention);
          break;
        default:
          ledger.Sweep(now);
      }
      RC_ASSERT(runs <= 1U);
    }
  });
}

TEST_GROUP(SlotLedger)
{
  Configuration mConfiguration =
    Test::MakeConfiguration({ { "a" }, 1, { 100, 4 }, { 100, 1 } });
  Endpoint mUpstream = mConfiguration.mServices.front().mUpstreams[0].mAddress;
  SlotLedger mLedger{ SlotLedger::Options{} };

  void ApplyLease(
    std::uint64_t aTerm, std::uint32_t aAdopted = 0, TimePoint aNow = kStart)
  {
    AdmissionLease lease;
    lease.mUpstream = mUpstream;
    lease.mUntil = aNow + seconds{ 2 };
    lease.mCeiling = { 100, 4 };
    lease.mTerm = aTerm;
    lease.mAdoptedWork = { 0, aAdopted };
    mLedger.Apply(aNow, mConfiguration, { lease });
  }

  /// Completes enough calls for the upstream to become warm.
  void WarmUp()
  {
    for (int call = 0; call < 24; ++call) {
      mLedger.Admit(kStart, mUpstream, 0);
      mLedger.Answered(mUpstream);
    }
  }
};

TEST(SlotLedger, without_a_lease_nothing_is_admitted)
{
  mLedger.Apply(kStart, mConfiguration, {});
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::NoLease);
  ApplyLease(1);
  CHECK(mLedger.Admit(kStart + seconds{ 2 }, mUpstream, 0) ==
        SlotAdmission::NoLease);
}

TEST(SlotLedger, slots_of_a_cold_upstream_grow_with_answers)
{
  ApplyLease(1);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Admitted);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Cold);
  mLedger.Answered(mUpstream);
  WarmUp();
  for (int call = 0; call < 4; ++call) {
    CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Admitted);
  }
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::NoSlot);
}

TEST(SlotLedger, the_last_slot_is_reserved_for_calls_of_priority_0)
{
  ApplyLease(1);
  WarmUp();
  for (int call = 0; call < 3; ++call) {
    CHECK(mLedger.Admit(kStart, mUpstream, 1) == SlotAdmission::Admitted);
  }
  CHECK(mLedger.Admit(kStart, mUpstream, 1) == SlotAdmission::NoSlot);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Admitted);
}

TEST(SlotLedger, a_refusal_restarts_the_ramp_up)
{
  ApplyLease(1);
  WarmUp();
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Admitted);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Admitted);
  mLedger.Refused(mUpstream);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::Cold);
}

TEST(SlotLedger, calls_of_an_earlier_owner_occupy_slots_for_the_max_call_time)
{
  ApplyLease(1, 4);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::NoSlot);
  auto const later = kStart + seconds{ 11 };
  ApplyLease(1, 4, later);
  CHECK(mLedger.Admit(later, mUpstream, 0) == SlotAdmission::Admitted);
}

TEST(SlotLedger, a_cancelled_call_occupies_its_slot_for_the_grace_time)
{
  ApplyLease(1);
  mLedger.Admit(kStart, mUpstream, 0);
  mLedger.Cancelled(kStart, mUpstream);
  LONGS_EQUAL(1, mLedger.Used(kStart, mUpstream));
  LONGS_EQUAL(0, mLedger.Used(kStart + seconds{ 1 }, mUpstream));
}

TEST(SlotLedger, a_draining_upstream_gets_no_call)
{
  mConfiguration.mServices.front().mUpstreams[0].mState =
    UpstreamAdminState::Draining;
  ApplyLease(1);
  CHECK(mLedger.Admit(kStart, mUpstream, 0) == SlotAdmission::NotServing);
}

TEST(CallLedger,
     a_last_attempt_that_was_not_run_leaves_earlier_attempts_unknown)
{
  // The first attempt got no answer, or a later one reached a VM that is cut
  // off from the call's home.
  constexpr auto kNotRun = CallOutcome::NotRun;
  CHECK(OverallOutcome(kNotRun, false) == kNotRun);
  CHECK(OverallOutcome(kNotRun, true) == CallOutcome::Unknown);
  CHECK(OverallOutcome(CallOutcome::Answered, true) == CallOutcome::Answered);
}
