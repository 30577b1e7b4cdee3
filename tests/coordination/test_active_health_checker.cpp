#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"

#include <algorithm>
#include <random>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr std::uint32_t kUpstreams = 6;

} // namespace

TEST_GROUP(ActiveHealthChecker)
{
  ActiveHealthChecker mChecker;
  RoutingView mView;
  std::vector<UpstreamLoad> mLoads{ kUpstreams };

  void setup() override
  {
    mView.mUpstreams.resize(kUpstreams);
    for (auto& upstream : mView.mUpstreams) {
      upstream.mAvailability = UpstreamAvailability::Serving;
    }
    for (auto& load : mLoads) {
      load.mPassiveHealth.RecordAnswer(kStart - seconds{ 1 });
    }
  }

  /// Records that a caller's request at an upstream gets no answer.
  void RecordRetransmission(std::uint32_t aSlot)
  {
    mLoads[aSlot].mPassiveHealth.RecordRetransmission(
      kStart, kStart - milliseconds{ 200 }, true);
  }

  std::vector<std::uint32_t> StartRound(TimePoint aNow)
  {
    return mChecker.StartRound(aNow, mLoads);
  }

  /// Completes a round: the selected slots have one result, all others another.
  std::vector<std::uint32_t> FinishRound(
    std::vector<std::uint32_t> const& aSlots,
    std::set<std::uint32_t> const& aSelected,
    ConnectResult aSelectedResult,
    ConnectResult aOtherResult)
  {
    std::vector<std::uint32_t> unreachable;
    for (auto const slot : aSlots) {
      auto const result =
        aSelected.count(slot) > 0 ? aSelectedResult : aOtherResult;
      unreachable = mChecker.HandleResult(kStart, slot, result, mLoads);
    }
    for (auto const slot : unreachable) {
      mLoads[slot].mPassiveHealth.RecordUnreachable();
    }
    return unreachable;
  }
};

TEST(ActiveHealthChecker, healthy_upstreams_are_not_probed)
{
  mChecker.ReviewUpstreams(kStart, mView, mLoads);
  LONGS_EQUAL(0, StartRound(kStart).size());
}

TEST(ActiveHealthChecker, an_upstream_that_refuses_a_connection_is_unreachable)
{
  mChecker.RequestProbe(2);
  auto const slots = StartRound(kStart);
  LONGS_EQUAL(2, slots.size());
  auto const unreachable =
    FinishRound(slots, { 2 }, ConnectResult::Refused, ConnectResult::Accepted);
  LONGS_EQUAL(1, unreachable.size());
  LONGS_EQUAL(2, unreachable.front());
}

TEST(ActiveHealthChecker,
     an_unanswered_probe_counts_only_if_another_upstream_answers)
{
  RecordRetransmission(2);
  RecordRetransmission(3);
  mChecker.RequestProbe(2);
  auto const unreachable = FinishRound(StartRound(kStart),
                                       { 2 },
                                       ConnectResult::NoAnswer,
                                       ConnectResult::Accepted);
  LONGS_EQUAL(1, unreachable.size());
  // If no upstream answers, the VM's own link has failed.
  mChecker.RequestProbe(3);
  LONGS_EQUAL(
    0,
    FinishRound(
      StartRound(kStart), {}, ConnectResult::NoAnswer, ConnectResult::NoAnswer)
      .size());
}

TEST(ActiveHealthChecker,
     an_upstream_that_answers_a_caller_meanwhile_is_reachable)
{
  mChecker.RequestProbe(2);
  auto const slots = StartRound(kStart);
  mLoads[2].mPassiveHealth.RecordAnswer(kStart + milliseconds{ 10 });
  LONGS_EQUAL(
    0,
    FinishRound(slots, { 2 }, ConnectResult::Refused, ConnectResult::Accepted)
      .size());
}

/// Failure pattern *lapse of many registrations at once*: every VM of a zone
/// probes the upstreams of its idle flows at the same moment, and a busy
/// upstream's queue of new connections drops all of them.
TEST(ActiveHealthChecker,
     one_unanswered_probe_is_no_proof_without_a_callers_evidence)
{
  mChecker.RequestProbe(2);
  LONGS_EQUAL(0,
              FinishRound(StartRound(kStart),
                          { 2 },
                          ConnectResult::NoAnswer,
                          ConnectResult::Accepted)
                .size());
  // The probe is repeated without another request, and accepted.
  auto const later = kStart + ActiveHealthChecker::kMinBackoff;
  auto const slots = StartRound(later);
  CHECK(std::count(slots.begin(), slots.end(), 2) == 1);
  std::vector<std::uint32_t> unreachable;
  for (auto const slot : slots) {
    unreachable =
      mChecker.HandleResult(later, slot, ConnectResult::Accepted, mLoads);
  }
  LONGS_EQUAL(0, unreachable.size());
}

TEST(ActiveHealthChecker, a_second_unanswered_probe_confirms_the_first)
{
  mChecker.RequestProbe(2);
  (void)FinishRound(StartRound(kStart),
                    { 2 },
                    ConnectResult::NoAnswer,
                    ConnectResult::Accepted);
  auto const later = kStart + ActiveHealthChecker::kMinBackoff;
  std::vector<std::uint32_t> unreachable;
  for (auto const slot : StartRound(later)) {
    unreachable = mChecker.HandleResult(later,
                                        slot,
                                        slot == 2 ? ConnectResult::NoAnswer
                                                  : ConnectResult::Accepted,
                                        mLoads);
  }
  LONGS_EQUAL(1, unreachable.size());
}

TEST(ActiveHealthChecker, silent_upstreams_with_flows_get_follow_up_probes)
{
  mChecker.RequestProbe(2);
  (void)FinishRound(
    StartRound(kStart), { 2 }, ConnectResult::Refused, ConnectResult::Accepted);
  mLoads[4].mFlows = 1;
  mLoads[5].mFlows = 1;
  mLoads[5].mPassiveHealth.RecordAnswer(kStart);
  mChecker.ReviewUpstreams(kStart, mView, mLoads);
  auto const slots = StartRound(kStart);
  auto const has = [&](std::uint32_t aSlot) {
    return std::count(slots.begin(), slots.end(), aSlot) > 0;
  };
  CHECK(has(4));
  // Upstream 5 has just answered, so it can only be the reference upstream.
  CHECK(slots.back() == 5 || !has(5));
}

TEST(ActiveHealthChecker, failed_probes_of_an_upstream_back_off)
{
  std::size_t rounds = 0;
  for (int step = 0; step < 100; ++step) {
    mChecker.RequestProbe(2);
    auto const slots = StartRound(kStart + milliseconds{ 100 } * step);
    rounds += slots.empty() ? 0 : 1;
    (void)FinishRound(
      slots, {}, ConnectResult::NoAnswer, ConnectResult::NoAnswer);
  }
  // At 0, 0.5, 1.5, 3.5 and 7.5 s.
  LONGS_EQUAL(5, rounds);
}

TEST(ActiveHealthChecker, the_number_of_probes_in_a_round_is_limited)
{
  mLoads.resize(500);
  for (std::uint32_t slot = 0; slot < 500; ++slot) {
    mChecker.RequestProbe(slot);
  }
  LONGS_EQUAL(ActiveHealthChecker::kMaxProbesPerRound,
              StartRound(kStart).size());
}

TEST(ActiveHealthChecker, false_alarms_are_rare_at_fifty_percent_packet_loss)
{
  // Each probe attempts to connect twice; an attempt fails if its first packet
  // is lost.
  std::mt19937_64 random(20261204);
  std::bernoulli_distribution loseAttempt(0.5);
  int falseAlarms = 0;
  RecordRetransmission(2);
  constexpr int kRounds = 2000;
  for (int round = 0; round < kRounds; ++round) {
    mChecker = {};
    mChecker.RequestProbe(2);
    std::vector<std::uint32_t> unreachable;
    for (auto const slot : StartRound(kStart)) {
      bool const isUnanswered = loseAttempt(random) && loseAttempt(random);
      unreachable = mChecker.HandleResult(
        kStart,
        slot,
        isUnanswered ? ConnectResult::NoAnswer : ConnectResult::Accepted,
        mLoads);
    }
    falseAlarms += unreachable.empty() ? 0 : 1;
  }
  // A quarter of the probes fail; in three quarters of these rounds the
  // reference upstream accepts.
  CHECK(falseAlarms < kRounds / 4);
}

TEST(ActiveHealthChecker, an_upstream_whose_process_runs_is_never_unreachable)
{
  CheckProperty("running upstreams are reachable",
                [this](std::vector<std::uint8_t> const& aDraws) {
                  ActiveHealthChecker checker;
                  for (std::uint32_t slot = 0; slot < kUpstreams; ++slot) {
                    checker.RequestProbe(slot);
                  }
                  std::vector<std::uint32_t> unreachable;
                  std::set<std::uint32_t> running;
                  std::size_t next = 0;
                  for (auto const slot : checker.StartRound(kStart, mLoads)) {
                    auto const draw =
                      next < aDraws.size() ? aDraws[next++] % 4 : 0;
                    auto const result = static_cast<ConnectResult>(draw);
                    if (IsRunning(result)) {
                      running.insert(slot);
                    }
                    unreachable =
                      checker.HandleResult(kStart, slot, result, mLoads);
                  }
                  for (auto const slot : unreachable) {
                    RC_ASSERT(running.count(slot) == 0);
                  }
                });
}
