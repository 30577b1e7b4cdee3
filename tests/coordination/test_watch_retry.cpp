#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr milliseconds kTick{ 50 };

} // namespace

/// The patterns *store outage* and *refused watcher*: every call fails for a
/// while, and every call, also a refused one, has a price.
TEST_GROUP(WatchRetry)
{
  WatchRetry mRetry{ 7 };

  void FailAll(TimePoint aNow, WatchRetry::Backoff const& aBackoff)
  {
    for (auto const kind : kObjectKinds) {
      mRetry.RecordFailure(aNow, kind, aBackoff);
    }
  }

  /// Calls within a time in which the store refuses all.
  int CallsIn(milliseconds aTime, WatchRetry::Backoff const& aBackoff)
  {
    FailAll(kStart, aBackoff);
    int calls = 0;
    for (auto now = kStart; now < kStart + aTime; now += kTick) {
      for (auto const kind : mRetry.Due(now)) {
        ++calls;
        mRetry.RecordFailure(now, kind, aBackoff);
      }
    }
    return calls;
  }
};

TEST(WatchRetry, one_watch_finds_out_for_the_others_during_an_outage)
{
  // Six seconds at 0.4 to 0.8 s and some quick calls at first, where three
  // watches of their own at 0.2 to 0.4 s made about sixty.
  CHECK(CallsIn(milliseconds{ 6000 }, WatchRetry::kUrgent) <= 20);
}

TEST(WatchRetry, a_refused_watcher_whose_peers_know_what_is_new_calls_seldom)
{
  CHECK(CallsIn(milliseconds{ 9000 }, WatchRetry::kRelaxed) <= 15);
}

TEST(WatchRetry, the_others_go_on_at_once_when_the_scout_is_answered)
{
  FailAll(kStart, WatchRetry::kUrgent);
  auto const now = kStart + kTick;
  auto const first = mRetry.Due(now);
  LONGS_EQUAL(1, first.size());
  mRetry.RecordAnswer(now, first.front());
  LONGS_EQUAL(2, mRetry.Due(now).size());
  CHECK(mRetry.Due(now + seconds{ 10 }).empty());
}

TEST(WatchRetry, the_stores_return_is_noticed_within_a_second)
{
  (void)CallsIn(milliseconds{ 20000 }, WatchRetry::kUrgent);
  bool isTried = false;
  auto const back = kStart + seconds{ 20 };
  for (auto now = back; now < back + seconds{ 1 }; now += kTick) {
    isTried = isTried || !mRetry.Due(now).empty();
  }
  CHECK(isTried);
}

TEST(WatchRetry, a_watch_that_fails_alone_is_tried_again_soon)
{
  mRetry.RecordAnswer(kStart, ObjectKind::Configuration);
  mRetry.RecordFailure(kStart, ObjectKind::Upstreams, WatchRetry::kUrgent);
  mRetry.RecordAnswer(kStart, ObjectKind::Evacuations);
  auto const due = mRetry.Due(kStart + milliseconds{ 50 });
  LONGS_EQUAL(1, due.size());
  CHECK(due.front() == ObjectKind::Upstreams);
}

TEST(WatchRetry, a_scout_that_is_never_answered_does_not_hold_up_the_others)
{
  FailAll(kStart, WatchRetry::kUrgent);
  mRetry.RecordFailure(kStart, ObjectKind::Configuration, WatchRetry::kUrgent);
  auto const due = mRetry.Due(kStart + WatchRetry::kFollowerDelay);
  LONGS_EQUAL(3, due.size());
}

TEST(WatchRetry, nothing_is_due_after_a_reset)
{
  FailAll(kStart, WatchRetry::kUrgent);
  mRetry.Reset();
  CHECK(mRetry.Due(kStart + seconds{ 60 }).empty());
}
