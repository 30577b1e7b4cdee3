#ifndef TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_node_messages.hpp"
#include "tarragonsill/transport/tarragonsill_published_freshness.hpp"

#include <atomic>
#include <functional>

/// The actor that keeps the directory of an entry VM, exchanges messages with
/// its peers and publishes routing views to the packet thread.
namespace tarragonsill {

/// State shared by the threads and actors of an entry VM.
struct NodeState
{
  explicit NodeState(NodeSettings aSettings)
    : mSettings(std::move(aSettings))
    , mLog(mSettings.mName, mCounters)
  {
  }

  NodeSettings mSettings;
  Counters mCounters;
  NodeLog mLog;
  PublishedFreshness mFreshness;
  /// The time as of which this VM's state is confirmed to be current.
  std::atomic<TimePoint> mCurrentAsOf{ TimePoint{} };
  /// Whether a configuration is known and each kind of objects was listed.
  std::atomic<bool> mIsComplete{ false };
  /// Whether this VM can serve callers. False in a zone that is cut off and has
  /// no upstream that may get new flows or answers.
  std::atomic<bool> mCanServe{ true };
  /// Whether enough other VMs of the zone are serving for this VM to leave.
  std::atomic<bool> mMayLeave{ true };
  /// The highest observed era of the store.
  std::atomic<std::uint64_t> mStoreEra{ 0 };
  /// Whether this VM is leaving; its process ends soon.
  std::atomic<bool> mIsLeaving{ false };
};

struct NodeActorArguments
{
  std::shared_ptr<NodeState> mState;
  std::function<void(RoutingViewPointer)> mPublishView;
  /// Sends a control datagram to a peer.
  std::function<void(Endpoint, std::string const&)> mSend;
  /// Returns what this VM has observed of its own zone's upstreams.
  std::function<ZoneReach()> mOwnZoneReach;
  caf::actor mFetchActor;
  std::uint64_t mIncarnation = 1;
};

caf::behavior NodeActor(caf::event_based_actor* aSelf,
                        NodeActorArguments aArguments);

/// Fetches directory state from peers. Runs on its own thread, since a fetch
/// blocks until the peer answers.
caf::behavior KnowledgeFetchActor(caf::event_based_actor* aSelf);

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
