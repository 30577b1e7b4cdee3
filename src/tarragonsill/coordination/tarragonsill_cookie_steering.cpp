#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

/// Some upstream must have answered this recently before another one's silence
/// is held against it.
constexpr milliseconds kOthersAnswered{ 400 };
/// Callers repeat data after 200 ms (platform); what comes again sooner was
/// only overtaken by later packets.
constexpr milliseconds kRepeatAfter{ 150 };
/// The last packets of a closed flow come within this time.
constexpr milliseconds kClosedTime{ 3000 };
/// After a standstill it takes this long to read what waited meanwhile.
constexpr milliseconds kReadWaiting{ 20 };
/// Notes that wait to be taken; more are dropped.
constexpr std::size_t kMostNotes = 256;

/// Whether a sequence number comes after another one, across the wrap.
bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

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
    case SteeringCause::SecondChoice:
      return "second_choice";
    case SteeringCause::SilentUpstream:
      return "silent_upstream";
    case SteeringCause::LateOpening:
      return "late_opening";
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
    case SteeringCause::SecondChoice:
      return Counter::FlowsSecondChoice;
    case SteeringCause::SilentUpstream:
      return Counter::ResetsSilentUpstream;
    case SteeringCause::LateOpening:
      return Counter::DropStale;
    case SteeringCause::OpenFlow:
      break;
  }
  return std::nullopt;
}

CookieSteering::CookieSteering(std::uint64_t aSeed)
  : mView(std::make_shared<RoutingView>())
  , mChoice(aSeed)
{
}

void
CookieSteering::Use(RoutingViewPointer aView)
{
  auto const& before = mView->mUpstreams;
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    // A new process, or another upstream in the same slot, starts afresh.
    auto const& was = before[slot].mRecord;
    auto const& is = aView->mUpstreams[slot].mRecord;
    if (was.mName != is.mName || was.mStartMark != is.mStartMark) {
      mLoads[slot].mWatch = {};
      mLoads[slot].mPace = {};
    }
  }
  mView = std::move(aView);
  mLoads.resize(mView->mUpstreams.size());
}

std::vector<UnaskedReset>
CookieSteering::TakeResets()
{
  return std::exchange(mResets, {});
}

std::vector<SteeringNote>
CookieSteering::TakeNotes()
{
  return std::exchange(mNotes, {});
}

SteeringVerdict
CookieSteering::Steer(TimePoint aNow, FlowPacket const& aPacket)
{
  auto const verdict = Decide(aNow, aPacket);
  // Flows that are given up have their line already.
  bool const isRefusal = verdict.mAction != SteeringAction::Forward &&
                         verdict.mCause != SteeringCause::SilentUpstream;
  if (isRefusal) {
    Note(verdict.mCause, aPacket.mSource, aPacket.mDestination, {}, {});
  }
  return verdict;
}

SteeringVerdict
CookieSteering::Decide(TimePoint aNow, FlowPacket const& aPacket)
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
  // Its caller has sent copies since, and may have opened the flow at another
  // upstream through another VM; a second answer would lead it astray.
  if (aNow < mStoodStillUntil + kReadWaiting) {
    return Refuse(SteeringAction::Drop, SteeringCause::LateOpening);
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
  bool const isCopy = known != nullptr && known->mIsOpening &&
                      known->mFirstSequence == aPacket.mSequence;
  std::optional<std::uint32_t> avoid;
  if (isCopy) {
    auto const slot = known->mSlot;
    auto const health = mLoads[slot].mWatch.Health(aNow);
    if (UpstreamChoice::MayTake(mView->mUpstreams[slot]) &&
        health == UpstreamHealth::Answering) {
      known->mSeen = aNow;
      return ForwardTo(slot, SteeringCause::OpeningCopy);
    }
    avoid = slot;
  }
  if (aRoute.mShares.empty()) {
    return Refuse(SteeringAction::Reset, SteeringCause::NoUpstream);
  }
  auto const service = mChoice.PickService(aRoute);
  auto const pressure =
    mPressures.find(PressureKey(service, aPacket.mDestination));
  bool const isSaturated =
    pressure != mPressures.end() &&
    pressure->second.IsSaturated(aNow, aRoute.mLatencyTarget);
  auto const pick = mChoice.Pick(
    aNow, *mView, mView->mServices[service], { mLoads, isSaturated, avoid });
  if (!pick) {
    return Refuse(SteeringAction::Drop, SteeringCause::NoUpstream);
  }
  Forget(key);
  auto& flow = Track(aNow, aPacket, pick->mSlot);
  flow.mIsOpening = true;
  flow.mWasOfferedTwice = isCopy && pick->mSlot != *avoid;
  auto& watch = mLoads[pick->mSlot].mWatch;
  auto const cause = flow.mWasOfferedTwice ? SteeringCause::SecondChoice
                                           : SteeringCause::NewFlow;
  Note(cause, aPacket.mSource, aPacket.mDestination, *pick, watch.Health(aNow));
  watch.OpeningSent(aNow);
  return ForwardTo(pick->mSlot, cause);
}

SteeringVerdict
CookieSteering::Continue(TimePoint aNow, FlowPacket const& aPacket)
{
  auto const key = KeyOf(aPacket);
  auto* known = mFlows.Find(key);
  auto const found = mView->mSlotByCookie.find(aPacket.mCookie);
  // Of two upstreams that were offered a flow the caller took the first that
  // answered; a late answer of the other one may still change the cookie.
  bool const isPinned =
    known != nullptr && known->mWasOfferedTwice && !known->mIsOpening;
  if (!isPinned && found == mView->mSlotByCookie.end()) {
    return Refuse(SteeringAction::Drop, SteeringCause::UnknownCookie);
  }
  auto const slot = isPinned ? known->mSlot : found->second;
  if (aPacket.mResets) {
    Forget(key);
    return ForwardTo(slot, SteeringCause::OpenFlow);
  }
  if (known == nullptr || known->mSlot != slot) {
    bool const offeredTwice = known != nullptr && known->mWasOfferedTwice;
    Forget(key);
    known = &Track(aNow, aPacket, slot);
    known->mWasOfferedTwice = offeredTwice;
    known->mIsOpening = offeredTwice;
  }
  Learn(aNow, aPacket, *known);
  if (IsLost(aNow, slot)) {
    Note(SteeringCause::SilentUpstream,
         aPacket.mSource,
         aPacket.mDestination,
         { slot, 0.0, 0 },
         mLoads[slot].mWatch.Health(aNow));
    Forget(key);
    return Refuse(SteeringAction::Reset, SteeringCause::SilentUpstream);
  }
  return ForwardTo(slot, SteeringCause::OpenFlow);
}

void
CookieSteering::Learn(TimePoint aNow,
                      FlowPacket const& aPacket,
                      Detail::TrackedFlow& aFlow)
{
  auto& load = mLoads[aFlow.mSlot];
  aFlow.mSeen = aNow;
  bool const answered =
    aFlow.mIsOpening || (aPacket.mAcknowledges &&
                         IsAfter(aPacket.mAcknowledged, aFlow.mAcknowledged));
  if (answered) {
    load.mWatch.Answered(aNow);
    mLastAnswer = aNow;
    aFlow.mCopies = 0;
    aFlow.mAcknowledged = aPacket.mAcknowledged;
  }
  if (aFlow.mIsOpening) {
    mLatencies.mHandshake.Record(aNow - aFlow.mDataSent);
  }
  if (answered && aFlow.mInProgress) {
    NoteAnswer(aNow, aFlow);
    aFlow.mInProgress = false;
    --load.mInProgress;
  }
  aFlow.mIsOpening = false;
  if (aPacket.mDataBytes > 0 || aPacket.mCloses) {
    LearnData(aNow, aPacket, aFlow);
  }
}

void
CookieSteering::LearnData(TimePoint aNow,
                          FlowPacket const& aPacket,
                          Detail::TrackedFlow& aFlow)
{
  auto& load = mLoads[aFlow.mSlot];
  auto const end =
    aPacket.mSequence + aPacket.mDataBytes + (aPacket.mCloses ? 1 : 0);
  // What another VM was given first, and maybe kept, is new here.
  bool const isNew = !aFlow.mHasSentData || IsAfter(end, aFlow.mDataEnd);
  if (!isNew) {
    bool const overtaken = aNow < aFlow.mDataSent + kRepeatAfter;
    // A caller that gave a flow up repeats its end without waiting for answers.
    if (overtaken || aFlow.mIsClosed) {
      return;
    }
    load.mWatch.DataRepeated(aNow, aFlow.mDataSent, aFlow.mCopies == 0);
    mReach.Doubt(aFlow.mSlot);
    ++aFlow.mCopies;
    return;
  }
  aFlow.mDataEnd = IsAfter(end, aFlow.mDataEnd) ? end : aFlow.mDataEnd;
  aFlow.mDataSent = aNow;
  aFlow.mCopies = 0;
  aFlow.mHasSentData = true;
  if (aPacket.mCloses) {
    Release(aFlow);
  }
  if (aPacket.mDataBytes > 0 && !aFlow.mInProgress && !aFlow.mIsClosed) {
    aFlow.mInProgress = true;
    ++load.mInProgress;
  }
}

bool
CookieSteering::IsLost(TimePoint aNow, std::uint32_t aSlot) const
{
  auto const health = mLoads[aSlot].mWatch.Health(aNow);
  return health == UpstreamHealth::Unreachable ||
         (health == UpstreamHealth::Silent &&
          aNow < mLastAnswer + kOthersAnswered);
}

SteeringVerdict
CookieSteering::ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const
{
  return {
    SteeringAction::Forward, aCause, aSlot, mView->mUpstreams[aSlot].mCookie
  };
}

Detail::TrackedFlow&
CookieSteering::Track(TimePoint aNow,
                      FlowPacket const& aPacket,
                      std::uint32_t aSlot)
{
  auto& flow = mFlows.FindOrInsert(KeyOf(aPacket));
  flow.mCaller = aPacket.mSource;
  flow.mRoute = aPacket.mDestination;
  flow.mSlot = aSlot;
  flow.mFirstSequence = aPacket.mSequence;
  flow.mDataEnd = aPacket.mSequence + (aPacket.mOpens ? 1 : 0);
  flow.mAcknowledged = aPacket.mAcknowledged;
  flow.mSeen = aNow;
  flow.mDataSent = aNow;
  ++mLoads[aSlot].mFlows;
  return flow;
}

void
CookieSteering::Release(Detail::TrackedFlow& aFlow)
{
  if (aFlow.mIsClosed) {
    return;
  }
  auto& load = mLoads[aFlow.mSlot];
  --load.mFlows;
  load.mInProgress -= aFlow.mInProgress ? 1 : 0;
  aFlow.mInProgress = false;
  aFlow.mIsClosed = true;
}

void
CookieSteering::Forget(std::uint64_t aKey)
{
  auto* const flow = mFlows.Find(aKey);
  if (flow == nullptr) {
    return;
  }
  Release(*flow);
  mFlows.Erase(aKey);
}

std::uint64_t
CookieSteering::PressureKey(std::uint32_t aService, Endpoint aRoute) const
{
  return MixHash(HashText(mView->mServices[aService].mName),
                 PlacementKey(aRoute));
}

void
CookieSteering::NoteAnswer(TimePoint aNow, Detail::TrackedFlow const& aFlow)
{
  auto const time = aNow - aFlow.mDataSent;
  mLatencies.mAnswer.Record(time);
  auto const& upstream = mView->mUpstreams[aFlow.mSlot];
  if (upstream.mService >= mView->mServices.size() ||
      aNow < upstream.mColdUntil) {
    return;
  }
  auto& pressure = mPressures[PressureKey(upstream.mService, aFlow.mRoute)];
  if (upstream.mZone == mView->mOwnZone) {
    pressure.Answered(aNow, time);
  }
  std::chrono::duration<double> const usual = pressure.Usual();
  if (usual.count() > 0.0) {
    mLoads[aFlow.mSlot].mPace.Answered(
      aNow, std::chrono::duration<double>(time) / usual);
  }
}

void
CookieSteering::Sweep(TimePoint aNow)
{
  mReach.Review(aNow, *mView, mLoads);
  mFlows.EraseIf([&](Detail::TrackedFlow& aFlow) {
    auto const patience =
      aFlow.mIsClosed ? Duration(kClosedTime) : Duration(mView->mIdleTimeout);
    bool const isIdle = aNow > aFlow.mSeen + patience;
    bool const isLost = !isIdle && IsLost(aNow, aFlow.mSlot);
    if (!isIdle && !isLost) {
      return false;
    }
    if (isLost && !aFlow.mIsOpening && !aFlow.mIsClosed) {
      mResets.push_back({ aFlow.mCaller, aFlow.mRoute, aFlow.mAcknowledged });
      Note(SteeringCause::SilentUpstream,
           aFlow.mCaller,
           aFlow.mRoute,
           { aFlow.mSlot, 0.0, 0 },
           mLoads[aFlow.mSlot].mWatch.Health(aNow));
    }
    Release(aFlow);
    return true;
  });
}

std::vector<std::uint32_t>
CookieSteering::NextReachChecks(TimePoint aNow)
{
  return mReach.Begin(aNow, mLoads);
}

std::vector<std::uint32_t>
CookieSteering::NoteReach(TimePoint aNow,
                          std::uint32_t aSlot,
                          ReachAnswer aAnswer)
{
  if (aAnswer == ReachAnswer::Accepted) {
    mLoads[aSlot].mWatch.InReach(aNow);
  }
  auto lost = mReach.Take(aNow, aSlot, aAnswer, mLoads);
  for (auto const slot : lost) {
    mLoads[slot].mWatch.OutOfReach();
  }
  return lost;
}

void
CookieSteering::Forgive(TimePoint aNow)
{
  mReach.Forgive();
  mStoodStillUntil = aNow;
  for (auto& load : mLoads) {
    load.mWatch.Forgive(aNow);
  }
}

void
CookieSteering::Note(SteeringCause aCause,
                     Endpoint aCaller,
                     Endpoint aRoute,
                     UpstreamPick const& aPick,
                     UpstreamHealth aHealth)
{
  if (mNotes.size() >= kMostNotes) {
    return;
  }
  bool const hasUpstream = aCause == SteeringCause::NewFlow ||
                           aCause == SteeringCause::SecondChoice ||
                           aCause == SteeringCause::SilentUpstream;
  mNotes.push_back({ aCause,
                     aCaller,
                     aRoute,
                     aPick.mSlot,
                     aPick.mCost,
                     aPick.mCandidates,
                     hasUpstream,
                     aHealth });
}

} // namespace tarragonsill
