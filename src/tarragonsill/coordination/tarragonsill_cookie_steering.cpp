#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <limits>

namespace tarragonsill {

namespace {

constexpr std::uint32_t kNoSlot = std::numeric_limits<std::uint32_t>::max();
/// Added for an upstream of another zone: a cut between zones harms no flow that
/// stays inside one.
constexpr double kOtherZoneCost = 1e3;
/// Added for an upstream whose registration is missing.
constexpr double kMissingCost = 1e6;

std::uint64_t
KeyOf(FlowPacket const& aPacket)
{
  return FlowKey{ aPacket.mSource,
                  aPacket.mDestination,
                  TransportProtocol::Tcp }
    .Hash();
}

SteeringVerdict
Refuse(SteeringAction aAction, SteeringCause aCause)
{
  return { aAction, aCause, 0, 0 };
}

} // namespace

std::string_view
ToText(SteeringCause aCause)
{
  switch (aCause) {
    case SteeringCause::NewFlow:
      return "new_flow";
    case SteeringCause::OpenFlow:
      return "open_flow";
    case SteeringCause::OpeningCopy:
      return "opening_copy";
    case SteeringCause::NoConfiguration:
      return "no_configuration";
    case SteeringCause::UnknownRoute:
      return "unknown_route";
    case SteeringCause::RemovedRoute:
      return "removed_route";
    case SteeringCause::NoUpstream:
      return "no_upstream";
    case SteeringCause::UnknownCookie:
      return "unknown_cookie";
    case SteeringCause::NotFromCaller:
      return "not_from_caller";
    case SteeringCause::Count:
      break;
  }
  return "unknown";
}

std::optional<Counter>
CounterOf(SteeringCause aCause)
{
  switch (aCause) {
    case SteeringCause::NewFlow:
      return Counter::FlowsAdmitted;
    case SteeringCause::OpeningCopy:
      return Counter::OpeningCopies;
    case SteeringCause::NoConfiguration:
      return Counter::DropNoConfiguration;
    case SteeringCause::UnknownRoute:
      return Counter::DropUnknownService;
    case SteeringCause::RemovedRoute:
      return Counter::ResetsRemovedRoute;
    case SteeringCause::NoUpstream:
      return Counter::DropNoCapacity;
    case SteeringCause::UnknownCookie:
      return Counter::DropUnknownFlow;
    case SteeringCause::NotFromCaller:
      return Counter::DropForeignSender;
    case SteeringCause::OpenFlow:
    case SteeringCause::Count:
      break;
  }
  return std::nullopt;
}

CookieSteering::CookieSteering(std::uint64_t aSeed)
  : mView(std::make_shared<RoutingView>())
  , mRandom(aSeed)
{
}

void
CookieSteering::Use(TimePoint, RoutingViewPointer aView)
{
  mView = std::move(aView);
  mLoads.resize(mView->mUpstreams.size());
}

std::uint32_t
CookieSteering::FlowsAt(std::uint32_t aSlot) const
{
  return aSlot < mLoads.size() ? mLoads[aSlot].mFlows : 0;
}

SteeringVerdict
CookieSteering::Steer(TimePoint aNow, FlowPacket const& aPacket)
{
  if (mView->mVersion == 0) {
    return Refuse(SteeringAction::Drop, SteeringCause::NoConfiguration);
  }
  if (aPacket.mOpens && aPacket.mAcknowledges) {
    // Only upstreams answer an opening packet; a caller that does lies.
    return Refuse(SteeringAction::Drop, SteeringCause::NotFromCaller);
  }
  auto const route = mView->mRoutes.find(aPacket.mDestination);
  bool const isKnown = route != mView->mRoutes.end();
  if (isKnown && route->second.mRemoved) {
    return Refuse(aPacket.mResets ? SteeringAction::Drop
                                  : SteeringAction::Reset,
                  SteeringCause::RemovedRoute);
  }
  if (!aPacket.mOpens) {
    return Continue(aNow, aPacket);
  }
  if (isKnown) {
    return Open(aNow, aPacket, route->second);
  }
  // The route may be so new that its configuration is still on the way; a
  // later copy of the opening packet finds it or is refused.
  return Refuse(aPacket.mOpeningCopies > 0 ? SteeringAction::Reset
                                           : SteeringAction::Drop,
                SteeringCause::UnknownRoute);
}

SteeringVerdict
CookieSteering::Open(TimePoint aNow,
                     FlowPacket const& aPacket,
                     RouteEntry const& aRoute)
{
  auto const key = KeyOf(aPacket);
  auto* const known = mFlows.Find(key);
  if (known != nullptr && known->mFirstSequence == aPacket.mSequence &&
      MayTake(mView->mUpstreams[known->mSlot])) {
    known->mSeen = aNow;
    return ForwardTo(known->mSlot, SteeringCause::OpeningCopy);
  }
  if (aRoute.mShares.empty()) {
    return Refuse(SteeringAction::Reset, SteeringCause::NoUpstream);
  }
  auto const& service = mView->mServices[PickService(aRoute)];
  auto const slot = PickUpstream(aNow, service);
  if (slot == kNoSlot) {
    return Refuse(SteeringAction::Drop, SteeringCause::NoUpstream);
  }
  Forget(key);
  Track(aNow, aPacket, slot);
  return ForwardTo(slot, SteeringCause::NewFlow);
}

SteeringVerdict
CookieSteering::Continue(TimePoint aNow, FlowPacket const& aPacket)
{
  auto const found = mView->mSlotByCookie.find(aPacket.mCookie);
  if (found == mView->mSlotByCookie.end()) {
    return Refuse(SteeringAction::Drop, SteeringCause::UnknownCookie);
  }
  auto const slot = found->second;
  auto const key = KeyOf(aPacket);
  auto* const known = mFlows.Find(key);
  if (aPacket.mCloses || aPacket.mResets) {
    Forget(key);
  } else if (known == nullptr || known->mSlot != slot) {
    Forget(key);
    Track(aNow, aPacket, slot);
  } else {
    known->mSeen = aNow;
  }
  return ForwardTo(slot, SteeringCause::OpenFlow);
}

std::uint32_t
CookieSteering::PickService(RouteEntry const& aRoute)
{
  std::uint32_t total = 0;
  for (auto const& share : aRoute.mShares) {
    total += share.mWeight;
  }
  if (total == 0) {
    return aRoute.mShares.front().mService;
  }
  auto point =
    std::uniform_int_distribution<std::uint32_t>(0, total - 1)(mRandom);
  for (auto const& share : aRoute.mShares) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mShares.back().mService;
}

bool
CookieSteering::MayTake(UpstreamEntry const& aUpstream) const
{
  bool const inUse = aUpstream.mUse == UpstreamUse::Serving ||
                     aUpstream.mUse == UpstreamUse::Missing;
  return inUse && !aUpstream.mEvacuated;
}

double
CookieSteering::Cost(TimePoint, std::uint32_t aSlot) const
{
  auto const& upstream = mView->mUpstreams[aSlot];
  double cost = mLoads[aSlot].mFlows;
  if (upstream.mZone != mView->mOwnZone) {
    cost += kOtherZoneCost;
  }
  if (upstream.mUse == UpstreamUse::Missing) {
    cost += kMissingCost;
  }
  return cost;
}

std::uint32_t
CookieSteering::PickUpstream(TimePoint aNow, ServiceEntry const& aService)
{
  auto best = kNoSlot;
  double bestCost = 0.0;
  std::uint32_t ties = 0;
  for (auto const slot : aService.mUpstreams) {
    auto const& upstream = mView->mUpstreams[slot];
    if (!MayTake(upstream) || aNow < upstream.mColdUntil) {
      continue;
    }
    auto const cost = Cost(aNow, slot);
    if (best != kNoSlot && cost > bestCost) {
      continue;
    }
    ties = best != kNoSlot && cost == bestCost ? ties + 1 : 1;
    // Equal candidates get equal chances.
    bool const taken =
      ties == 1 ||
      std::uniform_int_distribution<std::uint32_t>(1, ties)(mRandom) == 1;
    best = taken ? slot : best;
    bestCost = cost;
  }
  return best;
}

SteeringVerdict
CookieSteering::ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const
{
  return {
    SteeringAction::Forward, aCause, aSlot, mView->mUpstreams[aSlot].mCookie
  };
}

void
CookieSteering::Track(TimePoint aNow,
                      FlowPacket const& aPacket,
                      std::uint32_t aSlot)
{
  auto& flow = mFlows.FindOrInsert(KeyOf(aPacket));
  flow.mSlot = aSlot;
  flow.mFirstSequence = aPacket.mSequence;
  flow.mSeen = aNow;
  ++mLoads[aSlot].mFlows;
}

void
CookieSteering::Forget(std::uint64_t aKey)
{
  auto const* const flow = mFlows.Find(aKey);
  if (flow == nullptr) {
    return;
  }
  --mLoads[flow->mSlot].mFlows;
  mFlows.Erase(aKey);
}

void
CookieSteering::Sweep(TimePoint aNow)
{
  mFlows.EraseIf([&](Detail::TrackedFlow const& aFlow) {
    bool const ended = aNow > aFlow.mSeen + mView->mIdleTimeout;
    if (ended) {
      --mLoads[aFlow.mSlot].mFlows;
    }
    return ended;
  });
}

} // namespace tarragonsill
