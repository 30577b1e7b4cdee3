#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <cstdlib>

namespace tarragonsill {

namespace {

/// Callers retransmit after 200 ms (operators' platform). Data that arrives
/// again sooner was only reordered.
constexpr milliseconds kMinRetransmissionDelay{ 150 };

/// One retransmission may be due to a lost packet.
constexpr std::uint32_t kMinRetransmissionsForLoss = 2;

/// If a flow's last packet through this VM is older, an answer that its next
/// packet acknowledges may have arrived long ago, while routers sent the flow
/// through another VM.
constexpr milliseconds kAnswerSightingMaxAge{ 1000 };

/// The platform accepts resets this far from the last acknowledgment of a
/// caller, so packets of one flow are closer to each other.
constexpr std::int64_t kMaxSequenceDistance = 76'800;

bool
IsNear(std::uint32_t aLeft, std::uint32_t aRight)
{
  auto const distance = static_cast<std::int32_t>(aLeft - aRight);
  return std::abs(std::int64_t{ distance }) <= kMaxSequenceDistance;
}

/// Whether a sequence number is after another one, modulo 2^32.
bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

} // namespace

std::uint64_t
Detail::KeyOf(FlowPacket const& aPacket)
{
  return FlowKey{ aPacket.mSource,
                  aPacket.mDestination,
                  TransportProtocol::Tcp }
    .Hash();
}

bool
Detail::Continues(FlowPacket const& aPacket, TrackedFlow const& aFlow)
{
  // Each upstream has sequence numbers of its own. They are unknown while the
  // flow is opening.
  bool const isSameUpstream =
    aFlow.mIsOpening || !aPacket.mAcknowledges ||
    IsNear(aPacket.mAcknowledged, aFlow.mAcknowledged);
  return isSameUpstream && IsNear(aPacket.mSequence, aFlow.mDataEnd);
}

bool
Detail::HasAdvanced(FlowPacket const& aPacket, TrackedFlow const& aFlow)
{
  return aPacket.mAcknowledges &&
         IsAfter(aPacket.mAcknowledged, aFlow.mAcknowledged);
}

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
    case SteeringCause::StaleRoute:
      return "stale_route";
    case SteeringCause::HedgedOpening:
      return "hedged_opening";
    case SteeringCause::Overload:
      return "overload";
    case SteeringCause::LateAnswer:
      return "late_answer";
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
    case SteeringCause::StaleRoute:
      return Counter::DropStale;
    case SteeringCause::HedgedOpening:
      return Counter::OpeningsHedged;
    case SteeringCause::Overload:
      return Counter::OpeningsRejected;
    case SteeringCause::LateAnswer:
      return Counter::LateAnswersCorrected;
    case SteeringCause::OpenFlow:
      break;
  }
  return std::nullopt;
}

void
CookieSteering::ObservePacket(TimePoint aNow,
                              FlowPacket const& aPacket,
                              Detail::TrackedFlow& aFlow)
{
  auto& load = mLoads[aFlow.mSlot];
  bool const isFresh = aNow < aFlow.mLastSeen + kAnswerSightingMaxAge;
  aFlow.mOpenSince = aFlow.mOpenSince == TimePoint{} ? aNow : aFlow.mOpenSince;
  aFlow.mLastSeen = aNow;
  bool const hasAdvanced = Detail::HasAdvanced(aPacket, aFlow);
  bool const answered = aFlow.mIsOpening || (hasAdvanced && isFresh);
  if (answered) {
    load.mPassiveHealth.RecordAnswer(aNow);
    mCrashDetectors[aFlow.mSlot].RecordAnswer();
    ObserveRunning(aNow, aFlow);
    ZoneSilenceOf(aFlow.mSlot).RecordAnswer(aNow);
    mHedger.RecordAnswer(aNow);
  }
  if (answered || hasAdvanced) {
    aFlow.mRetransmissions = 0;
    aFlow.mAcknowledged = aPacket.mAcknowledged;
  }
  if (aFlow.mIsOpening) {
    mLatencies.mHandshake.Record(aNow - aFlow.mDataSent);
    if (mHedger.IsEnabled() && !aFlow.mHedgedFrom) {
      mHedger.RecordHandshake(aNow, aFlow.mSlot, aNow - aFlow.mDataSent);
    }
  }
  if ((answered || hasAdvanced) && aFlow.mInProgress) {
    if (answered) {
      RecordAnswerTime(aNow, aFlow);
    }
    aFlow.mInProgress = false;
    --load.mInProgress;
  }
  aFlow.mIsOpening = false;
  SetCountsAsOpening(aFlow, false);
  if (aPacket.mDataBytes > 0 || aPacket.mCloses) {
    ObserveData(aNow, aPacket, aFlow);
  }
}

void
CookieSteering::ObserveData(TimePoint aNow,
                            FlowPacket const& aPacket,
                            Detail::TrackedFlow& aFlow)
{
  auto& load = mLoads[aFlow.mSlot];
  auto const end =
    aPacket.mSequence + aPacket.mDataBytes + (aPacket.mCloses ? 1 : 0);
  // Data that was sent to another VM first, and may be lost there, is new to
  // this VM.
  bool const isNew = !aFlow.mHasSentData || IsAfter(end, aFlow.mDataEnd);
  if (!isNew) {
    // What was queued during a local pause says nothing about the upstream.
    auto const sent = std::max(aFlow.mDataSent, mResumedAt);
    bool const isReordered = aNow < sent + kMinRetransmissionDelay;
    // A caller retransmits all unacknowledged packets after one timeout.
    bool const isSameTimeout =
      aNow < aFlow.mRepeatedAt + kMinRetransmissionDelay;
    // A caller that abandoned a flow retransmits its closing packet without
    // waiting for an answer.
    if (isReordered || isSameTimeout || aFlow.mIsClosed) {
      return;
    }
    auto const countedFrom =
      std::max({ load.mPassiveHealth.LastAnswer(),
                 mResumedAt,
                 aNow - PassiveHealthTracker::kRetransmissionMaxAge });
    load.mPassiveHealth.RecordRetransmission(
      aNow, sent, aFlow.mRepeatedAt <= countedFrom);
    ZoneSilenceOf(aFlow.mSlot).RecordAttempt(aNow, aFlow.mSlot);
    mChecker.RequestProbe(aFlow.mSlot);
    ++aFlow.mRetransmissions;
    aFlow.mRepeatedAt = aNow;
    return;
  }
  aFlow.mDataEnd = IsAfter(end, aFlow.mDataEnd) ? end : aFlow.mDataEnd;
  aFlow.mDataSent = aNow;
  aFlow.mRetransmissions = 0;
  aFlow.mHasSentData = true;
  if (aPacket.mCloses) {
    RecordFlowEnd(aFlow);
    ReleaseLoad(aFlow);
  }
  if (aPacket.mDataBytes > 0 && !aFlow.mInProgress && !aFlow.mIsClosed) {
    aFlow.mInProgress = true;
    ++aFlow.mRequests;
    ++load.mInProgress;
  }
}

bool
CookieSteering::IsRepeating(TimePoint aNow,
                            Detail::TrackedFlow const& aFlow) const
{
  bool const isRecent = aFlow.mRepeatedAt >= mResumedAt;
  if (aFlow.mRetransmissions < kMinRetransmissionsForLoss || !isRecent) {
    return false;
  }
  // Callers at most double their interval. An acknowledgement stops them, and
  // does not pass through this VM.
  auto const waited = aFlow.mRepeatedAt - aFlow.mDataSent;
  return aNow <= aFlow.mRepeatedAt + 2 * waited;
}

Detail::TrackedFlow&
CookieSteering::TrackFlow(TimePoint aNow,
                          FlowPacket const& aPacket,
                          std::uint32_t aSlot)
{
  auto& flow = mFlows.FindOrInsert(Detail::KeyOf(aPacket));
  flow.mCaller = aPacket.mSource;
  flow.mRoute = aPacket.mDestination;
  flow.mSlot = aSlot;
  flow.mFirstSequence = aPacket.mSequence;
  flow.mDataEnd = aPacket.mSequence + (aPacket.mOpens ? 1 : 0);
  flow.mAcknowledged = aPacket.mAcknowledged;
  flow.mTrackedSince = aNow;
  flow.mLastSeen = aNow;
  flow.mDataSent = aNow;
  ++mLoads[aSlot].mFlows;
  return flow;
}

void
CookieSteering::SetCountsAsOpening(Detail::TrackedFlow& aFlow, bool aIsOpening)
{
  if (aFlow.mCountsAsOpening == aIsOpening) {
    return;
  }
  aFlow.mCountsAsOpening = aIsOpening;
  auto& openings = mLoads[aFlow.mSlot].mOpeningFlows;
  openings += aIsOpening ? 1 : -1;
}

void
CookieSteering::ReleaseLoad(Detail::TrackedFlow& aFlow)
{
  SetCountsAsOpening(aFlow, false);
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
CookieSteering::EraseFlow(std::uint64_t aKey)
{
  auto* const flow = mFlows.Find(aKey);
  if (flow == nullptr) {
    return;
  }
  ReleaseLoad(*flow);
  mFlows.Erase(aKey);
}

void
CookieSteering::EraseOpeningFlows(std::vector<std::uint32_t> const& aSlots)
{
  if (aSlots.empty()) {
    return;
  }
  mFlows.EraseIf([&](Detail::TrackedFlow& aFlow) {
    bool const isOffered =
      aFlow.mIsOpening &&
      std::find(aSlots.begin(), aSlots.end(), aFlow.mSlot) != aSlots.end();
    if (isOffered) {
      ReleaseLoad(aFlow);
    }
    return isOffered;
  });
}

std::uint64_t
CookieSteering::SaturationKey(std::uint32_t aService, Endpoint aRoute) const
{
  return MixHash(HashText(mView->mServices[aService].mName),
                 PlacementKey(aRoute));
}

void
CookieSteering::RecordAnswerTime(TimePoint aNow,
                                 Detail::TrackedFlow const& aFlow)
{
  auto const time = aNow - aFlow.mDataSent;
  mLatencies.mAnswer.Record(time);
  auto const& upstream = mView->mUpstreams[aFlow.mSlot];
  if (upstream.mService >= mView->mServices.size() ||
      UpstreamSelector::IsCold(aNow, upstream, mLoads[aFlow.mSlot])) {
    return;
  }
  auto const kind = SaturationKey(upstream.mService, aFlow.mRoute);
  auto& detector = mSaturationDetectors[kind];
  if (upstream.mZone == mView->mOwnZone) {
    detector.RecordAnswer(aNow, time);
    mAnswerObserver.RecordAnswer(aNow, kind, aFlow.mSlot, time);
  }
  std::chrono::duration<double> const baseline = detector.Baseline();
  if (baseline.count() > 0.0) {
    mLoads[aFlow.mSlot].mAnswerTime.RecordAnswer(
      aNow, std::chrono::duration<double>(time) / baseline);
    RecordAnswerForAdmission(aNow, upstream, time, baseline);
  }
}

} // namespace tarragonsill
