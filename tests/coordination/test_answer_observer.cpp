#include "support/cookie_fixture.hpp"

#include <random>

using namespace tarragonsill;
using namespace tarragonsill::Test;

TEST_GROUP(AnswerObserver)
{
  static constexpr std::uint64_t kKind = 1;
  AnswerObserver mObserver;
  TimePoint mNow = kStart;

  /// Records answers of upstreams 0, 1, ... in turn.
  void Answer(std::vector<milliseconds> const& aTimes, int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      for (std::uint32_t slot = 0; slot < aTimes.size(); ++slot) {
        mNow += milliseconds{ 10 };
        mObserver.RecordAnswer(mNow, kKind, slot, aTimes[slot]);
      }
    }
  }
};

TEST(AnswerObserver, times_are_relative_to_the_mean_of_the_zone)
{
  Answer({ milliseconds{ 10 }, milliseconds{ 20 }, milliseconds{ 40 } }, 20);
  for (std::uint32_t slot = 0; slot < 3; ++slot) {
    (void)mObserver.Take(slot);
  }
  Answer({ milliseconds{ 10 }, milliseconds{ 20 }, milliseconds{ 40 } }, 20);
  LONGS_EQUAL(20, mObserver.Take(0).mCount);
  DOUBLES_EQUAL(1.0, mObserver.Take(1).mRelativeTime, 0.05);
  DOUBLES_EQUAL(2.0, mObserver.Take(2).mRelativeTime, 0.1);
}

TEST(AnswerObserver, a_few_requests_that_take_far_longer_do_not_hide_the_speed)
{
  std::mt19937_64 random(7);
  std::bernoulli_distribution isLong(0.03);
  for (int round = 0; round < 400; ++round) {
    for (std::uint32_t slot = 0; slot < 3; ++slot) {
      mNow += milliseconds{ 5 };
      auto const time = milliseconds{ slot == 2 ? 34 : 14 };
      mObserver.RecordAnswer(
        mNow, kKind, slot, isLong(random) ? 7 * time : time);
    }
  }
  auto const fast = mObserver.Take(0).mRelativeTime;
  auto const slow = mObserver.Take(2).mRelativeTime;
  DOUBLES_EQUAL(34.0 / 14, slow / fast, 0.25);
}

TEST(AnswerObserver, the_first_answers_are_not_counted_as_nothing_is_usual_yet)
{
  Answer({ milliseconds{ 10 } }, static_cast<int>(AnswerObserver::kMinAnswers));
  LONGS_EQUAL(0, mObserver.Take(0).mCount);
}

TEST(AnswerObserver, an_upstream_in_a_reused_slot_begins_anew)
{
  Answer({ milliseconds{ 10 } }, 20);
  mObserver.Forget(0);
  LONGS_EQUAL(0, mObserver.Take(0).mCount);
}

TEST_GROUP_BASE(CookieObservations, CookieFixture){};

TEST(CookieObservations, only_upstreams_of_the_own_zone_in_use_are_reported)
{
  auto [flow, verdict] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, flow.Data(verdict.mCookie));
  auto const key =
    ProcessKey(mSteering.View().mUpstreams[verdict.mSlot].mRegistration);
  for (auto const& observation : mSteering.TakeObservations()) {
    CHECK(observation.mFlows > 0);
    LONGS_EQUAL(observation.mProcess == key ? 1 : 0, observation.mInProgress);
  }
}

TEST(CookieObservations, answers_are_reported_once)
{
  SampleFlow flow(CallerAt(mNextPort++));
  auto const verdict = CompleteRequest(flow);
  for (int request = 0; request < 20; ++request) {
    Answer(flow, verdict.mCookie);
  }
  auto const first = mSteering.TakeObservations();
  LONGS_EQUAL(1, first.size());
  CHECK(first.front().mAnswers > 0);
  LONGS_EQUAL(0, mSteering.TakeObservations().front().mAnswers);
}

TEST(CookieObservations, an_upstream_that_starts_again_begins_anew)
{
  auto [flow, verdict] = CompleteRequestAt("a2");
  for (int request = 0; request < 20; ++request) {
    Answer(flow, verdict.mCookie);
  }
  auto registration = SampleUpstream("a2", "a");
  auto const before = ProcessKey(registration);
  registration.mStartMark = 77;
  mStore.Register(mNow, registration);
  RefreshView();
  for (auto const& observation : mSteering.TakeObservations()) {
    CHECK(observation.mProcess != before);
    CHECK(observation.mProcess != ProcessKey(registration) ||
          observation.mAnswers == 0);
  }
}

TEST(CookieObservations, without_the_mechanism_nothing_is_reported_or_used)
{
  CookieSteering steering(1, Mechanisms::Without({ "load_reports" }).Take());
  steering.SetView(mStore.View(mNow));
  (void)steering.Steer(mNow, SampleFlow(CallerAt(mNextPort++)).Opening());
  CHECK(steering.TakeObservations().empty());
  auto loads = std::make_shared<SharedLoads>();
  loads->mReporters = 3;
  steering.SetSharedLoads(loads);
  LONGS_EQUAL(0, steering.SharedLoads()->mReporters);
}
