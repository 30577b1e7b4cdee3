#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Keeps the shift in range; no delay needs as many doublings.
constexpr int kMaxDoublings = 10;

} // namespace

void
WatchRetry::RecordAnswer(TimePoint aNow, ObjectKind aKind)
{
  StateOf(aKind) = {};
  if (mLeadWatch != aKind) {
    return;
  }
  mLeadWatch.reset();
  for (auto& state : mStates) {
    if (state.mRetryAt) {
      state.mRetryAt = std::min(*state.mRetryAt, aNow);
    }
  }
}

void
WatchRetry::RecordFailure(TimePoint aNow,
                          ObjectKind aKind,
                          Backoff const& aBackoff)
{
  mLeadWatch = mLeadWatch.value_or(aKind);
  auto& state = StateOf(aKind);
  if (mUsesLeadWatch && mLeadWatch != aKind) {
    state.mRetryAt = aNow + kFollowerDelay;
    return;
  }
  auto const doublings = std::min(state.mFailures++, kMaxDoublings);
  auto const maxDelay =
    std::min(aBackoff.mMax, aBackoff.mMin * (1 << doublings));
  std::uniform_int_distribution<milliseconds::rep> draw(maxDelay.count() / 2,
                                                        maxDelay.count());
  state.mRetryAt = aNow + milliseconds{ draw(mRandom) };
}

std::vector<ObjectKind>
WatchRetry::Due(TimePoint aNow)
{
  std::vector<ObjectKind> due;
  for (auto const kind : kObjectKinds) {
    auto& retryAt = StateOf(kind).mRetryAt;
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
  mStates = {};
  mLeadWatch.reset();
}

} // namespace tarragonsill
