#ifndef TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_node_messages.hpp"

#include <atomic>
#include <functional>

/// The actor that keeps what a VM knows, talks to its peers, and hands views to
/// the packet thread.
namespace tarragonsill {

/// What the parts of an entry VM share.
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
  /// Configuration and upstreams are known.
  std::atomic<bool> mIsComplete{ false };
  /// Some upstream may be reached and given work.
  std::atomic<bool> mCanServe{ true };
  /// Enough of the zone's other VMs serve.
  std::atomic<bool> mMayLeave{ true };
  /// The highest era of the store that was heard of.
  std::atomic<std::uint64_t> mStoreEra{ 0 };
  /// The process is about to end.
  std::atomic<bool> mIsLeaving{ false };
};

struct NodeActorArguments
{
  std::shared_ptr<NodeState> mState;
  std::function<void(RoutingViewPointer)> mPublishView;
  /// Sends a control datagram.
  std::function<void(Endpoint, std::string const&)> mSend;
  caf::actor mFetchActor;
  std::uint64_t mIncarnation = 1;
};

caf::behavior NodeActor(caf::event_based_actor* aSelf,
                        NodeActorArguments aArguments);

/// Fetches knowledge from peers; runs on a thread of its own.
caf::behavior KnowledgeFetchActor(caf::event_based_actor* aSelf);

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_ACTOR_HPP_INCLUDED
