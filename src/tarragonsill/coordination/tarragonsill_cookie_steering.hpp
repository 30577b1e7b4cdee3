#ifndef TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/coordination/tarragonsill_answer_observer.hpp"
#include "tarragonsill/coordination/tarragonsill_crash_detector.hpp"
#include "tarragonsill/coordination/tarragonsill_expected_delay.hpp"
#include "tarragonsill/coordination/tarragonsill_offered_openings.hpp"
#include "tarragonsill/coordination/tarragonsill_opening_hedger.hpp"
#include "tarragonsill/coordination/tarragonsill_outbound_reach.hpp"
#include "tarragonsill/coordination/tarragonsill_restart_detector.hpp"
#include "tarragonsill/coordination/tarragonsill_service_admission.hpp"
#include "tarragonsill/coordination/tarragonsill_steering_decision.hpp"
#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"
#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"
#include "tarragonsill/state/tarragonsill_held_opening.hpp"
#include "tarragonsill/state/tarragonsill_shared_load.hpp"
#include "tarragonsill/state/tarragonsill_upstream_restart.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Steers packets of flows that carry the identity of their upstream in a
/// cookie. Any VM can forward later packets of a flow without shared state.
namespace tarragonsill {

namespace Detail {

/// A flow whose packets pass through this VM.
struct TrackedFlow
{
  std::uint64_t mKey = 0;
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSlot = 0;
  std::uint32_t mFirstSequence = 0; ///< Of the opening packet.
  std::uint32_t mDataEnd = 0; ///< The sequence number after the last byte seen.
  std::uint32_t mAcknowledged = 0;
  TimePoint mTrackedSince{}; ///< When its first packet passed through this VM.
  /// When the first packet after the opening one was forwarded.
  TimePoint mOpenSince{};
  TimePoint mLastSeen{};
  TimePoint mDataSent{};   ///< When the newest data was first forwarded.
  TimePoint mRepeatedAt{}; ///< When the caller last retransmitted data.
  std::uint8_t mRetransmissions = 0;
  bool mIsOpening = false;       ///< Only the opening packet has been seen.
  bool mCountsAsOpening = false; ///< Counted in `UpstreamLoad::mOpeningFlows`.
  bool mHasSentData = false;     ///< Data of the flow passed through this VM.
  bool mInProgress = false;      ///< Data was sent and no answer was seen.
  bool mIsPinned = false;        ///< `mSlot` is known to hold the flow.
  /// The upstream that was offered the flow first, if its opening was hedged.
  std::optional<std::uint32_t> mHedgedFrom;
  bool mIsClosed = false;      ///< Closed by the caller; not part of the load.
  bool mIsOpenedHere = false;  ///< This VM got its opening packet.
  std::uint32_t mRequests = 0; ///< Seen by this VM.
};

/// Returns the flow table key of a packet's flow.
std::uint64_t KeyOf(FlowPacket const& aPacket);

/// Whether a packet that does not open a flow belongs to the given flow, and
/// not to another one from the same port.
bool Continues(FlowPacket const& aPacket, TrackedFlow const& aFlow);

/// Whether a packet acknowledges more than those of the flow before it.
bool HasAdvanced(FlowPacket const& aPacket, TrackedFlow const& aFlow);

} // namespace Detail

class CookieSteering
{
public:
  explicit CookieSteering(std::uint64_t aSeed, Mechanisms aMechanisms = {});

  /// Replaces the routing view.
  void SetView(RoutingViewPointer aView);
  /// Sets the time as of which the routing view has all acknowledged changes.
  void SetCurrentAsOf(TimePoint aCurrentAsOf) { mCurrentAsOf = aCurrentAsOf; }
  /// Decides what to do with a packet from a caller that was queued for
  /// `aMaxAge` at most.
  SteeringVerdict Steer(TimePoint aNow,
                        FlowPacket const& aPacket,
                        Duration aMaxAge = {});
  /// Removes expired flows and resets those of upstreams that have ended.
  /// Must be called several times a second.
  void Sweep(TimePoint aNow);
  /// Requests probes of upstreams whose answers are overdue. An upstream that
  /// starts again refuses connections for a short time only.
  void ReviewUpstreams(TimePoint aNow)
  {
    mChecker.ReviewUpstreams(aNow, *mView, mLoads);
  }
  /// Starts a round of probes if any are due; returns the slots to probe.
  std::vector<std::uint32_t> StartProbeRound(TimePoint aNow);
  /// The slot of the reference upstream of the current round, if there is any.
  std::optional<std::uint32_t> ProbeReference() const
  {
    return mChecker.Reference();
  }
  /// Records the result of a probe. Returns upstreams that have become
  /// unreachable; the next sweep resets those of their flows that are lost.
  std::vector<std::uint32_t> RecordProbeResult(TimePoint aNow,
                                               std::uint32_t aSlot,
                                               ConnectResult aResult);
  /// Handles a local pause that ended at `aNow`.
  void HandleLocalPause(TimePoint aNow);

  /// Sets the maximum share of opening packets that are offered to a second
  /// upstream when they are late; 0 switches that off.
  void SetMaxHedgeShare(double aShare);
  /// Keeps an opening packet that was just steered, if it may be needed again.
  void KeepOpening(TimePoint aNow,
                   FlowPacket const& aPacket,
                   SteeringVerdict const& aVerdict,
                   std::span<std::byte const> aBytes);
  /// When the next opening packet may have to be hedged.
  std::optional<TimePoint> NextHedgeDue();
  /// Decides about the opening packets that are due. Packets that have arrived
  /// must be steered first.
  std::vector<KeptOpening> TakeHedgedOpenings(TimePoint aNow);
  /// Returns how many flows have opened at their second upstream by a hedge
  /// since the last call.
  std::uint64_t TakeHedgesAnsweredFirst();

  /// Returns copies of opening packets for upstreams that may answer although
  /// their flow is open at another one.
  std::vector<KeptOpening> TakeOpeningCopies();

  /// Returns the flows that other VMs of the zone are to be told of.
  HeldOpenings TakeHeldOpenings();
  /// Records where another VM has seen a flow open that several upstreams may
  /// answer. `aBytes` is the opening packet.
  void RecordHeldOpening(TimePoint aNow,
                         FlowPacket const& aOpening,
                         std::span<std::byte const> aBytes,
                         std::uint32_t aCookie);

  /// Returns the upstreams that were shown to have ended under the start mark
  /// that is known, and whose new process may be cold.
  UpstreamRestarts Restarts(TimePoint aNow) const;

  std::vector<UnsolicitedReset> TakeResets();
  std::vector<SteeringLogEntry> TakeLogEntries();
  /// Returns the zones that have become silent or answer again since the last
  /// call.
  std::vector<ZoneChange> TakeZoneChanges(TimePoint aNow);
  /// Returns the shortages that began or ended, and what was decided.
  std::vector<ShortageEvent> TakeShortageEvents()
  {
    return mAdmission.TakeEvents();
  }
  /// The number of services whose upstreams cannot serve all that arrives.
  std::uint32_t ServicesShort() const { return mAdmission.ServicesShort(); }

  /// What this VM has observed of its own zone's upstreams.
  ZoneReach OwnZoneReach(TimePoint aNow) const;
  /// Whether any other zone answered this VM, as of the last sweep.
  ZoneReach OutboundReach() const { return mOutboundReach.Reach(); }

  /// Returns what this VM has observed of those upstreams of its zone that have
  /// flows or answered since the last call.
  std::vector<UpstreamObservation> TakeObservations();
  /// Replaces what the other VMs of the zone have observed.
  void SetSharedLoads(SharedLoadsPointer aLoads);
  /// Never null; empty while other VMs are silent or their reports too old.
  SharedLoadsPointer const& SharedLoads() const { return mSharedLoads; }

  RoutingView const& View() const { return *mView; }
  std::size_t TrackedFlows() const { return mFlows.Size(); }
  std::vector<UpstreamLoad> const& Loads() const { return mLoads; }
  /// Thread-safe.
  SteeringLatencies const& Latencies() const { return mLatencies; }

private:
  /// Further log entries are dropped.
  static constexpr std::size_t kMaxLogEntries = 256;

  SteeringVerdict Decide(TimePoint aNow,
                         FlowPacket const& aPacket,
                         Duration aMaxAge);
  /// Whether the caller may have sent a copy of an opening packet meanwhile.
  bool IsLateOpening(TimePoint aNow, Duration aMaxAge) const;
  /// Whether this VM may not know yet what changed during its last local pause.
  bool IsViewFromBeforePause() const;
  /// Decides about a packet whose route was removed.
  SteeringVerdict RejectRemovedRoute(FlowPacket const& aPacket);
  SteeringVerdict SteerOpening(TimePoint aNow,
                               FlowPacket const& aPacket,
                               ResolvedRoute const& aRoute);
  /// Whether an opening is rejected, as there is room only for more urgent
  /// ones.
  bool IsRejectedForPriority(TimePoint aNow,
                             FlowPacket const& aPacket,
                             ResolvedRoute const& aRoute,
                             std::uint32_t aService);
  void RecordAnswerForAdmission(TimePoint aNow,
                                ResolvedUpstream const& aUpstream,
                                std::chrono::duration<double> aTime,
                                std::chrono::duration<double> aUsual);
  void ReviewShortages(TimePoint aNow);
  SteeringVerdict SteerOpenFlow(TimePoint aNow, FlowPacket const& aPacket);
  /// Updates the health and load of the upstream from a packet of an open flow.
  void ObservePacket(TimePoint aNow,
                     FlowPacket const& aPacket,
                     Detail::TrackedFlow& aFlow);
  void ObserveData(TimePoint aNow,
                   FlowPacket const& aPacket,
                   Detail::TrackedFlow& aFlow);
  /// Records that an upstream accepted no connection: its process may have
  /// ended.
  void RecordLost(TimePoint aNow, std::uint32_t aSlot, bool aIsRefused);
  /// Records an answer to a flow: the upstream runs, perhaps as another
  /// process.
  void ObserveRunning(TimePoint aNow, Detail::TrackedFlow const& aFlow);
  /// Compares registrations with the state that was current when upstreams were
  /// lost.
  void ReviewRestarts();
  /// Updates until when an upstream may be cold.
  void UpdateMayBeCold(std::uint32_t aSlot);
  /// Whether an upstream is known to be serving, and not leaving.
  bool IsKnownToServe(TimePoint aNow, std::uint32_t aSlot) const;
  /// Returns what proves that a flow is lost because its upstream has ended, if
  /// anything does. The lack of answers from the upstream alone does not.
  std::optional<FlowLossProof> FindLossProof(
    TimePoint aNow,
    Detail::TrackedFlow const& aFlow) const;
  /// Whether the caller retransmitted data of the flow several times and still
  /// does.
  bool IsRepeating(TimePoint aNow, Detail::TrackedFlow const& aFlow) const;
  /// Updates whether other zones answer this VM; requests a probe if none does.
  void ReviewOutboundReach(TimePoint aNow);
  /// While no other zone answers, an upstream that accepts a connection shows
  /// that its zone is reached again.
  void RecordProbeReach(TimePoint aNow,
                        std::uint32_t aSlot,
                        ConnectResult aResult);
  std::uint64_t SaturationKey(std::uint32_t aService, Endpoint aRoute) const;
  /// Records the answer time for latencies, zone saturation and relative answer
  /// time.
  void RecordAnswerTime(TimePoint aNow, Detail::TrackedFlow const& aFlow);
  /// Whether neither an answer nor a copy has come for an opening packet.
  bool IsUnanswered(PendingOpening const& aOpening);
  /// The service of a pending opening; null if its flow may not be hedged.
  ResolvedService const* HedgedServiceOf(PendingOpening const& aOpening) const;
  HedgeEvidence HedgeEvidenceOf(TimePoint aNow,
                                PendingOpening const& aOpening,
                                ResolvedService const& aService) const;
  /// Selects a second upstream among those that are healthy and not cold.
  std::optional<UpstreamSelection> PickHedge(TimePoint aNow,
                                             PendingOpening const& aOpening,
                                             ResolvedService const& aService);
  /// Moves an opening flow to its second upstream.
  void OfferHedge(TimePoint aNow,
                  PendingOpening const& aOpening,
                  UpstreamSelection const& aSecond);
  /// Observes by the cookie of a caller's packet which upstreams answered.
  void ObserveHedge(TimePoint aNow,
                    Detail::TrackedFlow const& aFlow,
                    std::optional<std::uint32_t> aCookieSlot);
  /// Whether a flow would have been reset by now if the upstream to which this
  /// VM forwards it did not hold it.
  bool IsShownToHold(Detail::TrackedFlow const& aFlow) const;
  /// Makes the late answers of other upstreams to a flow's opening packet name
  /// the upstream that holds the flow.
  void CorrectLateAnswers(TimePoint aNow,
                          FlowPacket const& aPacket,
                          OfferedOpenings::Holder const& aHolder);
  /// Whether an upstream may still get the opening packet that it was offered.
  bool MayGetCopy(TimePoint aNow,
                  Endpoint aRoute,
                  OfferedOpenings::LateAnswerer const& aUpstream) const;
  /// Records the requests of a flow that its caller closes.
  void RecordFlowEnd(Detail::TrackedFlow const& aFlow);
  /// The mean number of requests of a route's flows.
  double RequestsPerFlowOf(Endpoint aRoute) const;
  SteeringVerdict ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const;
  Detail::TrackedFlow& TrackFlow(TimePoint aNow,
                                 FlowPacket const& aPacket,
                                 std::uint32_t aSlot);
  /// Adds a flow to the opening flows of its upstream, or removes the flow from
  /// them.
  void SetCountsAsOpening(Detail::TrackedFlow& aFlow, bool aIsOpening);
  /// Removes a flow from its upstream's load.
  void ReleaseLoad(Detail::TrackedFlow& aFlow);
  void EraseFlow(std::uint64_t aKey);
  /// Erases the flows that were offered to upstreams and may not be open.
  void EraseOpeningFlows(std::vector<std::uint32_t> const& aSlots);
  void AddLogEntry(SteeringCause aCause,
                   Endpoint aCaller,
                   Endpoint aRoute,
                   UpstreamSelection const& aSelection,
                   UpstreamHealth aHealth);
  void AddLossLogEntry(TimePoint aNow,
                       Detail::TrackedFlow const& aFlow,
                       FlowLossProof aProof);

  ZoneSilenceDetector& ZoneSilenceOf(std::uint32_t aSlot)
  {
    return mZoneSilence[mView->mUpstreams[aSlot].mZone];
  }
  /// The load of an upstream without any observations.
  UpstreamLoad NewLoad() const;

  Mechanisms mMechanisms;
  RoutingViewPointer mView;
  TimePoint mCurrentAsOf{};
  std::vector<UpstreamLoad> mLoads; ///< By slot.
  /// By zone, with one more for upstreams of an unknown zone.
  std::vector<ZoneSilenceDetector> mZoneSilence;
  /// By service and route, as answer times differ between kinds of requests.
  std::unordered_map<std::uint64_t, ZoneSaturationDetector>
    mSaturationDetectors;
  /// By route.
  std::unordered_map<std::uint64_t, RequestsPerFlow> mRequestsPerFlow;
  FlowTable<Detail::TrackedFlow> mFlows;
  UpstreamSelector mSelector;
  ActiveHealthChecker mChecker;
  OpeningHedger mHedger;
  OfferedOpenings mOfferedOpenings;
  std::uint64_t mHedgesAnsweredFirst = 0;
  OutboundReachDetector mOutboundReach;
  std::vector<CrashDetector> mCrashDetectors; ///< By slot.
  std::vector<RestartDetector> mRestarts;     ///< By slot.
  ServiceAdmission mAdmission;
  SteeringLatencies mLatencies;
  AnswerObserver mAnswerObserver;
  SharedLoadsPointer mSharedLoads =
    std::make_shared<tarragonsill::SharedLoads>();
  TimePoint mResumedAt{};
  std::vector<UnsolicitedReset> mResets;
  std::vector<KeptOpening> mOpeningCopies;
  HeldOpenings mHeldOpenings;
  std::vector<SteeringLogEntry> mLogEntries;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
