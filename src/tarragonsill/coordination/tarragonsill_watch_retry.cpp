#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// More doublings than any pause needs.
constexpr int kMaxDoublings = 10;

} // namespace

void
WatchRetry::Answered(TimePoint aNow, ObjectKind aKind)
{
  Of(aKind) = {};
  if (mScout != aKind) {
    return;
  }
  mScout.reset();
  for (auto& kind : mKinds) {
    if (kind.mRetryAt) {
      kind.mRetryAt = std::min(*kind.mRetryAt, aNow);
    }
  }
}

void
WatchRetry::Failed(TimePoint aNow, ObjectKind aKind, Backoff const& aBackoff)
{
  mScout = mScout.value_or(aKind);
  auto& kind = Of(aKind);
  if (mHasScout && mScout != aKind) {
    kind.mRetryAt = aNow + kFollowerPause;
    return;
  }
  auto const doublings = std::min(kind.mFailures++, kMaxDoublings);
  auto const longest =
    std::min(aBackoff.mMax, aBackoff.mMin * (1 << doublings));
  std::uniform_int_distribution<milliseconds::rep> draw(longest.count() / 2,
                                                        longest.count());
  kind.mRetryAt = aNow + milliseconds{ draw(mRandom) };
}

std::vector<ObjectKind>
WatchRetry::Due(TimePoint aNow)
{
  std::vector<ObjectKind> due;
  for (auto const kind : kObjectKinds) {
    auto& retryAt = Of(kind).mRetryAt;
    if (!retryAt || aNow < *retryAt) {
      continue;
    }
    retryAt.reset();
    due.push_back(kind);
  }
  return due;
}

void
WatchRetry::Reset()
{
  mKinds = {};
  mScout.reset();
}

} // namespace tarragonsill
