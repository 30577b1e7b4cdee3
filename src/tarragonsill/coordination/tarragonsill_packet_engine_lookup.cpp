#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_packet_engine_constants.hpp"

namespace tarragonsill {

using namespace Detail;

PacketAction
PacketEngine::DeliverException(TimePoint aNow,
                               Flow& aFlow,
                               ExceptionEntry& aEntry,
                               std::uint8_t aHops)
{
  bool const needsRefresh = aEntry.mLastSeen.AgeAt(aNow) > kRefreshInterval;
  if (!needsRefresh && !aFlow.mPacket.EndsFlow()) {
    return Deliver(aFlow, aEntry.Upstream());
  }
  aEntry.mLastSeen = CoarseTime(aNow);
  Route route;
  route.mHops = aHops;
  route.mUpstream = aEntry.Upstream();
  auto const& chain = BaseShareOf(aFlow).mHomeChain;
  bool const hasLocalSecondHome =
    chain.size() > 1 && !mSnapshot->IsSelf(chain[1]) && IsInOwnZone(chain[1]);
  if (needsRefresh && hasLocalSecondHome) {
    route.mKind = RouteKind::Record;
    route.mStep = kSecondHomeStep;
    return ToEntry(chain[1], route);
  }
  return RefreshAtOwner(aNow, aFlow, route);
}

PacketAction
PacketEngine::ForwardLookup(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto const& base = BaseShareOf(aFlow);
  bool const skippedHome = (aRoute.mStep & kLookupSkippedHome) != 0 ||
                           NextAbsentHome(aNow, aFlow).has_value();
  auto const skippedFlag = skippedHome ? kLookupSkippedHome : std::uint8_t{ 0 };
  auto const currentStep =
    std::size_t{ aRoute.mStep } & ~std::size_t{ kLookupSkippedHome };
  auto const next = SelfIndexInChain(base).value_or(currentStep) + 1;
  if (next < base.mHomeChain.size()) {
    aRoute.mKind = RouteKind::Lookup;
    aRoute.mStep = static_cast<std::uint8_t>(next | skippedFlag);
    return ToEntry(base.mHomeChain[next], aRoute);
  }
  bool const atHome = aRoute.mHome == OwnDataEndpoint();
  if (atHome) {
    return HandleUnknownFlow(aNow, aFlow, skippedHome);
  }
  aRoute.mKind = RouteKind::Record;
  aRoute.mStep = kLookupResultStep | skippedFlag;
  aRoute.mUpstream = {};
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = aRoute };
}

PacketAction
PacketEngine::HandleLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const recorded = FindRecordedUpstream(aFlow);
  if (!recorded) {
    return ForwardLookup(aNow, aFlow, aRoute);
  }
  LogDecision(DecisionKind::FlowFound, aFlow, *recorded);
  if (aRoute.mHome == OwnDataEndpoint()) {
    return Deliver(aFlow, *recorded);
  }
  Route route = aRoute;
  route.mKind = RouteKind::Record;
  route.mStep = kLookupResultStep;
  route.mUpstream = *recorded;
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = route };
}

PacketAction
PacketEngine::HandleUnknownFlow(TimePoint aNow, Flow& aFlow, bool aSkippedHome)
{
  auto const& base = BaseShareOf(aFlow);
  auto* const ledger = FindLedger(base.mAddress);
  auto const absent = NextAbsentHome(aNow, aFlow);
  bool const isLedgerComplete =
    ledger != nullptr && ledger->IsEveryFlowIdentified();
  if (isLedgerComplete || !base.mIsZoneInService) {
    if (absent) {
      mCounters.Add(Counter::AbsentHomesAsked);
      return ToEntry(*absent, UpstreamQueryRoute(aFlow));
    }
    LogDecision(DecisionKind::FlowUnknown, aFlow, {});
    return Drop(Counter::DropUnknownFlow);
  }
  bool const isInferred = !aSkippedHome && !absent && ledger != nullptr &&
                          ledger->InferAdoptedFlow(aNow, aFlow.mHash);
  if (isInferred) {
    mCounters.Add(Counter::FlowsInferred);
    LogDecision(DecisionKind::FlowInferred, aFlow, base.mAddress);
    return Deliver(aFlow, base.mAddress);
  }
  return DeliverToHashChoice(aFlow, absent);
}

PacketAction
PacketEngine::DeliverToHashChoice(Flow& aFlow,
                                  std::optional<EntryIndex> aAbsent)
{
  auto const address = BaseShareOf(aFlow).mAddress;
  mCounters.Add(Counter::FlowsGuessed);
  LogDecision(DecisionKind::FlowGuessed, aFlow, address);
  auto action = Deliver(aFlow, address);
  if (aAbsent && action.mKind == ActionKind::ToFabric) {
    mCounters.Add(Counter::AbsentHomesAsked);
    action.mCopyPeer = mSnapshot->mEntries[*aAbsent].mData;
    action.mCopyRoute = UpstreamQueryRoute(aFlow);
  }
  return action;
}

std::optional<Endpoint>
PacketEngine::FindRecordedUpstream(Flow const& aFlow)
{
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  if (exception != nullptr) {
    return exception->Upstream();
  }
  auto const base = BaseShareOf(aFlow).mAddress;
  auto* const ledger = FindLedger(base);
  bool const isAtHashChoice =
    ledger != nullptr && ledger->IsConfirmed(aFlow.mHash);
  return isAtHashChoice ? std::optional(base) : std::nullopt;
}

std::optional<EntryIndex>
PacketEngine::NextAbsentHome(TimePoint aNow, Flow const& aFlow)
{
  auto const idle = mSnapshot->mServices[aFlow.mService].mService.mIdleTimeout;
  auto const& homes = BaseShareOf(aFlow).mFailedHomes;
  for (std::size_t attempt = 0; attempt < homes.size(); ++attempt) {
    auto const entry = homes[mAbsentHomeCursor++ % homes.size()];
    // Everything that the home recorded before its failure has expired.
    if (aNow - mSnapshot->mEntries[entry].mFailedAt > idle) {
      continue;
    }
    return entry;
  }
  return std::nullopt;
}

Route
PacketEngine::UpstreamQueryRoute(Flow const& aFlow) const
{
  Route route;
  route.mKind = RouteKind::UpstreamQuery;
  route.mUpstream = aFlow.mKey.mService;
  route.mHome = OwnDataEndpoint();
  return route;
}

PacketAction
PacketEngine::HandleUpstreamQuery(Route const& aRoute, PacketView& aPacket)
{
  // The packet may be a copy whose destination has been rewritten already; this
  // restores the address of the service.
  aPacket.RewriteDestination(aRoute.mUpstream);
  auto const flow = MakeFlow(aPacket);
  auto const recorded = flow ? FindRecordedUpstream(*flow) : std::nullopt;
  if (!recorded) {
    return { .mKind = ActionKind::Handled };
  }
  LogDecision(DecisionKind::FlowFound, *flow, *recorded);
  Route result = aRoute;
  result.mKind = RouteKind::Record;
  result.mStep = kLookupResultStep;
  result.mUpstream = *recorded;
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = result };
}

PacketAction
PacketEngine::HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  bool const skippedHome = (aRoute.mStep & kLookupSkippedHome) != 0;
  bool const isLookupResult =
    (aRoute.mStep & ~kLookupSkippedHome) == kLookupResultStep;
  if (isLookupResult && aRoute.mUpstream.mPort == 0) {
    return HandleUnknownFlow(aNow, aFlow, skippedHome);
  }
  StoreRecord(aNow, aFlow, aRoute.mUpstream);
  if (isLookupResult) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  auto const& chain = BaseShareOf(aFlow).mHomeChain;
  if (aRoute.mStep == 0 && chain.size() > 1 && !mSnapshot->IsSelf(chain[1])) {
    if (IsInOwnZone(chain[1])) {
      aRoute.mStep = kSecondHomeStep;
      return ToEntry(chain[1], aRoute);
    }
    return DeliverWithCopy(aFlow, aRoute.mUpstream);
  }
  if (aFlow.mPacket.OpensFlow()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  return RefreshAtOwner(aNow, aFlow, aRoute);
}

PacketAction
PacketEngine::DeliverWithCopy(Flow& aFlow, Endpoint aUpstream)
{
  // The flow must not wait for another zone, which may be cut off.
  auto action = Deliver(aFlow, aUpstream);
  if (action.mKind == ActionKind::ToFabric) {
    auto const secondHome = BaseShareOf(aFlow).mHomeChain[1];
    action.mCopyPeer = mSnapshot->mEntries[secondHome].mData;
    action.mCopyRoute.mKind = RouteKind::ExceptionCopy;
    action.mCopyRoute.mUpstream = aUpstream;
    action.mCopyRoute.mHome = aFlow.mKey.mService;
  }
  return action;
}

PacketAction
PacketEngine::HandleExceptionCopy(TimePoint aNow,
                                  Route const& aRoute,
                                  PacketView& aPacket)
{
  // The destination of the copy has been rewritten already; this restores the
  // address of the service.
  aPacket.RewriteDestination(aRoute.mHome);
  if (auto const flow = MakeFlow(aPacket)) {
    StoreException(aNow,
                   { "", flow->mKey.mService, flow->mHash, aRoute.mUpstream });
  }
  return { .mKind = ActionKind::Handled };
}

void
PacketEngine::StoreRecord(TimePoint aNow, Flow const& aFlow, Endpoint aUpstream)
{
  auto const base = BaseShareOf(aFlow).mAddress;
  auto* const ledger = FindLedger(base);
  if (ledger != nullptr && aUpstream != base) {
    ledger->WithdrawInferredFlow(aFlow.mHash);
  }
  if (aUpstream == base) {
    if (ledger != nullptr && (ledger->Contains(aFlow.mHash) ||
                              ledger->ClaimAdoptedFlow(aNow, aFlow.mHash))) {
      mCounters.Add(Counter::FlowsClaimed);
      return;
    }
  }
  auto& entry = mExceptions[aFlow.mService].FindOrInsert(aFlow.mHash);
  entry.mAddress = aUpstream.mAddress.mValue;
  entry.mPort = aUpstream.mPort;
  entry.mLastSeen = CoarseTime(aNow);
  mCounters.Add(Counter::ExceptionsRecorded);
  LogDecision(DecisionKind::ExceptionRecorded, aFlow, aUpstream);
}

PacketAction
PacketEngine::RefreshAtOwner(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aRoute.mUpstream);
  if (found == mSnapshot->mUpstreamByAddress.end()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  auto const owner = mSnapshot->mUpstreams[found->second].mOwner;
  bool const isRemote = owner && !mSnapshot->IsSelf(*owner);
  if (isRemote && aRoute.mKind != RouteKind::Refresh) {
    Route route = aRoute;
    route.mKind = RouteKind::Refresh;
    return ToEntry(*owner, route);
  }
  auto* const ledger = FindLedger(aRoute.mUpstream);
  if (ledger != nullptr &&
      !ledger->RecordCallerPacket(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    ledger->ClaimAdoptedFlow(aNow, aFlow.mHash);
  }
  return Deliver(aFlow, aRoute.mUpstream);
}

} // namespace tarragonsill
