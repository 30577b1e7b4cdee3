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
  bool const refresh = aEntry.mSeen.AgeAt(aNow) > kRefreshInterval;
  if (!refresh && !aFlow.mPacket.EndsFlow()) {
    return Deliver(aFlow, aEntry.Upstream());
  }
  aEntry.mSeen = CoarseTime(aNow);
  Route route;
  route.mHops = aHops;
  route.mUpstream = aEntry.Upstream();
  auto const& chain = BaseOf(aFlow).mHomeChain;
  bool const second =
    chain.size() > 1 && !mSnapshot->IsSelf(chain[1]) && IsNeighbour(chain[1]);
  if (refresh && second) {
    route.mKind = RouteKind::Record;
    route.mStep = kSecondHome;
    return ToEntry(chain[1], route);
  }
  return HandleTouch(aNow, aFlow, route);
}

PacketAction
PacketEngine::PassLookup(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto const& base = BaseOf(aFlow);
  bool const hasGap =
    (aRoute.mStep & kLookupGap) != 0 || AbsentHome(aNow, aFlow).has_value();
  auto const mark = hasGap ? kLookupGap : std::uint8_t{ 0 };
  auto const reached = std::size_t{ aRoute.mStep } & ~std::size_t{ kLookupGap };
  auto const next = PositionInChain(base).value_or(reached) + 1;
  if (next < base.mHomeChain.size()) {
    aRoute.mKind = RouteKind::Lookup;
    aRoute.mStep = static_cast<std::uint8_t>(next | mark);
    return ToEntry(base.mHomeChain[next], aRoute);
  }
  bool const atHome = aRoute.mHome == SelfData();
  if (atHome) {
    return HandleUnknown(aNow, aFlow, hasGap);
  }
  aRoute.mKind = RouteKind::Record;
  aRoute.mStep = kLookupAnswer | mark;
  aRoute.mUpstream = {};
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = aRoute };
}

PacketAction
PacketEngine::ResumeLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const known = KnownUpstream(aFlow);
  if (!known) {
    return PassLookup(aNow, aFlow, aRoute);
  }
  Note(DecisionKind::FlowFound, aFlow, *known);
  if (aRoute.mHome == SelfData()) {
    return Deliver(aFlow, *known);
  }
  Route route = aRoute;
  route.mKind = RouteKind::Record;
  route.mStep = kLookupAnswer;
  route.mUpstream = *known;
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = route };
}

PacketAction
PacketEngine::HandleUnknown(TimePoint aNow, Flow& aFlow, bool aHasGap)
{
  auto const& base = BaseOf(aFlow);
  auto* const ledger = LedgerOf(base.mAddress);
  auto const absent = AbsentHome(aNow, aFlow);
  bool const complete = ledger != nullptr && ledger->IsEveryFlowIdentified();
  if (complete || !base.mZoneIn) {
    if (absent) {
      mCounters.Add(Counter::AbsentHomesAsked);
      return ToEntry(*absent, AskRoute(aFlow));
    }
    Note(DecisionKind::FlowUnknown, aFlow, {});
    return Drop(Counter::DropUnknownFlow);
  }
  bool const isInferred = !aHasGap && !absent && ledger != nullptr &&
                          ledger->InferAdoptedFlow(aNow, aFlow.mHash);
  if (isInferred) {
    mCounters.Add(Counter::FlowsInferred);
    Note(DecisionKind::FlowInferred, aFlow, base.mAddress);
    return Deliver(aFlow, base.mAddress);
  }
  return DeliverGuess(aFlow, absent);
}

PacketAction
PacketEngine::DeliverGuess(Flow& aFlow, std::optional<EntryIndex> aAbsent)
{
  auto const address = BaseOf(aFlow).mAddress;
  mCounters.Add(Counter::FlowsGuessed);
  Note(DecisionKind::FlowGuessed, aFlow, address);
  auto action = Deliver(aFlow, address);
  if (aAbsent && action.mKind == ActionKind::ToFabric) {
    mCounters.Add(Counter::AbsentHomesAsked);
    action.mCopyTo = mSnapshot->mEntries[*aAbsent].mData;
    action.mCopyRoute = AskRoute(aFlow);
  }
  return action;
}

std::optional<Endpoint>
PacketEngine::KnownUpstream(Flow const& aFlow)
{
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  if (exception != nullptr) {
    return exception->Upstream();
  }
  auto const base = BaseOf(aFlow).mAddress;
  auto* const ledger = LedgerOf(base);
  bool const isThere = ledger != nullptr && ledger->IsConfirmed(aFlow.mHash);
  return isThere ? std::optional(base) : std::nullopt;
}

std::optional<EntryIndex>
PacketEngine::AbsentHome(TimePoint aNow, Flow const& aFlow)
{
  auto const idle = mSnapshot->mServices[aFlow.mService].mService.mIdleTimeout;
  auto const& homes = BaseOf(aFlow).mFailedHomes;
  for (std::size_t tried = 0; tried < homes.size(); ++tried) {
    auto const entry = homes[mAbsentAsked++ % homes.size()];
    // Whatever it recorded before that time has expired.
    if (aNow - mSnapshot->mEntries[entry].mFailedAt > idle) {
      continue;
    }
    return entry;
  }
  return std::nullopt;
}

Route
PacketEngine::AskRoute(Flow const& aFlow) const
{
  Route route;
  route.mKind = RouteKind::Ask;
  route.mUpstream = aFlow.mKey.mService;
  route.mHome = SelfData();
  return route;
}

PacketAction
PacketEngine::HandleAsk(Route const& aRoute, PacketView& aPacket)
{
  // A copy was made after the destination had been rewritten.
  aPacket.RewriteDestination(aRoute.mUpstream);
  auto const flow = MakeFlow(aPacket);
  auto const known = flow ? KnownUpstream(*flow) : std::nullopt;
  if (!known) {
    return { .mKind = ActionKind::Consumed };
  }
  Note(DecisionKind::FlowFound, *flow, *known);
  Route answer = aRoute;
  answer.mKind = RouteKind::Record;
  answer.mStep = kLookupAnswer;
  answer.mUpstream = *known;
  return { .mKind = ActionKind::ToPeer,
           .mPeer = aRoute.mHome,
           .mRoute = answer };
}

PacketAction
PacketEngine::HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  bool const hasGap = (aRoute.mStep & kLookupGap) != 0;
  bool const isAnswer = (aRoute.mStep & ~kLookupGap) == kLookupAnswer;
  if (isAnswer && aRoute.mUpstream.mPort == 0) {
    return HandleUnknown(aNow, aFlow, hasGap);
  }
  StoreRecord(aNow, aFlow, aRoute.mUpstream);
  if (isAnswer) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  auto const& chain = BaseOf(aFlow).mHomeChain;
  if (aRoute.mStep == 0 && chain.size() > 1 && !mSnapshot->IsSelf(chain[1])) {
    if (IsNeighbour(chain[1])) {
      aRoute.mStep = kSecondHome;
      return ToEntry(chain[1], aRoute);
    }
    return DeliverWithCopy(aFlow, aRoute.mUpstream);
  }
  if (aFlow.mPacket.OpensFlow()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  return HandleTouch(aNow, aFlow, aRoute);
}

PacketAction
PacketEngine::DeliverWithCopy(Flow& aFlow, Endpoint aUpstream)
{
  // The flow must not wait for another zone, which may just be cut off.
  auto action = Deliver(aFlow, aUpstream);
  if (action.mKind == ActionKind::ToFabric) {
    auto const second = BaseOf(aFlow).mHomeChain[1];
    action.mCopyTo = mSnapshot->mEntries[second].mData;
    action.mCopyRoute.mKind = RouteKind::Copy;
    action.mCopyRoute.mUpstream = aUpstream;
    action.mCopyRoute.mHome = aFlow.mKey.mService;
  }
  return action;
}

PacketAction
PacketEngine::HandleCopy(TimePoint aNow,
                         Route const& aRoute,
                         PacketView& aPacket)
{
  // The copy was made after the destination had been rewritten.
  aPacket.RewriteDestination(aRoute.mHome);
  if (auto const flow = MakeFlow(aPacket)) {
    StoreException(aNow,
                   { "", flow->mKey.mService, flow->mHash, aRoute.mUpstream });
  }
  return { .mKind = ActionKind::Consumed };
}

void
PacketEngine::StoreRecord(TimePoint aNow, Flow const& aFlow, Endpoint aUpstream)
{
  auto const base = BaseOf(aFlow).mAddress;
  auto* const ledger = LedgerOf(base);
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
  entry.mSeen = CoarseTime(aNow);
  mCounters.Add(Counter::ExceptionsRecorded);
  Note(DecisionKind::ExceptionRecorded, aFlow, aUpstream);
}

PacketAction
PacketEngine::HandleTouch(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aRoute.mUpstream);
  if (found == mSnapshot->mUpstreamByAddress.end()) {
    return Deliver(aFlow, aRoute.mUpstream);
  }
  auto const owner = mSnapshot->mUpstreams[found->second].mOwner;
  bool const elsewhere = owner && !mSnapshot->IsSelf(*owner);
  if (elsewhere && aRoute.mKind != RouteKind::Touch) {
    Route route = aRoute;
    route.mKind = RouteKind::Touch;
    return ToEntry(*owner, route);
  }
  auto* const ledger = LedgerOf(aRoute.mUpstream);
  if (ledger != nullptr &&
      !ledger->RecordCallerPacket(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    ledger->ClaimAdoptedFlow(aNow, aFlow.mHash);
  }
  return Deliver(aFlow, aRoute.mUpstream);
}

} // namespace tarragonsill
