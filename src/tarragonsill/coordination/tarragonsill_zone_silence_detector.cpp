#include "tarragonsill/coordination/tarragonsill_zone_silence_detector.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

void
ZoneSilenceDetector::RecordAttempt(TimePoint aNow, std::uint32_t aSlot)
{
  bool const isKnown = std::any_of(
    mUnanswered.begin(), mUnanswered.end(), [&](Attempt const& aAttempt) {
      return aAttempt.mSlot == aSlot;
    });
  if (!isKnown && mUnanswered.size() < kMinUpstreams) {
    mUnanswered.push_back({ aSlot, aNow });
  }
}

void
ZoneSilenceDetector::HandleLocalPause(TimePoint aNow)
{
  if (!IsSilent(aNow)) {
    mUnanswered.clear();
  }
}

bool
ZoneSilenceDetector::IsSilent(TimePoint aNow) const
{
  return mUnanswered.size() == kMinUpstreams &&
         aNow >=
           mUnanswered.back().mAt + PassiveHealthTracker::kHandshakeTimeout;
}

ZoneReach
ZoneSilenceDetector::Reach(TimePoint aNow) const
{
  if (IsSilent(aNow)) {
    return ZoneReach::Silent;
  }
  bool const hasAnswered =
    mLastAnswer != TimePoint{} && aNow < mLastAnswer + kAnswerMaxAge;
  return hasAnswered ? ZoneReach::Answering : ZoneReach::Unknown;
}

std::optional<bool>
ZoneSilenceDetector::TakeChange(TimePoint aNow)
{
  bool const isSilent = IsSilent(aNow);
  if (std::exchange(mWasSilent, isSilent) == isSilent) {
    return std::nullopt;
  }
  return isSilent;
}

bool
ZoneSilenceDetector::IsTrialFlowDue(TimePoint aNow) const
{
  if (!IsSilent(aNow)) {
    return false;
  }
  auto const since = std::max(mLastTrialFlow, mUnanswered.back().mAt);
  return aNow >= since + PassiveHealthTracker::kProbationInterval;
}

} // namespace tarragonsill
