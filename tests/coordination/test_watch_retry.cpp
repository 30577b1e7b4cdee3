#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr milliseconds kTick{ 50 };

} // namespace

/// The failure patterns *store outage* and *refused watcher*: all calls fail
/// for some time, and each call has a cost, even if it is refused.
TEST_GROUP(WatchRetry)
{
  WatchRetry mRetry{ 7 };

  void FailAll(TimePoint aNow, WatchRetry::Backoff const& aBackoff)
  {
    for (auto const kind : kObjectKinds) {
      mRetry.RecordFailure(aNow, kind, aBackoff);
    }
  }

  /// Counts the calls within a time in which the store refuses all of them.
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

TEST(WatchRetry, only_the_lead_watch_retries_often_during_an_outage)
{
  // A few calls in quick succession, then one every 0.4 to 0.8 s. Three
  // independent watches that retry every 0.2 to 0.4 s make about sixty calls.
  CHECK(CallsIn(milliseconds{ 6000 }, WatchRetry::kUrgent) <= 20);
}

TEST(WatchRetry, a_refused_watcher_with_fresh_peers_retries_rarely)
{
  CHECK(CallsIn(milliseconds{ 9000 }, WatchRetry::kRelaxed) <= 15);
}

TEST(WatchRetry,
     the_other_watches_retry_at_once_when_the_lead_watch_is_answered)
{
  FailAll(kStart, WatchRetry::kUrgent);
  auto const now = kStart + kTick;
  auto const first = mRetry.Due(now);
  LONGS_EQUAL(1, first.size());
  mRetry.RecordAnswer(now, first.front());
  LONGS_EQUAL(2, mRetry.Due(now).size());
  CHECK(mRetry.Due(now + seconds{ 10 }).empty());
}

TEST(WatchRetry, the_recovery_of_the_store_is_detected_within_a_second)
{
  (void)CallsIn(milliseconds{ 20000 }, WatchRetry::kUrgent);
  bool isTried = false;
  auto const recovery = kStart + seconds{ 20 };
  for (auto now = recovery; now < recovery + seconds{ 1 }; now += kTick) {
    isTried = isTried || !mRetry.Due(now).empty();
  }
  CHECK(isTried);
}

TEST(WatchRetry, a_watch_that_fails_alone_is_retried_soon)
{
  mRetry.RecordAnswer(kStart, ObjectKind::Configuration);
  mRetry.RecordFailure(kStart, ObjectKind::Upstreams, WatchRetry::kUrgent);
  mRetry.RecordAnswer(kStart, ObjectKind::Evacuations);
  auto const due = mRetry.Due(kStart + milliseconds{ 50 });
  LONGS_EQUAL(1, due.size());
  CHECK(due.front() == ObjectKind::Upstreams);
}

TEST(WatchRetry, a_lead_watch_without_an_answer_does_not_block_the_others)
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
