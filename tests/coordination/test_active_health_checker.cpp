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

  std::vector<std::uint32_t> Begin(TimePoint aNow)
  {
    return mChecker.Begin(aNow, mLoads);
  }

  /// Answers all checks of a round: some slots one way, the others another.
  std::vector<std::uint32_t> Answer(std::vector<std::uint32_t> const& aSlots,
                                    std::set<std::uint32_t> const& aThese,
                                    ConnectResult aTheirs,
                                    ConnectResult aOthers)
  {
    std::vector<std::uint32_t> lost;
    for (auto const slot : aSlots) {
      auto const result = aThese.count(slot) > 0 ? aTheirs : aOthers;
      lost = mChecker.Take(kStart, slot, result, mLoads);
    }
    for (auto const slot : lost) {
      mLoads[slot].mPassiveHealth.RecordUnreachable(kStart);
    }
    return lost;
  }
};

TEST(ActiveHealthChecker, nothing_is_checked_without_a_doubt)
{
  mChecker.Review(kStart, mView, mLoads);
  LONGS_EQUAL(0, Begin(kStart).size());
}

TEST(ActiveHealthChecker, a_refused_connection_proves_that_nothing_listens)
{
  mChecker.Doubt(2);
  auto const slots = Begin(kStart);
  LONGS_EQUAL(2, slots.size());
  auto const lost =
    Answer(slots, { 2 }, ConnectResult::Refused, ConnectResult::Accepted);
  LONGS_EQUAL(1, lost.size());
  LONGS_EQUAL(2, lost.front());
}

TEST(ActiveHealthChecker, silence_counts_only_while_another_upstream_answers)
{
  mChecker.Doubt(2);
  auto const lost = Answer(
    Begin(kStart), { 2 }, ConnectResult::NoAnswer, ConnectResult::Accepted);
  LONGS_EQUAL(1, lost.size());
  // Nothing answers: the VM's own link is the one that fails.
  mChecker.Doubt(3);
  LONGS_EQUAL(
    0,
    Answer(Begin(kStart), {}, ConnectResult::NoAnswer, ConnectResult::NoAnswer)
      .size());
}

TEST(ActiveHealthChecker, an_upstream_that_answers_meanwhile_is_in_reach)
{
  mChecker.Doubt(2);
  auto const slots = Begin(kStart);
  mLoads[2].mPassiveHealth.RecordAnswer(kStart + milliseconds{ 10 });
  LONGS_EQUAL(
    0,
    Answer(slots, { 2 }, ConnectResult::Refused, ConnectResult::Accepted)
      .size());
}

TEST(ActiveHealthChecker,
     one_that_is_lost_makes_the_silent_ones_with_flows_suspect)
{
  mChecker.Doubt(2);
  (void)Answer(
    Begin(kStart), { 2 }, ConnectResult::Refused, ConnectResult::Accepted);
  mLoads[4].mFlows = 1;
  mLoads[5].mFlows = 1;
  mLoads[5].mPassiveHealth.RecordAnswer(kStart);
  mChecker.Review(kStart, mView, mLoads);
  auto const slots = Begin(kStart);
  auto const has = [&](std::uint32_t aSlot) {
    return std::count(slots.begin(), slots.end(), aSlot) > 0;
  };
  CHECK(has(4));
  // It answered just now; it may only be the witness.
  CHECK(slots.back() == 5 || !has(5));
}

TEST(ActiveHealthChecker, checks_of_an_upstream_keep_pauses_that_grow)
{
  std::size_t checks = 0;
  for (int step = 0; step < 100; ++step) {
    mChecker.Doubt(2);
    auto const slots = Begin(kStart + milliseconds{ 100 } * step);
    checks += slots.empty() ? 0 : 1;
    (void)Answer(slots, {}, ConnectResult::NoAnswer, ConnectResult::NoAnswer);
  }
  // At 0, 0.5, 1.5, 3.5 and 7.5 s.
  LONGS_EQUAL(5, checks);
}

TEST(ActiveHealthChecker, a_round_is_bounded)
{
  mLoads.resize(500);
  for (std::uint32_t slot = 0; slot < 500; ++slot) {
    mChecker.Doubt(slot);
  }
  LONGS_EQUAL(ActiveHealthChecker::kMaxAtOnce, Begin(kStart).size());
}

TEST(ActiveHealthChecker, a_vm_that_loses_half_of_its_packets_seldom_errs)
{
  // Every check makes two connections; either is lost with its first packet.
  std::mt19937_64 random(20261204);
  std::bernoulli_distribution isLost(0.5);
  int errors = 0;
  constexpr int kRounds = 2000;
  for (int round = 0; round < kRounds; ++round) {
    mChecker = {};
    mChecker.Doubt(2);
    std::vector<std::uint32_t> lost;
    for (auto const slot : Begin(kStart)) {
      bool const isNone = isLost(random) && isLost(random);
      lost = mChecker.Take(kStart,
                           slot,
                           isNone ? ConnectResult::NoAnswer
                                  : ConnectResult::Accepted,
                           mLoads);
    }
    errors += lost.empty() ? 0 : 1;
  }
  // A quarter of the checks fail, three quarters of them with a witness.
  CHECK(errors < kRounds / 4);
}

TEST(ActiveHealthChecker, whatever_takes_a_connection_is_never_out_of_reach)
{
  CheckProperty("in reach", [this](std::vector<std::uint8_t> const& aAnswers) {
    ActiveHealthChecker checker;
    for (std::uint32_t slot = 0; slot < kUpstreams; ++slot) {
      checker.Doubt(slot);
    }
    std::vector<std::uint32_t> lost;
    std::set<std::uint32_t> accepted;
    std::size_t next = 0;
    for (auto const slot : checker.Begin(kStart, mLoads)) {
      auto const draw = next < aAnswers.size() ? aAnswers[next++] % 3 : 0;
      auto const result = static_cast<ConnectResult>(draw);
      if (result == ConnectResult::Accepted) {
        accepted.insert(slot);
      }
      lost = checker.Take(kStart, slot, result, mLoads);
    }
    for (auto const slot : lost) {
      RC_ASSERT(accepted.count(slot) == 0);
    }
  });
}
