#ifndef TARRAGONSILL_DIRECTORY_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_DIRECTORY_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_node_messages.hpp"

#include <atomic>
#include <functional>

/// The actor that keeps what a VM knows and hands views to the packet thread.
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
  /// The process is about to end.
  std::atomic<bool> mIsLeaving{ false };
};

struct DirectoryActorArguments
{
  std::shared_ptr<NodeState> mState;
  std::function<void(RoutingViewPointer)> mPublish;
};

caf::behavior DirectoryActor(caf::event_based_actor* aSelf,
                             DirectoryActorArguments aArguments);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_ACTOR_HPP_INCLUDED
