#include "tarragonsill/coordination/tarragonsill_restart_detector.hpp"

namespace tarragonsill {

void
RestartDetector::RecordLost(TimePoint aNow,
                            milliseconds aColdTime,
                            bool aIsRefused)
{
  bool const isSuspected = aNow < ColdUntil();
  mFirstLostAt = isSuspected ? mFirstLostAt : aNow;
  mIsRefused = aIsRefused || (isSuspected && mIsRefused);
  mLostAt = aNow;
  mRunningAt = {};
  mColdTime = aColdTime;
  mKnownTo.reset();
}

void
RestartDetector::RecordRunning(TimePoint aNow)
{
  if (mLostAt != TimePoint{} && mRunningAt == TimePoint{}) {
    mRunningAt = aNow;
  }
}

void
RestartDetector::RecordFlowAnswer(TimePoint aTrackedSince, TimePoint aDataSent)
{
  if (aTrackedSince < mFirstLostAt && aDataSent > mLostAt) {
    *this = {};
  }
}

void
RestartDetector::RecordCurrentState(TimePoint aAsOf, StorePosition aNewest)
{
  if (NeedsCurrentState() && aAsOf > mLostAt) {
    mKnownTo = aNewest;
  }
}

void
RestartDetector::RecordRegistration(StorePosition aPosition)
{
  if (mKnownTo && aPosition > *mKnownTo) {
    *this = {};
  }
}

TimePoint
RestartDetector::ColdUntil() const
{
  if (mLostAt == TimePoint{}) {
    return {};
  }
  return IsRunning() ? mRunningAt + mColdTime : TimePoint::max();
}

} // namespace tarragonsill
