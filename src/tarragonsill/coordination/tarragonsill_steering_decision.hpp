#ifndef TARRAGONSILL_STEERING_DECISION_HPP_INCLUDED
#define TARRAGONSILL_STEERING_DECISION_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/coordination/tarragonsill_crash_detector.hpp"
#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_latency_histogram.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The decisions of `CookieSteering`, and their entries for the log.
namespace tarragonsill {

enum class SteeringAction : std::uint8_t
{
  Forward,
  Reset,
  Drop,
};

/// The reason for a steering action.
enum class SteeringCause : std::uint8_t
{
  NewFlow,
  OpenFlow,
  OpeningCopy,
  SecondChoice, ///< A retransmitted opening packet is sent to another upstream.
  NoConfiguration,
  UnknownRoute,
  RemovedRoute,
  NoUpstream,
  UnknownCookie,
  NotFromCaller,
  SilentUpstream,
  /// An opening packet was queued for too long, for instance while this VM was
  /// paused, or overtaken.
  LateOpening,
  StaleRoute, ///< The route was removed, but this VM may be behind.
  /// A late opening packet is offered to a second upstream as well.
  HedgedOpening,
  /// The upstreams in reach have no room for the flow.
  Overload,
  /// An upstream that may answer although the flow is open at another one gets
  /// a copy of the opening packet.
  LateAnswer,
};

std::string_view ToText(SteeringCause aCause);

/// Returns the counter of a cause; packets of open flows have none.
std::optional<Counter> CounterOf(SteeringCause aCause);

/// Latencies of the upstreams as observed by this VM.
struct SteeringLatencies
{
  /// From the opening packet to the caller's next packet.
  LatencyHistogram mHandshake;
  /// From the last packet of a request to the first packet that acknowledges
  /// its answer.
  LatencyHistogram mAnswer;
};

struct SteeringVerdict
{
  SteeringAction mAction = SteeringAction::Drop;
  SteeringCause mCause = SteeringCause::UnknownRoute;
  std::uint32_t mSlot = 0;   ///< The upstream, if the packet is forwarded.
  std::uint32_t mCookie = 0; ///< The cookie to write before forwarding.
  /// Whether the upstream of a new flow was chosen by the expected delay.
  bool mIsByDelay = false;
};

/// A reset that is not an answer to a packet.
struct UnsolicitedReset
{
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSequence = 0;
};

/// A zone whose upstreams have stopped answering or answer again.
struct ZoneChange
{
  std::string mZone;
  bool mIsSilent = false;
};

/// The upstream that was offered a hedged opening packet first.
struct HedgeOrigin
{
  std::uint32_t mSlot = 0;
  milliseconds mWaited{ 0 }; ///< Until the packet was offered again.
};

/// An opening packet that was kept and is to be forwarded once more.
struct KeptOpening
{
  SteeringVerdict mVerdict;
  std::vector<std::byte> mBytes;
};

/// A steering decision to be written to the log.
struct SteeringLogEntry
{
  SteeringCause mCause = SteeringCause::NewFlow;
  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSlot = 0; ///< The upstream, if `mHasUpstream`.
  double mCost = 0.0;      ///< The cost of the selected upstream.
  std::uint32_t mCandidates = 0;
  bool mHasUpstream = false;
  UpstreamHealth mHealth = UpstreamHealth::Answering;
  /// Of a flow that is given up.
  std::optional<FlowLossProof> mProof;
  ConnectResult mLastProbe = ConnectResult::Accepted;
  std::uint32_t mRetransmissions = 0;
  milliseconds mAnswerAge{ 0 }; ///< Since the last answer to any flow.
  /// Of a hedged opening; `mSlot` is the second upstream, and `mHealth` that
  /// of the first one.
  std::optional<HedgeOrigin> mHedge{};
  bool mIsByDelay = false; ///< Whether the cost is the expected delay.
  /// Of a late answer: the upstream that holds the flow.
  std::optional<std::uint32_t> mHolder{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_DECISION_HPP_INCLUDED
