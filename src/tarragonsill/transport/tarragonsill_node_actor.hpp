#ifndef TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"
#include "tarragonsill/state/tarragonsill_held_opening.hpp"
#include "tarragonsill/state/tarragonsill_shared_load.hpp"
#include "tarragonsill/state/tarragonsill_upstream_restart.hpp"
#include "tarragonsill/transport/tarragonsill_node_messages.hpp"
#include "tarragonsill/transport/tarragonsill_node_state.hpp"

#include <functional>
#include <memory>
#include <string>

/// The actor that keeps the directory of an entry VM, exchanges messages with
/// its peers and publishes routing views to the packet thread.
namespace tarragonsill {

struct NodeActorArguments
{
  std::shared_ptr<NodeState> mState;
  std::function<void(RoutingViewPointer)> mPublishView;
  /// Sends a control datagram to a peer.
  std::function<void(Endpoint, std::string const&)> mSend;
  /// Returns what this VM has observed of its own zone's upstreams.
  std::function<ZoneReach()> mOwnZoneReach;
  /// Returns the last observations of its own zone's upstreams; may be null.
  std::function<ObservationsPointer()> mObservations;
  /// Hands what other VMs of the zone observe to the packet thread.
  std::function<void(SharedLoadsPointer)> mPublishLoads;
  /// Returns whether other zones answer this VM.
  std::function<ZoneReach()> mOutboundReach;
  /// Returns the upstreams whose process may have ended; may be null.
  std::function<UpstreamRestartsPointer()> mRestarts;
  /// Returns the flows that other VMs of the zone are to be told of.
  std::function<HeldOpenings()> mTakeHeldOpenings;
  /// Hands flows that other VMs of the zone told of to the packet thread.
  std::function<void(HeldOpenings)> mPostHeldOpenings;
  caf::actor mFetchActor;
  std::uint64_t mIncarnation = 1;
};

caf::behavior NodeActor(caf::event_based_actor* aSelf,
                        NodeActorArguments aArguments);

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
