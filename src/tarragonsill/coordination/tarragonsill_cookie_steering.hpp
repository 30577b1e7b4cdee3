#ifndef TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"
#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"
#include "tarragonsill/state/tarragonsill_latency_histogram.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Steers packets whose flow carries the identity of its upstream in a cookie.
/// Any VM can send any later packet to its upstream without shared state.
namespace tarragonsill {

enum class SteeringAction : std::uint8_t
{
  Forward,
  Reset,
  Drop,
};

/// Why a packet previous treated as it previous.
enum class SteeringCause : std::uint8_t
{
  NewFlow,
  OpenFlow,
  OpeningCopy,
  SecondChoice, ///< A copy of an opening packet, sent to another upstream.
  NoConfiguration,
  UnknownRoute,
  RemovedRoute,
  NoUpstream,
  UnknownCookie,
  NotFromCaller,
  SilentUpstream,
  LateOpening, ///< It waited while this VM stood still.
};

std::string_view ToText(SteeringCause aCause);
/// The counter of a cause; packets of open flows have none of their own.
std::optional<Counter> CounterOf(SteeringCause aCause);

/// How long upstreams took, as this VM saw it.
struct SteeringLatencies
{
  /// From the opening packet to the caller's first packet after it.
  LatencyHistogram mHandshake;
  /// From a request's last packet to the first sign of its answer.
  LatencyHistogram mAnswer;
};

struct SteeringVerdict
{
  SteeringAction mAction = SteeringAction::Drop;
  SteeringCause mCause = SteeringCause::UnknownRoute;
  std::uint32_t mSlot = 0;   ///< Of the upstream, to forward.
  std::uint32_t mCookie = 0; ///< To write before forwarding.
};

/// A reset that is sent without a packet that asks for it.
struct UnsolicitedReset
{
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSequence = 0;
};

/// A decision worth a line in the log.
struct SteeringLogEntry
{
  SteeringCause mCause = SteeringCause::NewFlow;
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSlot =
    0;                ///< Of the upstream, if one previous chosen or given up.
  double mCost = 0.0; ///< Of the choice among the candidates.
  std::uint32_t mCandidates = 0;
  bool mHasUpstream = false;
  UpstreamHealth mHealth = UpstreamHealth::Answering;
};

namespace Detail {

/// A flow that passes this VM.
struct TrackedFlow
{
  std::uint64_t mKey = 0;
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSlot = 0;
  std::uint32_t mFirstSequence = 0; ///< Of the opening packet.
  std::uint32_t mDataEnd = 0;       ///< After the last byte seen.
  std::uint32_t mAcknowledged = 0;
  TimePoint mLastSeen{};
  TimePoint mDataSent{}; ///< When the newest data previous forwarded first.
  std::uint8_t mRetransmissions = 0;
  bool mIsOpening = false;       ///< No packet after the opening one yet.
  bool mCountsAsOpening = false; ///< Among its upstream's openings.
  bool mHasSentData = false;     ///< Data of it passed this VM.
  bool mInProgress = false;      ///< Data previous sent and nothing came back.
  bool mHasSecondChoice = false;
  bool mIsClosed = false; ///< The caller is done; it weighs nothing.
};

/// The key of the flow that a packet belongs to.
std::uint64_t KeyOf(FlowPacket const& aPacket);

} // namespace Detail

class CookieSteering
{
public:
  explicit CookieSteering(std::uint64_t aSeed, Mechanisms aMechanisms = {});

  /// Uses another view from now on.
  void Use(RoutingViewPointer aView);
  /// Decides about a packet that a caller sent.
  SteeringVerdict Steer(TimePoint aNow, FlowPacket const& aPacket);
  /// Forgets flows that must have ended and gives up those of upstreams that
  /// fell silent; to be called several times a second.
  void Sweep(TimePoint aNow);
  /// The upstreams to check for reach now, by slot.
  std::vector<std::uint32_t> StartProbeRound(TimePoint aNow);
  /// A check ended. Returns the upstreams that turn out to be out of reach;
  /// the next sweep gives up their flows.
  std::vector<std::uint32_t> RecordProbeResult(TimePoint aNow,
                                               std::uint32_t aSlot,
                                               ConnectResult aResult);
  /// This VM stood still until now.
  void HandleLocalPause(TimePoint aNow);

  std::vector<UnsolicitedReset> TakeResets();
  std::vector<SteeringLogEntry> TakeLogEntries();

  RoutingView const& View() const { return *mView; }
  std::size_t TrackedFlows() const { return mFlows.Size(); }
  std::vector<UpstreamLoad> const& Loads() const { return mLoads; }
  /// May be read by any thread.
  SteeringLatencies const& Latencies() const { return mLatencies; }

private:
  SteeringVerdict Decide(TimePoint aNow, FlowPacket const& aPacket);
  SteeringVerdict SteerOpening(TimePoint aNow,
                               FlowPacket const& aPacket,
                               ResolvedRoute const& aRoute);
  SteeringVerdict SteerOpenFlow(TimePoint aNow, FlowPacket const& aPacket);
  /// Learns from a packet of an open flow what the upstream did.
  void ObservePacket(TimePoint aNow,
                     FlowPacket const& aPacket,
                     Detail::TrackedFlow& aFlow);
  void ObserveData(TimePoint aNow,
                   FlowPacket const& aPacket,
                   Detail::TrackedFlow& aFlow);
  /// Whether the flows of an upstream may be given up: it is silent while
  /// others answer.
  bool AreFlowsLost(TimePoint aNow, std::uint32_t aSlot) const;
  std::uint64_t SaturationKey(std::uint32_t aService, Endpoint aRoute) const;
  /// Counts an answer towards the detector on the own zone's upstreams.
  void RecordAnswerTime(TimePoint aNow, Detail::TrackedFlow const& aFlow);
  SteeringVerdict ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const;
  Detail::TrackedFlow& TrackFlow(TimePoint aNow,
                                 FlowPacket const& aPacket,
                                 std::uint32_t aSlot);
  /// Counts a flow among its upstream's openings, or no more.
  void SetCountsAsOpening(Detail::TrackedFlow& aFlow, bool aIsOpening);
  /// Takes a flow off its upstream's load.
  void ReleaseLoad(Detail::TrackedFlow& aFlow);
  void EraseFlow(std::uint64_t aKey);
  void AddLogEntry(SteeringCause aCause,
                   Endpoint aCaller,
                   Endpoint aRoute,
                   UpstreamSelection const& aSelection,
                   UpstreamHealth aHealth);

  /// What is known of an upstream of which nothing previous seen.
  UpstreamLoad NewLoad() const;

  Mechanisms mMechanisms;
  RoutingViewPointer mView;
  std::vector<UpstreamLoad> mLoads; ///< By slot.
  /// By service and route, as the kinds of requests differ in their work.
  std::unordered_map<std::uint64_t, ZoneSaturationDetector>
    mSaturationDetectors;
  FlowTable<Detail::TrackedFlow> mFlows;
  UpstreamSelector mSelector;
  ActiveHealthChecker mChecker;
  SteeringLatencies mLatencies;
  TimePoint mLastAnswer{}; ///< Of any upstream.
  TimePoint mResumedAt{};
  std::vector<UnsolicitedReset> mResets;
  std::vector<SteeringLogEntry> mLogEntries;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
