#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

/// The last packets of a closed flow arrive within this time.
constexpr milliseconds kClosedFlowTimeout{ 3000 };
/// Callers abandon a handshake after this time (operators' platform).
constexpr milliseconds kOpeningTimeout{ 1400 };
/// The time to read the packets that were queued during a local pause.
constexpr milliseconds kBacklogReadTime{ 20 };
/// Callers send a copy of an opening packet after 200 ms (operators' platform);
/// 50 ms are for delays in transit.
constexpr milliseconds kMaxOpeningAge{ 150 };

SteeringVerdict
NotForwarded(SteeringAction aAction, SteeringCause aCause)
{
  return { aAction, aCause, 0, 0 };
}

} // namespace

CookieSteering::CookieSteering(std::uint64_t aSeed, Mechanisms aMechanisms)
  : mMechanisms(aMechanisms)
  , mView(std::make_shared<RoutingView>())
  , mSelector(aSeed, aMechanisms)
  , mOutboundReach(aSeed)
{
}

UpstreamLoad
CookieSteering::NewLoad() const
{
  UpstreamLoad load;
  load.mPassiveHealth =
    PassiveHealthTracker(mMechanisms.Uses(Mechanism::EvidenceAges));
  return load;
}

void
CookieSteering::SetView(RoutingViewPointer aView)
{
  auto const& before = mView->mUpstreams;
  std::vector<std::uint32_t> replaced;
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    // Observations of an earlier process, or of another upstream in this slot,
    // do not apply.
    auto const& previous = before[slot].mRegistration;
    auto const& current = aView->mUpstreams[slot].mRegistration;
    if (previous.mName != current.mName ||
        previous.mStartMark != current.mStartMark) {
      mLoads[slot].mPassiveHealth = NewLoad().mPassiveHealth;
      mLoads[slot].mAnswerTime = {};
      mAnswerObserver.Forget(static_cast<std::uint32_t>(slot));
      mCrashDetectors[slot] = {};
      mRestarts[slot] = {};
      mChecker.ForgetUpstream(static_cast<std::uint32_t>(slot));
      mHedger.ForgetUpstream(static_cast<std::uint32_t>(slot));
      mOfferedOpenings.ForgetUpstream(static_cast<std::uint32_t>(slot));
      replaced.push_back(static_cast<std::uint32_t>(slot));
    }
  }
  // Copies of their opening packets are new to the process that runs now.
  EraseOpeningFlows(replaced);
  for (auto slot = before.size(); slot < aView->mUpstreams.size(); ++slot) {
    replaced.push_back(static_cast<std::uint32_t>(slot));
  }
  mView = std::move(aView);
  mLoads.resize(mView->mUpstreams.size(), NewLoad());
  mCrashDetectors.resize(mView->mUpstreams.size());
  mRestarts.resize(mView->mUpstreams.size());
  for (std::uint32_t slot = 0; slot < mRestarts.size(); ++slot) {
    mRestarts[slot].RecordRegistration(mView->mUpstreams[slot].mPosition);
    UpdateMayBeCold(slot);
  }
  mZoneSilence.resize(mView->mZones.size() + 1);
  for (auto const slot : replaced) {
    ZoneSilenceOf(slot).RecordRegistration();
  }
}

ZoneReach
CookieSteering::OwnZoneReach(TimePoint aNow) const
{
  bool const isObserved = mMechanisms.Uses(Mechanism::SilentZones) &&
                          mView->mOwnZone < mZoneSilence.size();
  return isObserved ? mZoneSilence[mView->mOwnZone].Reach(aNow)
                    : ZoneReach::Unknown;
}

std::vector<UnsolicitedReset>
CookieSteering::TakeResets()
{
  return std::exchange(mResets, {});
}

std::vector<SteeringLogEntry>
CookieSteering::TakeLogEntries()
{
  return std::exchange(mLogEntries, {});
}

std::vector<ZoneChange>
CookieSteering::TakeZoneChanges(TimePoint aNow)
{
  std::vector<ZoneChange> changes;
  if (!mMechanisms.Uses(Mechanism::SilentZones)) {
    return changes;
  }
  for (std::size_t zone = 0; zone < mView->mZones.size(); ++zone) {
    if (auto const isSilent = mZoneSilence[zone].TakeChange(aNow)) {
      changes.push_back({ mView->mZones[zone], *isSilent });
    }
  }
  return changes;
}

SteeringVerdict
CookieSteering::Steer(TimePoint aNow,
                      FlowPacket const& aPacket,
                      Duration aMaxAge)
{
  auto const verdict = Decide(aNow, aPacket, aMaxAge);
  // Flows of silent upstreams are logged when they are reset, and rejections
  // during a shortage by their counts.
  bool const needsLogEntry = verdict.mAction != SteeringAction::Forward &&
                             verdict.mCause != SteeringCause::SilentUpstream &&
                             verdict.mCause != SteeringCause::Overload;
  if (needsLogEntry) {
    AddLogEntry(verdict.mCause, aPacket.mSource, aPacket.mDestination, {}, {});
  }
  return verdict;
}

SteeringVerdict
CookieSteering::Decide(TimePoint aNow,
                       FlowPacket const& aPacket,
                       Duration aMaxAge)
{
  if (aPacket.mOpens && !aPacket.mAcknowledges &&
      IsLateOpening(aNow, aMaxAge)) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::LateOpening);
  }
  if (!mView->mIsComplete) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::NoConfiguration);
  }
  if (aPacket.mOpens && aPacket.mAcknowledges) {
    // Only upstreams answer opening packets.
    return NotForwarded(SteeringAction::Drop, SteeringCause::NotFromCaller);
  }
  auto const route = mView->mRoutes.find(aPacket.mDestination);
  bool const isKnown = route != mView->mRoutes.end();
  if (isKnown && route->second.mRemoved) {
    return RejectRemovedRoute(aPacket);
  }
  if (!aPacket.mOpens) {
    return SteerOpenFlow(aNow, aPacket);
  }
  if (isKnown) {
    return SteerOpening(aNow, aPacket, route->second);
  }
  if (IsViewFromBeforePause()) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::UnknownRoute);
  }
  // The configuration of a new route may still be on its way. A retransmission
  // of the opening packet finds the route or is reset.
  return NotForwarded(aPacket.mOpeningRetransmissions > 0
                        ? SteeringAction::Reset
                        : SteeringAction::Drop,
                      SteeringCause::UnknownRoute);
}

bool
CookieSteering::IsLateOpening(TimePoint aNow, Duration aMaxAge) const
{
  // The caller has retransmitted the packet meanwhile, and may have opened the
  // flow at another upstream through another VM. A second answer would break
  // that flow.
  return mMechanisms.Uses(Mechanism::LateOpenings) &&
         (aMaxAge > kMaxOpeningAge || aNow < mResumedAt + kBacklogReadTime);
}

bool
CookieSteering::IsViewFromBeforePause() const
{
  return mResumedAt != TimePoint{} && mCurrentAsOf <= mResumedAt;
}

SteeringVerdict
CookieSteering::RejectRemovedRoute(FlowPacket const& aPacket)
{
  if (aPacket.mResets) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::RemovedRoute);
  }
  // The route may have been put back, which this VM does not know yet, and a
  // flow that it never carried may have been opened since.
  auto const* known = mFlows.Find(Detail::KeyOf(aPacket));
  bool const isOwnFlow = known != nullptr && Detail::Continues(aPacket, *known);
  // An opening packet that was queued meanwhile may have opened its flow
  // through another VM.
  bool const mayBeOpen = aPacket.mOpens ? IsViewFromBeforePause() : !isOwnFlow;
  if (mayBeOpen) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::StaleRoute);
  }
  return NotForwarded(SteeringAction::Reset, SteeringCause::RemovedRoute);
}

SteeringVerdict
CookieSteering::SteerOpening(TimePoint aNow,
                             FlowPacket const& aPacket,
                             ResolvedRoute const& aRoute)
{
  auto const key = Detail::KeyOf(aPacket);
  auto* const known = mFlows.Find(key);
  bool const isSameFlow =
    known != nullptr && known->mFirstSequence == aPacket.mSequence;
  // The caller has an answer, and a second upstream would answer again.
  if (isSameFlow && !known->mIsOpening && !known->mIsClosed &&
      aPacket.mOpeningRetransmissions > 0) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::LateOpening);
  }
  bool const isRetransmission = isSameFlow && known->mIsOpening;
  std::optional<std::uint32_t> avoid;
  if (isRetransmission) {
    auto const slot = known->mSlot;
    mOfferedOpenings.RecordOffer(aNow, key, aPacket, slot);
    auto const health = mLoads[slot].mPassiveHealth.Health(aNow);
    // A hedge was the second choice already.
    bool const isHedged =
      known->mHedgedFrom && aPacket.mOpeningRetransmissions <= 1;
    bool const isHealthy = health == UpstreamHealth::Answering || isHedged ||
                           !mMechanisms.Uses(Mechanism::SecondChoice);
    auto const& upstream = mView->mUpstreams[slot];
    // The route may have moved to another service since the first packet.
    if (aRoute.SendsTo(upstream.mService) &&
        UpstreamSelector::CanTakeNewFlows(upstream) && isHealthy) {
      known->mLastSeen = aNow;
      return ForwardTo(slot, SteeringCause::OpeningCopy);
    }
    avoid = slot;
  }
  if (aRoute.mShares.empty()) {
    return NotForwarded(SteeringAction::Reset, SteeringCause::NoUpstream);
  }
  auto const service = mSelector.PickService(aRoute);
  if (!isSameFlow && IsRejectedForPriority(aNow, aPacket, aRoute, service)) {
    return NotForwarded(SteeringAction::Reset, SteeringCause::Overload);
  }
  auto const detector =
    mSaturationDetectors.find(SaturationKey(service, aPacket.mDestination));
  bool const isSaturated =
    detector != mSaturationDetectors.end() &&
    detector->second.IsSaturated(aNow, aRoute.mLatencyTarget);
  auto const selection =
    mSelector.Pick(aNow,
                   *mView,
                   mView->mServices[service],
                   { mLoads,
                     mZoneSilence,
                     isSaturated,
                     avoid,
                     mSharedLoads.get(),
                     RequestsPerFlowOf(aPacket.mDestination) });
  if (!selection) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::NoUpstream);
  }
  bool const isSecondChoice = isRetransmission && selection->mSlot != *avoid;
  EraseFlow(key);
  if (aPacket.mOpeningRetransmissions > 0) {
    mOfferedOpenings.RecordOffer(aNow, key, aPacket, selection->mSlot);
  }
  auto& flow = TrackFlow(aNow, aPacket, selection->mSlot);
  flow.mIsOpening = true;
  flow.mIsOpenedHere = true;
  SetCountsAsOpening(flow, true);
  auto& tracker = mLoads[selection->mSlot].mPassiveHealth;
  auto const cause =
    isSecondChoice ? SteeringCause::SecondChoice : SteeringCause::NewFlow;
  AddLogEntry(cause,
              aPacket.mSource,
              aPacket.mDestination,
              *selection,
              tracker.Health(aNow));
  tracker.RecordOpening(aNow);
  ZoneSilenceOf(selection->mSlot).RecordAttempt(aNow, selection->mSlot);
  auto verdict = ForwardTo(selection->mSlot, cause);
  verdict.mIsByDelay = selection->mIsByDelay;
  return verdict;
}

SteeringVerdict
CookieSteering::SteerOpenFlow(TimePoint aNow, FlowPacket const& aPacket)
{
  auto const key = Detail::KeyOf(aPacket);
  auto* known = mFlows.Find(key);
  auto const found = mView->mSlotByCookie.find(aPacket.mCookie);
  bool const continues = known != nullptr && Detail::Continues(aPacket, *known);
  // A flow that has gone on through other VMs may have a late cookie already.
  bool const isFirstPacket = continues && known->mIsOpening &&
                             aPacket.mSequence == known->mFirstSequence + 1;
  // If copies of the opening packet reached several upstreams, perhaps through
  // other VMs, the caller uses the first that answered. A late answer of
  // another one may still change the cookie, but acknowledges nothing new.
  bool const isOpen = continues && !known->mIsOpening;
  bool const hasAdvanced = isOpen && Detail::HasAdvanced(aPacket, *known);
  bool const isPinned = isOpen && known->mIsPinned;
  // Another VM may have seen where the flow opened.
  auto const reported =
    isPinned ? std::nullopt : mOfferedOpenings.HolderOf(key, aPacket);
  bool const isHeld =
    isPinned || (isOpen && (!hasAdvanced || IsShownToHold(*known)));
  if (!isHeld && !reported && found == mView->mSlotByCookie.end()) {
    return NotForwarded(SteeringAction::Drop, SteeringCause::UnknownCookie);
  }
  auto const slot = reported ? *reported
                    : isHeld ? known->mSlot
                             : found->second;
  auto const namedSlot = found == mView->mSlotByCookie.end()
                           ? std::nullopt
                           : std::optional(found->second);
  if (continues) {
    ObserveHedge(aNow, *known, namedSlot);
  }
  bool const isAnswered = hasAdvanced && known->mSlot == slot;
  if (aPacket.mResets) {
    EraseFlow(key);
    return ForwardTo(slot, SteeringCause::OpenFlow);
  }
  if (known == nullptr || known->mSlot != slot) {
    auto const opening = isFirstPacket ? *known : Detail::TrackedFlow{};
    EraseFlow(key);
    known = &TrackFlow(aNow, aPacket, slot);
    if (isFirstPacket) {
      known->mFirstSequence = opening.mFirstSequence;
      known->mDataSent = opening.mDataSent;
      known->mIsOpening = true;
      known->mIsOpenedHere = opening.mIsOpenedHere;
    }
  }
  known->mIsPinned =
    isPinned || reported.has_value() || isFirstPacket || isAnswered;
  if (known->mIsPinned) {
    CorrectLateAnswers(aNow, aPacket, { slot, namedSlot });
  }
  ObservePacket(aNow, aPacket, *known);
  if (auto const proof = FindLossProof(aNow, *known)) {
    AddLossLogEntry(aNow, *known, *proof);
    EraseFlow(key);
    return NotForwarded(SteeringAction::Reset, SteeringCause::SilentUpstream);
  }
  return ForwardTo(slot, SteeringCause::OpenFlow);
}

SteeringVerdict
CookieSteering::ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const
{
  return {
    SteeringAction::Forward, aCause, aSlot, mView->mUpstreams[aSlot].mCookie
  };
}

void
CookieSteering::Sweep(TimePoint aNow)
{
  ReviewUpstreams(aNow);
  mOfferedOpenings.RemoveExpired(aNow);
  ReviewRestarts();
  ReviewOutboundReach(aNow);
  mFlows.EraseIf([&](Detail::TrackedFlow& aFlow) {
    if (aNow > aFlow.mLastSeen + kOpeningTimeout) {
      SetCountsAsOpening(aFlow, false);
    }
    auto const timeout = aFlow.mIsClosed ? Duration(kClosedFlowTimeout)
                                         : Duration(mView->mIdleTimeout);
    bool const isIdle = aNow > aFlow.mLastSeen + timeout;
    auto const proof = isIdle ? std::nullopt : FindLossProof(aNow, aFlow);
    if (!isIdle && !proof) {
      return false;
    }
    if (proof && !aFlow.mIsOpening && !aFlow.mIsClosed) {
      mResets.push_back({ aFlow.mCaller, aFlow.mRoute, aFlow.mAcknowledged });
      AddLossLogEntry(aNow, aFlow, *proof);
    }
    ReleaseLoad(aFlow);
    return true;
  });
  ReviewShortages(aNow);
}

} // namespace tarragonsill
