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
  auto const& chain = BaseOf(aFlow).mChain;
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
  auto const position = PositionInChain(base);
  auto const next = position ? *position + 1 : std::size_t{ aRoute.mStep } + 1;
  if (next < base.mChain.size()) {
    aRoute.mKind = RouteKind::Lookup;
    aRoute.mStep = static_cast<std::uint8_t>(next);
    return ToEntry(base.mChain[next], aRoute);
  }
  // Nobody holds an exception: the flow followed the pure choice, unless the
  // owner of that choice knows every flow of its upstream.
  bool const atHome = aRoute.mHome == SelfData();
  if (!atHome) {
    aRoute.mKind = RouteKind::Record;
    aRoute.mStep = kLookupAnswer;
    aRoute.mUpstream = {};
    return { .mKind = ActionKind::ToPeer,
             .mPeer = aRoute.mHome,
             .mRoute = aRoute };
  }
  return HandleLookupAnswer(aNow, aFlow, {});
}

PacketAction
PacketEngine::ResumeLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute)
{
  auto const& base = BaseOf(aFlow);
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  auto* const ledger = LedgerOf(base.mAddress);
  std::optional<Endpoint> known;
  if (exception != nullptr) {
    known = exception->Upstream();
  } else if (ledger != nullptr && ledger->Contains(aFlow.mHash)) {
    known = base.mAddress;
  }
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
PacketEngine::HandleLookupAnswer(TimePoint aNow,
                                 Flow& aFlow,
                                 Endpoint aUpstream)
{
  auto const& base = BaseOf(aFlow);
  bool const found = aUpstream.mPort != 0;
  if (found) {
    StoreRecord(aNow, aFlow, aUpstream);
    return Deliver(aFlow, aUpstream);
  }
  auto* const ledger = LedgerOf(base.mAddress);
  bool const complete = ledger != nullptr && ledger->Complete();
  if (complete || !base.mZoneIn) {
    Note(DecisionKind::FlowUnknown, aFlow, {});
    return Drop(Counter::DropUnknownFlow);
  }
  mCounters.Add(Counter::FlowsGuessed);
  Note(DecisionKind::FlowGuessed, aFlow, base.mAddress);
  if (base.mHomeInZone) {
    // A guess from outside the zone must not outlive a cut.
    StoreRecord(aNow, aFlow, base.mAddress);
  }
  return Deliver(aFlow, base.mAddress);
}

PacketAction
PacketEngine::HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  if (aRoute.mStep == kLookupAnswer) {
    return HandleLookupAnswer(aNow, aFlow, aRoute.mUpstream);
  }
  StoreRecord(aNow, aFlow, aRoute.mUpstream);
  auto const& chain = BaseOf(aFlow).mChain;
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
    auto const second = BaseOf(aFlow).mChain[1];
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
  if (aUpstream == BaseOf(aFlow).mAddress) {
    auto* const ledger = LedgerOf(aUpstream);
    if (ledger != nullptr &&
        (ledger->Contains(aFlow.mHash) || ledger->Claim(aNow, aFlow.mHash))) {
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
      !ledger->NoteCaller(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    ledger->Claim(aNow, aFlow.mHash);
  }
  return Deliver(aFlow, aRoute.mUpstream);
}

} // namespace tarragonsill
