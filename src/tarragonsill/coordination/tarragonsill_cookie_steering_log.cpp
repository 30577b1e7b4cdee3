#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

namespace tarragonsill {

void
CookieSteering::AddLogEntry(SteeringCause aCause,
                            Endpoint aCaller,
                            Endpoint aRoute,
                            UpstreamSelection const& aSelection,
                            UpstreamHealth aHealth)
{
  if (mLogEntries.size() >= kMaxLogEntries) {
    return;
  }
  bool const hasUpstream = aCause == SteeringCause::NewFlow ||
                           aCause == SteeringCause::SecondChoice ||
                           aCause == SteeringCause::HedgedOpening ||
                           aCause == SteeringCause::LateAnswer ||
                           aCause == SteeringCause::SilentUpstream;
  mLogEntries.push_back({ aCause,
                          aCaller,
                          aRoute,
                          aSelection.mSlot,
                          aSelection.mCost,
                          aSelection.mCandidates,
                          hasUpstream,
                          aHealth,
                          std::nullopt });
  mLogEntries.back().mIsByDelay = aSelection.mIsByDelay;
}

void
CookieSteering::AddLossLogEntry(TimePoint aNow,
                                Detail::TrackedFlow const& aFlow,
                                FlowLossProof aProof)
{
  if (mLogEntries.size() >= kMaxLogEntries) {
    return;
  }
  auto const& tracker = mLoads[aFlow.mSlot].mPassiveHealth;
  AddLogEntry(SteeringCause::SilentUpstream,
              aFlow.mCaller,
              aFlow.mRoute,
              { aFlow.mSlot, 0.0, 0 },
              tracker.Health(aNow));
  auto& entry = mLogEntries.back();
  entry.mProof = aProof;
  entry.mLastProbe = mCrashDetectors[aFlow.mSlot].LastResult();
  entry.mRetransmissions = aFlow.mRetransmissions;
  entry.mAnswerAge =
    std::chrono::duration_cast<milliseconds>(aNow - tracker.LastAnswer());
}

} // namespace tarragonsill
