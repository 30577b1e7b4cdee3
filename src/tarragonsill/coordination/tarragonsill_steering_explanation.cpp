#include "tarragonsill/coordination/tarragonsill_steering_explanation.hpp"

namespace tarragonsill {

Result<SteeringExplanation>
Explain(SteeringSnapshot const& aSnapshot,
        std::string const& aService,
        FlowKey aFlow)
{
  for (std::size_t index = 0; index < aSnapshot.mServices.size(); ++index) {
    auto const& service = aSnapshot.mServices[index];
    if (service.mService.mName != aService || service.mTable.Empty()) {
      continue;
    }
    aFlow.mService = service.mService.mAddress;
    auto const& base = service.mBase[service.mTable.Pick(aFlow.Hash())];
    SteeringExplanation result;
    result.mService = aService;
    result.mHashChoice = ToText(base.mAddress);
    if (base.mUpstream) {
      auto const& upstream = aSnapshot.mUpstreams[*base.mUpstream];
      result.mHashChoice = upstream.mUpstream.mName;
      result.mOwner =
        upstream.mOwner ? aSnapshot.mEntries[*upstream.mOwner].mName : "";
    }
    for (auto const entry : base.mHomeChain) {
      result.mHomes.push_back(aSnapshot.mEntries[entry].mName);
    }
    for (auto const candidate : aSnapshot.Candidates(index, aFlow.Hash())) {
      result.mCandidates.push_back(
        aSnapshot.mUpstreams[candidate].mUpstream.mName);
    }
    return result;
  }
  return Reason{ ReasonCode::NotFound,
                 "service '" + aService + "' is not declared" };
}

} // namespace tarragonsill
