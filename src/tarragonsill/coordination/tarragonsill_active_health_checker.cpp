#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"

#include <algorithm>

namespace tarragonsill {

std::string_view
ToText(ConnectResult aResult)
{
  switch (aResult) {
    case ConnectResult::Accepted:
      return "accepted";
    case ConnectResult::Refused:
      return "refused";
    case ConnectResult::Reset:
      return "reset";
    case ConnectResult::Stalled:
      return "stalled";
    case ConnectResult::NoAnswer:
      return "no_answer";
  }
  return "unknown";
}

bool
IsRunning(ConnectResult aResult)
{
  return aResult == ConnectResult::Accepted || aResult == ConnectResult::Reset;
}

void
ActiveHealthChecker::ReviewUpstreams(TimePoint aNow,
                                     RoutingView const& aView,
                                     std::vector<UpstreamLoad> const& aLoads)
{
  mProbeStates.resize(std::max(mProbeStates.size(), aLoads.size()));
  for (std::uint32_t slot = 0; slot < aLoads.size(); ++slot) {
    auto const& load = aLoads[slot];
    auto const& upstream = aView.mUpstreams[slot];
    bool const canServe =
      upstream.mAvailability == UpstreamAvailability::Serving &&
      !upstream.mEvacuated;
    if (!canServe && load.mFlows == 0) {
      continue;
    }
    bool const isMissing =
      upstream.mAvailability == UpstreamAvailability::Missing ||
      upstream.mAvailability == UpstreamAvailability::Gone;
    bool const isSilent =
      aNow >= load.mPassiveHealth.LastAnswer() + kFollowUpSilence;
    bool const isSuspected =
      load.mPassiveHealth.Health(aNow) != UpstreamHealth::Answering;
    bool const hasSilentFlows = load.mFlows > 0 && isSilent;
    if (isSuspected ||
        (hasSilentFlows && (isMissing || IsFollowUpDue(aNow, slot)))) {
      RequestProbe(slot);
    }
  }
}

bool
ActiveHealthChecker::IsFollowUpDue(TimePoint aNow, std::uint32_t aSlot) const
{
  return aNow < mFollowUpUntil &&
         aNow >= mProbeStates[aSlot].mLastAccepted + kFollowUpInterval;
}

std::optional<std::uint32_t>
ActiveHealthChecker::FindReference(
  TimePoint aNow,
  std::vector<UpstreamLoad> const& aLoads) const
{
  std::optional<std::uint32_t> best;
  for (std::uint32_t slot = 0; slot < aLoads.size(); ++slot) {
    auto const& tracker = aLoads[slot].mPassiveHealth;
    if (mProbeRequests.count(slot) > 0 || tracker.LastAnswer() == TimePoint{} ||
        aNow >= tracker.LastAnswer() + kReferenceMaxAge ||
        tracker.Health(aNow) != UpstreamHealth::Answering) {
      continue;
    }
    if (!best ||
        tracker.LastAnswer() > aLoads[*best].mPassiveHealth.LastAnswer()) {
      best = slot;
    }
  }
  return best;
}

std::vector<std::uint32_t>
ActiveHealthChecker::StartRound(TimePoint aNow,
                                std::vector<UpstreamLoad> const& aLoads)
{
  if (!mRound.empty() || mProbeRequests.empty()) {
    return {};
  }
  mProbeStates.resize(std::max(mProbeStates.size(), aLoads.size()));
  for (auto const slot : mProbeRequests) {
    if (slot >= aLoads.size() || aNow < mProbeStates[slot].mNextProbe ||
        mRound.size() == kMaxProbesPerRound) {
      continue;
    }
    mRound.push_back({ slot, false, std::nullopt });
    auto& state = mProbeStates[slot];
    state.mBackoff = std::clamp(2 * state.mBackoff, kMinBackoff, kMaxBackoff);
    state.mNextProbe = aNow + state.mBackoff;
  }
  if (!mRound.empty()) {
    if (auto const reference = FindReference(aNow, aLoads)) {
      mRound.push_back({ *reference, true, std::nullopt });
    }
  }
  mProbeRequests.clear();
  mRoundStarted = aNow;
  std::vector<std::uint32_t> slots;
  for (auto const& probe : mRound) {
    slots.push_back(probe.mSlot);
  }
  return slots;
}

std::vector<std::uint32_t>
ActiveHealthChecker::HandleResult(TimePoint aNow,
                                  std::uint32_t aSlot,
                                  ConnectResult aResult,
                                  std::vector<UpstreamLoad> const& aLoads)
{
  bool isComplete = !mRound.empty();
  for (auto& probe : mRound) {
    if (probe.mSlot == aSlot) {
      probe.mResult = aResult;
    }
    isComplete = isComplete && probe.mResult.has_value();
  }
  return isComplete ? EvaluateRound(aNow, aLoads)
                    : std::vector<std::uint32_t>{};
}

bool
ActiveHealthChecker::RecordUnansweredProbe(TimePoint aNow,
                                           std::uint32_t aSlot,
                                           UpstreamLoad const& aLoad)
{
  bool const isCorroborated =
    aLoad.mIsInSilentZone ||
    aLoad.mPassiveHealth.Health(aNow) != UpstreamHealth::Answering;
  if (isCorroborated) {
    return true;
  }
  auto& firstUnanswered = mProbeStates[aSlot].mFirstUnanswered;
  if (firstUnanswered == TimePoint{} ||
      aNow >= firstUnanswered + kConfirmationTime) {
    firstUnanswered = aNow;
  }
  if (aNow >= firstUnanswered + kMinBackoff) {
    return true;
  }
  RequestProbe(aSlot);
  return false;
}

std::vector<std::uint32_t>
ActiveHealthChecker::EvaluateRound(TimePoint aNow,
                                   std::vector<UpstreamLoad> const& aLoads)
{
  bool const ownLinkWorks =
    std::any_of(mRound.begin(), mRound.end(), [](Probe const& aProbe) {
      return IsRunning(*aProbe.mResult);
    });
  std::vector<std::uint32_t> unreachable;
  bool hasNewUnreachable = false;
  for (auto const& probe : mRound) {
    if (IsRunning(*probe.mResult)) {
      mProbeStates[probe.mSlot] = {
        aNow + kAcceptedInterval, milliseconds{ 0 }, aNow, {}
      };
    }
    auto const& tracker = aLoads[probe.mSlot].mPassiveHealth;
    bool const answeredSince = tracker.LastAnswer() >= mRoundStarted;
    if (answeredSince || probe.mIsReference || probe.mIsObsolete) {
      continue;
    }
    bool const isUnreachable =
      probe.mResult == ConnectResult::Refused ||
      (!IsRunning(*probe.mResult) && ownLinkWorks &&
       RecordUnansweredProbe(aNow, probe.mSlot, aLoads[probe.mSlot]));
    if (!isUnreachable) {
      continue;
    }
    unreachable.push_back(probe.mSlot);
    hasNewUnreachable =
      hasNewUnreachable || tracker.Health(aNow) != UpstreamHealth::Unreachable;
  }
  mRound.clear();
  if (hasNewUnreachable) {
    mFollowUpUntil = aNow + kFollowUpPeriod;
  }
  return unreachable;
}

bool
ActiveHealthChecker::IsProbing(std::uint32_t aSlot) const
{
  return std::any_of(mRound.begin(), mRound.end(), [&](Probe const& aProbe) {
    return aProbe.mSlot == aSlot && !aProbe.mIsReference && !aProbe.mIsObsolete;
  });
}

void
ActiveHealthChecker::ForgetUpstream(std::uint32_t aSlot)
{
  mProbeRequests.erase(aSlot);
  if (aSlot < mProbeStates.size()) {
    mProbeStates[aSlot] = {};
  }
  for (auto& probe : mRound) {
    probe.mIsObsolete = probe.mIsObsolete || probe.mSlot == aSlot;
  }
}

void
ActiveHealthChecker::HandleLocalPause()
{
  // Later results of this round are ignored, and a new round may start.
  mRound.clear();
  mProbeRequests.clear();
}

} // namespace tarragonsill
