#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

namespace tarragonsill {

void
CookieSteering::RecordFlowEnd(Detail::TrackedFlow const& aFlow)
{
  // The requests of other flows are not all known.
  if (aFlow.mIsOpenedHere && aFlow.mRequests > 0 && !aFlow.mIsClosed) {
    mRequestsPerFlow[PlacementKey(aFlow.mRoute)].RecordFlow(aFlow.mRequests);
  }
}

double
CookieSteering::RequestsPerFlowOf(Endpoint aRoute) const
{
  auto const found = mRequestsPerFlow.find(PlacementKey(aRoute));
  return found != mRequestsPerFlow.end() ? found->second.Mean() : 1.0;
}

} // namespace tarragonsill
