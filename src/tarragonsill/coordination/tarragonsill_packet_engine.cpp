#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_packet_engine_constants.hpp"

namespace tarragonsill {

using namespace Detail;

PacketEngine::PacketEngine(Options aOptions, Counters& aCounters)
  : mOptions(aOptions)
  , mCounters(aCounters)
  , mAnswers(aOptions.mAnswerCacheCapacity)
{
}

PacketAction
PacketEngine::HandleFabric(TimePoint aNow, PacketView& aPacket)
{
  if (!mSnapshot) {
    return Drop(Counter::DropNoConfiguration);
  }
  if (auto flow = MakeFlow(aPacket)) {
    return HandleCallerPacket(aNow, *flow);
  }
  return HandleAnswer(aNow, aPacket, false);
}

PacketAction
PacketEngine::HandlePeer(TimePoint aNow,
                         Route const& aRoute,
                         PacketView& aPacket)
{
  if (!mSnapshot) {
    return Drop(Counter::DropNoConfiguration);
  }
  if (aRoute.mHops >= kMaxHops) {
    return Drop(Counter::DropHopLimit);
  }
  if (aRoute.mKind == RouteKind::Answer) {
    return HandleAnswer(aNow, aPacket, true);
  }
  if (aRoute.mKind == RouteKind::ExceptionCopy) {
    return HandleExceptionCopy(aNow, aRoute, aPacket);
  }
  if (aRoute.mKind == RouteKind::UpstreamQuery) {
    return HandleUpstreamQuery(aRoute, aPacket);
  }
  auto flow = MakeFlow(aPacket);
  if (!flow) {
    return Drop(Counter::DropUnknownService);
  }
  switch (aRoute.mKind) {
    case RouteKind::Lookup:
      return HandleLookup(aNow, *flow, aRoute);
    case RouteKind::Admit:
      return TryCandidates(aNow, *flow, aRoute);
    case RouteKind::Record:
      return HandleRecord(aNow, *flow, aRoute);
    case RouteKind::Refresh:
      return RefreshAtOwner(aNow, *flow, aRoute);
    default:
      return DecideAtHome(aNow, *flow, aRoute.mHops);
  }
}

std::optional<PacketEngine::Flow>
PacketEngine::MakeFlow(PacketView& aPacket) const
{
  auto const found = mSnapshot->mServiceByAddress.find(aPacket.Destination());
  if (found == mSnapshot->mServiceByAddress.end()) {
    return std::nullopt;
  }
  FlowKey const key{ aPacket.Source(),
                     aPacket.Destination(),
                     aPacket.Protocol() };
  Flow flow{ aPacket, key, key.Hash(), found->second, 0, false };
  auto const& service = mSnapshot->mServices[flow.mService];
  if (service.mTable.Empty()) {
    return std::nullopt;
  }
  flow.mShare = service.mTable.Pick(flow.mHash);
  flow.mIsNew =
    aPacket.OpensFlow() || aPacket.Protocol() == TransportProtocol::Udp;
  return flow;
}

SnapshotBaseShare const&
PacketEngine::BaseShareOf(Flow const& aFlow) const
{
  return mSnapshot->mServices[aFlow.mService].mBase[aFlow.mShare];
}

std::optional<std::size_t>
PacketEngine::SelfIndexInChain(SnapshotBaseShare const& aBase) const
{
  for (std::size_t index = 0; index < aBase.mHomeChain.size(); ++index) {
    if (mSnapshot->IsSelf(aBase.mHomeChain[index])) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<PacketEngine::AnswerOrigin>
PacketEngine::FindOrigin(Endpoint aUpstream) const
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aUpstream);
  if (found != mSnapshot->mUpstreamByAddress.end()) {
    auto const& upstream = mSnapshot->mUpstreams[found->second];
    return AnswerOrigin{ upstream.mService,
                         upstream.mOwner,
                         upstream.mIsZoneInService };
  }
  auto const retired = mSnapshot->mRetired.find(aUpstream);
  if (retired != mSnapshot->mRetired.end()) {
    return AnswerOrigin{ retired->second, std::nullopt, true };
  }
  return std::nullopt;
}

PacketAction
PacketEngine::HandleAnswer(TimePoint aNow, PacketView& aPacket, bool aAtOwner)
{
  auto const upstream = aPacket.Source();
  auto const origin = FindOrigin(upstream);
  if (!origin) {
    return Drop(Counter::DropUnknownService);
  }
  if (!origin->mIsZoneInService) {
    return Drop(Counter::DropZoneOut);
  }
  auto const address = mSnapshot->mServices[origin->mService].mService.mAddress;
  FlowKey const key{ aPacket.Destination(), address, aPacket.Protocol() };
  auto const hash = key.Hash();
  constexpr std::uint8_t kOwnerFlags =
    TcpFlags::kSyn | TcpFlags::kFin | TcpFlags::kRst;
  if ((aPacket.Flags() & kOwnerFlags) != 0) {
    auto const& owner = origin->mOwner;
    if (!aAtOwner && owner && !mSnapshot->IsSelf(*owner)) {
      mAnswers.Forget(hash);
      Route route;
      route.mKind = RouteKind::Answer;
      return ToEntry(*owner, route);
    }
    if (RecordAnswer(aNow, aPacket, hash, owner.has_value())) {
      return Drop(Counter::ResetsHeldBack);
    }
  }
  if (aPacket.EndsFlow()) {
    mAnswers.Forget(hash);
  } else {
    mAnswers.Learn(aNow, hash, upstream);
    mCounters.Add(Counter::AnswersLearned);
  }
  aPacket.RewriteSource(address);
  mCounters.Add(Counter::PacketsToCaller);
  return { .mKind = ActionKind::ToFabric };
}

bool
PacketEngine::RecordAnswer(TimePoint aNow,
                           PacketView const& aPacket,
                           std::uint64_t aFlow,
                           bool aHasOwner)
{
  auto* const ledger = FindLedger(aPacket.Source());
  if (!aHasOwner || ledger == nullptr) {
    // Without an owner or a ledger, it is unknown whether the upstream had the
    // flow. If it had not, the caller must not see the reset; if it had, the
    // upstream will send the reset again.
    return (aPacket.Flags() & TcpFlags::kRst) != 0;
  }
  return ledger->RecordAnswer(aNow, aFlow, aPacket.Flags()) ==
         AnswerVerdict::HoldBack;
}

PacketAction
PacketEngine::HandleCallerPacket(TimePoint aNow, Flow& aFlow)
{
  bool const isMidFlow =
    !aFlow.mPacket.OpensFlow() && !aFlow.mPacket.EndsFlow();
  if (isMidFlow) {
    if (auto const upstream = mAnswers.Find(aNow, aFlow.mHash)) {
      mCounters.Add(Counter::CacheHits);
      return Deliver(aFlow, *upstream);
    }
  } else {
    mAnswers.Forget(aFlow.mHash);
  }
  return DecideAtHome(aNow, aFlow, 0);
}

PacketAction
PacketEngine::DecideAtHome(TimePoint aNow, Flow& aFlow, std::uint8_t aHops)
{
  auto const& base = BaseShareOf(aFlow);
  if (base.mHomeChain.empty()) {
    return Drop(Counter::DropNoHome);
  }
  if (!mSnapshot->IsSelf(base.mHomeChain.front()) &&
      aHops < kMaxHomeForwardHops) {
    Route route;
    route.mHops = aHops;
    return ToEntry(base.mHomeChain.front(), route);
  }
  auto* const exception = mExceptions[aFlow.mService].Find(aFlow.mHash);
  if (exception != nullptr && !aFlow.mPacket.OpensFlow()) {
    return DeliverException(aNow, aFlow, *exception, aHops);
  }
  auto* const ledger = FindLedger(base.mAddress);
  if (ledger != nullptr && !aFlow.mPacket.OpensFlow() &&
      ledger->RecordCallerPacket(aNow, aFlow.mHash, aFlow.mPacket.Flags())) {
    return Deliver(aFlow, base.mAddress);
  }
  Route route;
  route.mHops = aHops;
  route.mHome = OwnDataEndpoint();
  if (aFlow.mIsNew) {
    if (exception != nullptr) {
      // A retransmitted opening packet goes to the upstream of the first one.
      route.mUpstream = exception->Upstream();
    }
    return TryCandidates(aNow, aFlow, route);
  }
  if (!aFlow.mPacket.EndsFlow()) {
    if (auto const upstream = mAnswers.Find(aNow, aFlow.mHash)) {
      mCounters.Add(Counter::CacheHits);
      return Deliver(aFlow, *upstream);
    }
  }
  return ForwardLookup(aNow, aFlow, route);
}

PacketAction
PacketEngine::Deliver(Flow& aFlow, Endpoint aUpstream)
{
  auto const found = mSnapshot->mUpstreamByAddress.find(aUpstream);
  if (found != mSnapshot->mUpstreamByAddress.end()) {
    auto const& upstream = mSnapshot->mUpstreams[found->second];
    if (upstream.mService != aFlow.mService) {
      return Drop(Counter::DropUnknownService);
    }
    if (!upstream.mIsZoneInService) {
      return Drop(Counter::DropZoneOut);
    }
  }
  aFlow.mPacket.RewriteDestination(aUpstream);
  mCounters.Add(Counter::PacketsToUpstream);
  return { .mKind = ActionKind::ToFabric };
}

PacketAction
PacketEngine::ToEntry(EntryIndex aEntry, Route aRoute)
{
  mCounters.Add(Counter::PacketsToPeer);
  ++aRoute.mHops;
  return { .mKind = ActionKind::ToPeer,
           .mPeer = mSnapshot->mEntries[aEntry].mData,
           .mRoute = aRoute };
}

PacketAction
PacketEngine::Drop(Counter aCause)
{
  mCounters.Add(aCause);
  return { .mKind = ActionKind::Drop, .mCause = aCause };
}

FlowLedger*
PacketEngine::FindLedger(Endpoint aUpstream)
{
  auto const found = mLedgers.find(aUpstream);
  return found == mLedgers.end() ? nullptr : &found->second;
}

AdmissionLease const*
PacketEngine::FindLease(Endpoint aUpstream) const
{
  if (!mLeases) {
    return nullptr;
  }
  for (auto const& lease : *mLeases) {
    if (lease.mUpstream == aUpstream) {
      return &lease;
    }
  }
  return nullptr;
}

bool
PacketEngine::IsInOwnZone(EntryIndex aEntry) const
{
  return mSnapshot->mSelf && mSnapshot->mEntries[aEntry].mZone ==
                               mSnapshot->mEntries[*mSnapshot->mSelf].mZone;
}

Endpoint
PacketEngine::OwnDataEndpoint() const
{
  return mSnapshot->mSelf ? mSnapshot->mEntries[*mSnapshot->mSelf].mData
                          : Endpoint{};
}

void
PacketEngine::LogDecision(DecisionKind aKind,
                          Flow const& aFlow,
                          Endpoint aUpstream)
{
  if (mDecisions.size() >= kMaxQueuedDecisions) {
    mCounters.Add(Counter::DecisionLogOverflow);
    return;
  }
  mDecisions.push_back({ aKind, aFlow.mKey, aUpstream });
}

} // namespace tarragonsill
