#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <algorithm>

namespace tarragonsill {

void
CookieSteering::UpdateMayBeCold(std::uint32_t aSlot)
{
  mLoads[aSlot].mMayBeColdUntil = mMechanisms.Uses(Mechanism::RestartSigns)
                                    ? mRestarts[aSlot].ColdUntil()
                                    : TimePoint{};
}

void
CookieSteering::RecordLost(TimePoint aNow, std::uint32_t aSlot, bool aIsRefused)
{
  auto const coldTime = mView->mUpstreams[aSlot].mColdTime;
  mRestarts[aSlot].RecordLost(aNow, coldTime, aIsRefused);
  UpdateMayBeCold(aSlot);
}

void
CookieSteering::ObserveRunning(TimePoint aNow, Detail::TrackedFlow const& aFlow)
{
  auto& restarts = mRestarts[aFlow.mSlot];
  restarts.RecordRunning(aNow);
  if (!aFlow.mIsOpening && aFlow.mInProgress) {
    restarts.RecordFlowAnswer(aFlow.mTrackedSince, aFlow.mDataSent);
  }
  UpdateMayBeCold(aFlow.mSlot);
}

void
CookieSteering::ReviewRestarts()
{
  bool const isNeeded =
    std::any_of(mRestarts.begin(), mRestarts.end(), [](auto const& aRestart) {
      return aRestart.NeedsCurrentState();
    });
  if (!isNeeded || IsViewFromBeforePause()) {
    return;
  }
  StorePosition newest;
  for (auto const& upstream : mView->mUpstreams) {
    newest = std::max(newest, upstream.mPosition);
  }
  for (auto& restart : mRestarts) {
    restart.RecordCurrentState(mCurrentAsOf, newest);
  }
}

UpstreamRestarts
CookieSteering::Restarts(TimePoint aNow) const
{
  UpstreamRestarts restarts;
  if (!mMechanisms.Uses(Mechanism::RestartSigns)) {
    return restarts;
  }
  for (std::size_t slot = 0; slot < mRestarts.size(); ++slot) {
    auto const& restart = mRestarts[slot];
    auto const& upstream = mView->mUpstreams[slot];
    auto const& registration = upstream.mRegistration;
    // One that leaves closes its port shortly before it has left.
    bool const isServing =
      upstream.mAvailability == UpstreamAvailability::Serving;
    if (!isServing || !restart.IsShown(aNow)) {
      continue;
    }
    auto const left =
      restart.IsRunning()
        ? std::chrono::duration_cast<milliseconds>(restart.ColdUntil() - aNow)
        : restart.ColdTime();
    restarts.push_back({ registration.mName,
                         registration.mStartMark,
                         restart.IsRunning(),
                         left });
  }
  return restarts;
}

} // namespace tarragonsill
