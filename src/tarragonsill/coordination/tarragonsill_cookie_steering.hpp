#ifndef TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"
#include "tarragonsill/state/tarragonsill_routing_view.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
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

/// Why a packet was treated as it was.
enum class SteeringCause : std::uint8_t
{
  NewFlow,
  OpenFlow,
  OpeningCopy,
  NoConfiguration,
  UnknownRoute,
  RemovedRoute,
  NoUpstream,
  UnknownCookie,
  NotFromCaller,
  Count,
};

std::string_view ToText(SteeringCause aCause);
/// The counter of a cause; packets of open flows have none of their own.
std::optional<Counter> CounterOf(SteeringCause aCause);

struct SteeringVerdict
{
  SteeringAction mAction = SteeringAction::Drop;
  SteeringCause mCause = SteeringCause::UnknownRoute;
  std::uint32_t mSlot = 0;   ///< Of the upstream, to forward.
  std::uint32_t mCookie = 0; ///< To write before forwarding.
};

namespace Detail {

/// A flow that passes this VM.
struct TrackedFlow
{
  std::uint64_t mKey = 0;
  std::uint32_t mSlot = 0;
  std::uint32_t mFirstSequence = 0;
  TimePoint mSeen{};
};

} // namespace Detail

class CookieSteering
{
public:
  explicit CookieSteering(std::uint64_t aSeed);

  /// Uses another view from now on.
  void Use(TimePoint aNow, RoutingViewPointer aView);
  /// Decides about a packet that a caller sent.
  SteeringVerdict Steer(TimePoint aNow, FlowPacket const& aPacket);
  /// Forgets flows that must have ended; to be called several times a second.
  void Sweep(TimePoint aNow);

  RoutingView const& View() const { return *mView; }
  std::size_t TrackedFlows() const { return mFlows.Size(); }
  /// Flows of an upstream that pass this VM.
  std::uint32_t FlowsAt(std::uint32_t aSlot) const;

private:
  struct UpstreamLoad
  {
    std::uint32_t mFlows = 0;
  };

  SteeringVerdict Open(TimePoint aNow,
                       FlowPacket const& aPacket,
                       RouteEntry const& aRoute);
  SteeringVerdict Continue(TimePoint aNow, FlowPacket const& aPacket);
  std::uint32_t PickService(RouteEntry const& aRoute);
  bool MayTake(UpstreamEntry const& aUpstream) const;
  /// The best upstream for a new flow; `kNoSlot` if there is none.
  std::uint32_t PickUpstream(TimePoint aNow, ServiceEntry const& aService);
  double Cost(TimePoint aNow, std::uint32_t aSlot) const;
  SteeringVerdict ForwardTo(std::uint32_t aSlot, SteeringCause aCause) const;
  void Track(TimePoint aNow, FlowPacket const& aPacket, std::uint32_t aSlot);
  void Forget(std::uint64_t aKey);

  RoutingViewPointer mView;
  std::vector<UpstreamLoad> mLoads; ///< By slot.
  FlowTable<Detail::TrackedFlow> mFlows;
  std::mt19937_64 mRandom;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COOKIE_STEERING_HPP_INCLUDED
