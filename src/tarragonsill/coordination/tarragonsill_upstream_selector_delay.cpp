#include "tarragonsill/coordination/tarragonsill_expected_delay.hpp"
#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Older loads say nothing about the present ones.
constexpr milliseconds kSharedLoadMaxAge{ 3000 };

UpstreamDemand
DemandOf(TimePoint aNow,
         ResolvedUpstream const& aUpstream,
         UpstreamLoad const& aLoad,
         SharedLoads const& aShared)
{
  UpstreamDemand demand;
  demand.mSlots = std::max(1U, aUpstream.mRegistration.mSlots);
  demand.mFlows = aLoad.mFlows;
  // An opening flow sends a request shortly.
  demand.mInProgress = aLoad.mInProgress + aLoad.mOpeningFlows;
  auto const found =
    aShared.mByProcess.find(ProcessKey(aUpstream.mRegistration));
  demand.mIsShared = found != aShared.mByProcess.end() &&
                     aNow < found->second.mAsOf + kSharedLoadMaxAge;
  if (!demand.mIsShared) {
    return demand;
  }
  auto const& others = found->second;
  demand.mFlows += others.mFlows;
  demand.mInProgress += others.mInProgress;
  if (others.mRelativeTime > 0.0) {
    demand.mAnswers = others.mAnswers;
    demand.mRelativeTime = others.mRelativeTime;
  }
  return demand;
}

} // namespace

std::optional<UpstreamSelection>
UpstreamSelector::PickByDelay(TimePoint aNow,
                              RoutingView const& aView,
                              SelectionContext const& aContext,
                              UpstreamSelection const& aLeastCost)
{
  auto const* const shared = aContext.mSharedLoads;
  auto const& leastCost = aContext.mLoads[aLeastCost.mSlot];
  // A suspected upstream is selected for its trial flow.
  bool const isApplicable =
    mMechanisms.Uses(Mechanism::ExpectedDelay) && shared != nullptr &&
    shared->mReporters > 0 &&
    leastCost.mPassiveHealth.Health(aNow) == UpstreamHealth::Answering;
  if (!isApplicable) {
    return std::nullopt;
  }
  auto const leastRank = Rank(aNow, aView, aLeastCost.mSlot, aContext);
  std::vector<std::uint32_t> slots;
  std::vector<UpstreamDemand> demands;
  std::size_t known = 0;
  for (auto const& candidate : mCandidates) {
    if (candidate.mRank != leastRank) {
      continue;
    }
    auto const& upstream = aView.mUpstreams[candidate.mSlot];
    // The load of another zone's upstreams is mostly that zone's own.
    if (upstream.mZone != aView.mOwnZone) {
      return std::nullopt;
    }
    slots.push_back(candidate.mSlot);
    demands.push_back(
      DemandOf(aNow, upstream, aContext.mLoads[candidate.mSlot], *shared));
    known += demands.back().mIsShared ? 1 : 0;
  }
  if (slots.empty() || 2 * known < slots.size()) {
    return std::nullopt;
  }
  auto const estimates = EstimateDelays(demands, aContext.mRequestsPerFlow);
  auto const chosen = ChooseByDelay(estimates, mRandom);
  return UpstreamSelection{
    slots[chosen], estimates[chosen].mDelay, aLeastCost.mCandidates, true
  };
}

} // namespace tarragonsill
