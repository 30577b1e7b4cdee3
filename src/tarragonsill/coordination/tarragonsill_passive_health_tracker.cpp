#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"

#include <algorithm>

namespace tarragonsill {

std::string_view
ToText(UpstreamHealth aHealth)
{
  switch (aHealth) {
    case UpstreamHealth::Answering:
      return "answering";
    case UpstreamHealth::Doubtful:
      return "doubtful";
    case UpstreamHealth::Silent:
      return "silent";
    case UpstreamHealth::Unreachable:
      return "unreachable";
  }
  return "unknown";
}

void
PassiveHealthTracker::OpeningSent(TimePoint aNow)
{
  if (mOpeningSince == TimePoint{}) {
    mOpeningSince = aNow;
  }
}

void
PassiveHealthTracker::DataRepeated(TimePoint aNow,
                                   TimePoint aFirstSent,
                                   bool aIsFirstCopyOfFlow)
{
  mFirstCopyAt = mCopies == 0 ? aNow : mFirstCopyAt;
  mLastCopyAt = aNow;
  ++mCopies;
  mRepeatingFlows += aIsFirstCopyOfFlow ? 1 : 0;
  // Data that was sent before the last answer was overdue only from then on.
  auto const since = std::max(aFirstSent, mLastAnswer);
  mRepeatingSince =
    mRepeatingSince == TimePoint{} ? since : std::min(mRepeatingSince, since);
}

void
PassiveHealthTracker::Answered(TimePoint aNow)
{
  mLastAnswer = aNow;
  mOpeningSince = {};
  mRepeatingSince = {};
  mRepeatingFlows = 0;
  mCopies = 0;
  mIsOutOfReach = false;
}

void
PassiveHealthTracker::HandleLocalPause(TimePoint aNow)
{
  for (auto* since : { &mOpeningSince, &mRepeatingSince }) {
    if (*since != TimePoint{}) {
      *since = aNow;
    }
  }
  mRepeatingFlows = 0;
  mCopies = 0;
}

UpstreamHealth
PassiveHealthTracker::Health(TimePoint aNow) const
{
  if (mIsOutOfReach) {
    return UpstreamHealth::Unreachable;
  }
  bool const repeating = mRepeatingSince != TimePoint{} && mCopies > 0;
  if (repeating) {
    auto const silence = aNow - mRepeatingSince;
    bool const lives = mInReachAt > mRepeatingSince;
    bool const isLong = !lives || silence >= kSilentThoughInReach;
    bool const isChecked = aNow >= mFirstCopyAt + kCheckTime;
    bool const several =
      mRepeatingFlows >= kSilentFlows && silence >= kSilentAfter;
    bool const alone =
      mCopies >= kSilentAloneCopies && silence >= kSilentAloneAfter;
    bool const isRecent =
      !mEvidenceAges || aNow < mLastCopyAt + kRepeatsCountFor;
    bool const isSilent = isRecent && isLong && isChecked && (several || alone);
    return isSilent ? UpstreamHealth::Silent : UpstreamHealth::Doubtful;
  }
  bool const overdue =
    mOpeningSince != TimePoint{} && aNow >= mOpeningSince + kHandshakeTimeout;
  return overdue ? UpstreamHealth::Doubtful : UpstreamHealth::Answering;
}

bool
PassiveHealthTracker::IsProbeDue(TimePoint aNow) const
{
  if (mIsOutOfReach) {
    return false;
  }
  auto since = mLastProbe;
  for (auto const start : { mOpeningSince, mRepeatingSince }) {
    since = std::max(since, start);
  }
  return since != TimePoint{} && aNow >= since + kProbation;
}

} // namespace tarragonsill
