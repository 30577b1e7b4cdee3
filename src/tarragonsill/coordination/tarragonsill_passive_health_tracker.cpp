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
PassiveHealthTracker::RecordOpening(TimePoint aNow)
{
  if (mUnansweredOpeningSince == TimePoint{}) {
    mUnansweredOpeningSince = aNow;
  }
}

void
PassiveHealthTracker::RecordRetransmission(TimePoint aNow,
                                           TimePoint aFirstSent,
                                           bool aIsFirstOfFlow)
{
  if (AreRetransmissionsExpired(aNow)) {
    mRetransmissions = 0;
    mRetransmittingFlows = 0;
    mUnansweredDataSince = {};
  }
  mFirstRetransmissionAt =
    mRetransmissions == 0 ? aNow : mFirstRetransmissionAt;
  mLastRetransmissionAt = aNow;
  ++mRetransmissions;
  mRetransmittingFlows += aIsFirstOfFlow ? 1 : 0;
  // For data sent before the last answer, the timeout starts at that answer.
  auto const since = std::max(aFirstSent, mLastAnswer);
  mUnansweredDataSince = mUnansweredDataSince == TimePoint{}
                           ? since
                           : std::min(mUnansweredDataSince, since);
}

void
PassiveHealthTracker::RecordAnswer(TimePoint aNow)
{
  mLastAnswer = aNow;
  mUnansweredOpeningSince = {};
  mUnansweredDataSince = {};
  mRetransmittingFlows = 0;
  mRetransmissions = 0;
  mIsUnreachable = false;
}

void
PassiveHealthTracker::HandleLocalPause(TimePoint aNow)
{
  for (auto* since : { &mUnansweredOpeningSince, &mUnansweredDataSince }) {
    if (*since != TimePoint{}) {
      *since = aNow;
    }
  }
  mRetransmittingFlows = 0;
  mRetransmissions = 0;
}

UpstreamHealth
PassiveHealthTracker::Health(TimePoint aNow) const
{
  if (mIsUnreachable) {
    return UpstreamHealth::Unreachable;
  }
  bool const hasRetransmissions =
    mUnansweredDataSince != TimePoint{} && mRetransmissions > 0;
  if (hasRetransmissions) {
    auto const silence = aNow - mUnansweredDataSince;
    bool const isLongEnough =
      !IsReachable() || silence >= kReachableSilentAfter;
    auto const probeDue =
      IsReachable()
        ? mFirstRetransmissionAt
        : std::max(mFirstRetransmissionAt, mReachableAt + kAcceptedInterval);
    bool const hadTimeForProbe = aNow >= probeDue + kProbeTime;
    bool const severalFlows =
      mRetransmittingFlows >= kMinSilentFlows && silence >= kSilentAfter;
    bool const singleFlow = mRetransmissions >= kSingleFlowRetransmissions &&
                            silence >= kSingleFlowSilentAfter;
    bool const isSilent = !AreRetransmissionsExpired(aNow) && isLongEnough &&
                          hadTimeForProbe && (severalFlows || singleFlow);
    return isSilent ? UpstreamHealth::Silent : UpstreamHealth::Doubtful;
  }
  bool const isOverdue = mUnansweredOpeningSince != TimePoint{} &&
                         aNow >= mUnansweredOpeningSince + kHandshakeTimeout;
  return isOverdue ? UpstreamHealth::Doubtful : UpstreamHealth::Answering;
}

bool
PassiveHealthTracker::IsTrialFlowDue(TimePoint aNow) const
{
  if (mIsUnreachable) {
    return false;
  }
  auto since = mLastTrialFlow;
  for (auto const start : { mUnansweredOpeningSince, mUnansweredDataSince }) {
    since = std::max(since, start);
  }
  return since != TimePoint{} && aNow >= since + kProbationInterval;
}

} // namespace tarragonsill
