#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_packet_engine_constants.hpp"

namespace tarragonsill {

using namespace Detail;

PacketAction
PacketEngine::TryCandidates(TimePoint aNow, Flow& aFlow, Route aRoute)
{
  auto candidates = mSnapshot->Candidates(aFlow.mService, aFlow.mHash);
  auto const preferred = mSnapshot->mUpstreamByAddress.find(aRoute.mUpstream);
  if (aRoute.mStep == 0 && preferred != mSnapshot->mUpstreamByAddress.end() &&
      mSnapshot->mUpstreams[preferred->second].mService == aFlow.mService) {
    candidates.insert(candidates.begin(), preferred->second);
  }
  for (std::size_t step = aRoute.mStep; step < candidates.size(); ++step) {
    auto const& upstream = mSnapshot->mUpstreams[candidates[step]];
    if (!upstream.mOwner || !upstream.mIsZoneInService) {
      continue;
    }
    if (!mSnapshot->IsSelf(*upstream.mOwner)) {
      aRoute.mKind = RouteKind::Admit;
      aRoute.mStep = static_cast<std::uint8_t>(step);
      aRoute.mUpstream = step == 0 ? aRoute.mUpstream : Endpoint{};
      return ToEntry(*upstream.mOwner, aRoute);
    }
    bool isRetransmission = false;
    if (TryAdmit(aNow, aFlow, candidates[step], isRetransmission)) {
      return FinishAdmission(
        aNow, aFlow, aRoute, candidates[step], isRetransmission);
    }
  }
  LogDecision(DecisionKind::NoCapacity, aFlow, {});
  return Drop(Counter::DropNoCapacity);
}

bool
PacketEngine::TryAdmit(TimePoint aNow,
                       Flow const& aFlow,
                       std::size_t aUpstream,
                       bool& aIsRetransmission)
{
  auto const& upstream = mSnapshot->mUpstreams[aUpstream];
  auto const address = upstream.mUpstream.mAddress;
  auto const* const lease = FindLease(address);
  auto* const ledger = FindLedger(address);
  if (ledger != nullptr && ledger->Contains(aFlow.mHash)) {
    aIsRetransmission = true;
    ledger->Admit(aNow, aFlow.mHash, 0);
    return true;
  }
  if (lease == nullptr || ledger == nullptr || aNow >= lease->mUntil) {
    mCounters.Add(Counter::FlowsRefusedNoLease);
    LogDecision(DecisionKind::RefusedNoLease, aFlow, address);
    return false;
  }
  if (!upstream.TakesNewWork()) {
    return false;
  }
  switch (ledger->Admit(aNow, aFlow.mHash, lease->mCeiling.mConnections)) {
    case Admission::Full:
      mCounters.Add(Counter::FlowsRefusedFull);
      LogDecision(DecisionKind::RefusedFull, aFlow, address);
      return false;
    case Admission::Cold:
      mCounters.Add(Counter::FlowsRefusedCold);
      LogDecision(DecisionKind::RefusedCold, aFlow, address);
      return false;
    case Admission::AlreadyAdmitted:
    case Admission::Admitted:
      return true;
  }
  return false;
}

PacketAction
PacketEngine::FinishAdmission(TimePoint aNow,
                              Flow& aFlow,
                              Route aRoute,
                              std::size_t aUpstream,
                              bool aIsRetransmission)
{
  auto const address = mSnapshot->mUpstreams[aUpstream].mUpstream.mAddress;
  bool const atHome = aRoute.mHome == OwnDataEndpoint();
  bool const isAtHashChoice = address == BaseShareOf(aFlow).mAddress && atHome;
  if (!aIsRetransmission) {
    mCounters.Add(Counter::FlowsAdmitted);
    LogDecision(isAtHashChoice ? DecisionKind::AdmittedHashChoice
                               : DecisionKind::AdmittedException,
                aFlow,
                address);
  }
  if (isAtHashChoice) {
    mExceptions[aFlow.mService].Erase(aFlow.mHash);
    return Deliver(aFlow, address);
  }
  if (!aIsRetransmission) {
    mCounters.Add(Counter::FlowsDeviated);
  }
  aRoute.mKind = RouteKind::Record;
  aRoute.mStep = 0;
  aRoute.mUpstream = address;
  if (!atHome) {
    return { .mKind = ActionKind::ToPeer,
             .mPeer = aRoute.mHome,
             .mRoute = aRoute };
  }
  return HandleRecord(aNow, aFlow, aRoute);
}

} // namespace tarragonsill
