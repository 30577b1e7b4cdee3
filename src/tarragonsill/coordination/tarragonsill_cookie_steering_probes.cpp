#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

namespace tarragonsill {

std::optional<FlowLossProof>
CookieSteering::FindLossProof(TimePoint aNow,
                              Detail::TrackedFlow const& aFlow) const
{
  auto const& detector = mCrashDetectors[aFlow.mSlot];
  bool const isExpired =
    mMechanisms.Uses(Mechanism::EvidenceAges) && detector.IsExpired(aNow);
  if (!mMechanisms.Uses(Mechanism::SilentUpstreams) || isExpired) {
    return std::nullopt;
  }
  return detector.FindProof({ aFlow.mTrackedSince,
                              mView->mUpstreams[aFlow.mSlot].mAvailability,
                              IsRepeating(aNow, aFlow) });
}

std::vector<std::uint32_t>
CookieSteering::StartProbeRound(TimePoint aNow)
{
  return mMechanisms.Uses(Mechanism::ReachChecks)
           ? mChecker.StartRound(aNow, mLoads)
           : std::vector<std::uint32_t>{};
}

std::vector<std::uint32_t>
CookieSteering::RecordProbeResult(TimePoint aNow,
                                  std::uint32_t aSlot,
                                  ConnectResult aResult)
{
  if (aResult == ConnectResult::Accepted) {
    mLoads[aSlot].mPassiveHealth.RecordReachable(aNow);
  }
  if (aResult == ConnectResult::Reset) {
    mLoads[aSlot].mPassiveHealth.RecordTurnedAway(aNow);
  }
  if (IsRunning(aResult)) {
    mRestarts[aSlot].RecordRunning(aNow);
    UpdateMayBeCold(aSlot);
  }
  RecordProbeReach(aNow, aSlot, aResult);
  mLoads[aSlot].mIsInSilentZone = mMechanisms.Uses(Mechanism::SilentZones) &&
                                  ZoneSilenceOf(aSlot).IsSilent(aNow);
  bool const isAnswered =
    mLoads[aSlot].mPassiveHealth.LastAnswer() >= mChecker.RoundStarted();
  if (mChecker.IsProbing(aSlot) && !isAnswered) {
    mCrashDetectors[aSlot].RecordProbe(
      mChecker.RoundStarted(), aResult, IsKnownToServe(aNow, aSlot));
    if (aResult == ConnectResult::Refused) {
      RecordLost(aNow, aSlot, true);
    }
  }
  std::vector<std::uint32_t> newlyUnreachable;
  for (auto const slot : mChecker.HandleResult(aNow, aSlot, aResult, mLoads)) {
    auto& tracker = mLoads[slot].mPassiveHealth;
    if (tracker.Health(aNow) != UpstreamHealth::Unreachable) {
      newlyUnreachable.push_back(slot);
    }
    tracker.RecordUnreachable();
    RecordLost(aNow, slot, false);
  }
  return newlyUnreachable;
}

bool
CookieSteering::IsKnownToServe(TimePoint aNow, std::uint32_t aSlot) const
{
  // An upstream that leaves listens for the drain time after it has reported
  // so. The steady clock stops while this VM is suspended, so nothing is known
  // of that time.
  return mCurrentAsOf > mResumedAt &&
         mView->mUpstreams[aSlot].mAvailability ==
           UpstreamAvailability::Serving &&
         aNow < mCurrentAsOf + mView->mDrainTime;
}

void
CookieSteering::HandleLocalPause(TimePoint aNow)
{
  mChecker.HandleLocalPause();
  mHedger.HandleLocalPause();
  mAdmission.HandleLocalPause(aNow);
  mResumedAt = aNow;
  for (auto& zone : mZoneSilence) {
    zone.HandleLocalPause(aNow);
  }
  for (auto& load : mLoads) {
    load.mPassiveHealth.HandleLocalPause(aNow);
  }
  for (auto& detector : mCrashDetectors) {
    detector.HandleLocalPause();
  }
}

} // namespace tarragonsill
