#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <utility>

namespace tarragonsill {

std::vector<UpstreamObservation>
CookieSteering::TakeObservations()
{
  std::vector<UpstreamObservation> observations;
  if (!mMechanisms.Uses(Mechanism::LoadReports)) {
    return observations;
  }
  for (std::uint32_t slot = 0; slot < mLoads.size(); ++slot) {
    auto const& upstream = mView->mUpstreams[slot];
    if (upstream.mZone != mView->mOwnZone) {
      continue;
    }
    auto const& load = mLoads[slot];
    auto const answers = mAnswerObserver.Take(slot);
    if (load.mFlows == 0 && load.mInProgress == 0 && answers.mCount == 0) {
      continue;
    }
    observations.push_back({ ProcessKey(upstream.mRegistration),
                             load.mFlows,
                             load.mInProgress,
                             answers.mCount,
                             answers.mRelativeTime });
  }
  return observations;
}

void
CookieSteering::SetSharedLoads(SharedLoadsPointer aLoads)
{
  if (mMechanisms.Uses(Mechanism::LoadReports)) {
    mSharedLoads = std::move(aLoads);
  }
}

} // namespace tarragonsill
