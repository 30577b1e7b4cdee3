#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <utility>

namespace tarragonsill {

void
CookieSteering::SetMaxHedgeShare(double aShare)
{
  mHedger.SetMaxShare(mMechanisms.Uses(Mechanism::HedgedOpenings) ? aShare
                                                                  : 0.0);
}

void
CookieSteering::KeepOpening(TimePoint aNow,
                            FlowPacket const& aPacket,
                            SteeringVerdict const& aVerdict,
                            std::span<std::byte const> aBytes)
{
  if (aPacket.mOpens && aVerdict.mAction == SteeringAction::Forward) {
    mOfferedOpenings.KeepPacket(Detail::KeyOf(aPacket), aPacket, aBytes);
  }
  bool const isFirstCopy = aVerdict.mCause == SteeringCause::NewFlow &&
                           aPacket.mOpeningRetransmissions == 0;
  if (!mHedger.IsEnabled() || !isFirstCopy) {
    return;
  }
  auto const route = mView->mRoutes.find(aPacket.mDestination);
  if (route == mView->mRoutes.end() ||
      route->second.mKind != RequestKind::Idempotent) {
    return;
  }
  auto const health = mLoads[aVerdict.mSlot].mPassiveHealth.Health(aNow);
  mHedger.Keep({ aPacket,
                 { aBytes.begin(), aBytes.end() },
                 aVerdict.mSlot,
                 health != UpstreamHealth::Answering,
                 aNow });
}

bool
CookieSteering::IsUnanswered(PendingOpening const& aOpening)
{
  auto const* const flow = mFlows.Find(Detail::KeyOf(aOpening.mPacket));
  // A copy of the opening packet, or another flow from the same port, changes
  // at least one of these.
  return flow != nullptr && flow->mIsOpening && !flow->mIsClosed &&
         flow->mSlot == aOpening.mSlot &&
         flow->mTrackedSince == aOpening.mOpenedAt &&
         flow->mLastSeen == aOpening.mOpenedAt &&
         flow->mFirstSequence == aOpening.mPacket.mSequence;
}

std::optional<TimePoint>
CookieSteering::NextHedgeDue()
{
  while (auto const* const next = mHedger.Next()) {
    if (IsUnanswered(*next)) {
      return next->mDue;
    }
    mHedger.DropNext();
  }
  return std::nullopt;
}

std::vector<KeptOpening>
CookieSteering::TakeHedgedOpenings(TimePoint aNow)
{
  std::vector<KeptOpening> hedges;
  for (auto& opening : mHedger.TakeDue(aNow)) {
    auto const* const service = HedgedServiceOf(opening);
    if (service == nullptr || !IsUnanswered(opening) ||
        !mHedger.IsJustified(
          aNow, opening, HedgeEvidenceOf(aNow, opening, *service))) {
      continue;
    }
    auto const second = PickHedge(aNow, opening, *service);
    if (!second || !mHedger.TakeShare(aNow)) {
      continue;
    }
    OfferHedge(aNow, opening, *second);
    hedges.push_back({ ForwardTo(second->mSlot, SteeringCause::HedgedOpening),
                       std::move(opening.mBytes) });
  }
  return hedges;
}

ResolvedService const*
CookieSteering::HedgedServiceOf(PendingOpening const& aOpening) const
{
  auto const route = mView->mRoutes.find(aOpening.mPacket.mDestination);
  auto const service = mView->mUpstreams[aOpening.mSlot].mService;
  if (!mView->mIsComplete || route == mView->mRoutes.end() ||
      route->second.mRemoved ||
      route->second.mKind != RequestKind::Idempotent) {
    return nullptr;
  }
  return route->second.SendsTo(service) ? &mView->mServices[service] : nullptr;
}

HedgeEvidence
CookieSteering::HedgeEvidenceOf(TimePoint aNow,
                                PendingOpening const& aOpening,
                                ResolvedService const& aService) const
{
  auto const& tracker = mLoads[aOpening.mSlot].mPassiveHealth;
  HedgeEvidence evidence{ tracker.LastAnswer(), tracker.Health(aNow) };
  for (auto const slot : aService.mUpstreams) {
    if (!UpstreamSelector::CanTakeNewFlows(mView->mUpstreams[slot])) {
      continue;
    }
    auto const health = mLoads[slot].mPassiveHealth.Health(aNow);
    ++evidence.mUpstreams;
    evidence.mSuspectedUpstreams += health == UpstreamHealth::Answering ? 0 : 1;
  }
  return evidence;
}

std::optional<UpstreamSelection>
CookieSteering::PickHedge(TimePoint aNow,
                          PendingOpening const& aOpening,
                          ResolvedService const& aService)
{
  ResolvedService candidates{ aService.mName, {} };
  for (auto const slot : aService.mUpstreams) {
    auto const& upstream = mView->mUpstreams[slot];
    auto const health = mLoads[slot].mPassiveHealth.Health(aNow);
    bool const isServing =
      upstream.mAvailability == UpstreamAvailability::Serving &&
      !upstream.mEvacuated &&
      !UpstreamSelector::IsCold(aNow, upstream, mLoads[slot]);
    if (slot == aOpening.mSlot || !isServing ||
        health != UpstreamHealth::Answering ||
        mZoneSilence[upstream.mZone].IsSilent(aNow)) {
      continue;
    }
    candidates.mUpstreams.push_back(slot);
  }
  return mSelector.Pick(
    aNow, *mView, candidates, { mLoads, mZoneSilence, false, std::nullopt });
}

void
CookieSteering::OfferHedge(TimePoint aNow,
                           PendingOpening const& aOpening,
                           UpstreamSelection const& aSecond)
{
  auto const& packet = aOpening.mPacket;
  auto const key = Detail::KeyOf(packet);
  EraseFlow(key);
  for (auto const slot : { aOpening.mSlot, aSecond.mSlot }) {
    mOfferedOpenings.RecordOffer(aNow, key, packet, slot);
  }
  mOfferedOpenings.KeepPacket(key, packet, aOpening.mBytes);
  auto& flow = TrackFlow(aNow, packet, aSecond.mSlot);
  flow.mDataSent = aOpening.mOpenedAt;
  flow.mIsOpening = true;
  flow.mHedgedFrom = aOpening.mSlot;
  SetCountsAsOpening(flow, true);
  mLoads[aSecond.mSlot].mPassiveHealth.RecordOpening(aNow);
  ZoneSilenceOf(aSecond.mSlot).RecordAttempt(aNow, aSecond.mSlot);
  if (mLogEntries.size() >= kMaxLogEntries) {
    return;
  }
  AddLogEntry(SteeringCause::HedgedOpening,
              packet.mSource,
              packet.mDestination,
              aSecond,
              mLoads[aOpening.mSlot].mPassiveHealth.Health(aNow));
  mLogEntries.back().mHedge = { aOpening.mSlot,
                                std::chrono::duration_cast<milliseconds>(
                                  aNow - aOpening.mOpenedAt) };
}

void
CookieSteering::ObserveHedge(TimePoint aNow,
                             Detail::TrackedFlow const& aFlow,
                             std::optional<std::uint32_t> aCookieSlot)
{
  if (!aFlow.mHedgedFrom || !aCookieSlot) {
    return;
  }
  if (aCookieSlot == aFlow.mHedgedFrom) {
    mHedger.RecordLateAnswer(aNow, *aFlow.mHedgedFrom);
    return;
  }
  bool const isFirstAnswer = aFlow.mIsOpening && aCookieSlot == aFlow.mSlot;
  mHedgesAnsweredFirst += isFirstAnswer ? 1 : 0;
}

std::uint64_t
CookieSteering::TakeHedgesAnsweredFirst()
{
  return std::exchange(mHedgesAnsweredFirst, 0);
}

} // namespace tarragonsill
