#ifndef TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED
#define TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_store_freshness.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"

#include <future>
#include <memory>

/// Messages between the actors of an entry VM that steers flows by cookie.
namespace tarragonsill {

/// A watch has read objects from the store.
struct StoreUpdateReceived
{
  std::shared_ptr<StoreUpdate const> mUpdate;
  bool mIsConfirmation = false; ///< Whether it is from a confirming call.
};

/// A call to the store for a kind of objects has ended.
struct StoreCallFinished
{
  ObjectKind mKind = ObjectKind::Configuration;
  bool mAnswered = false;
  std::uint64_t mEra = 0; ///< The highest era in any answer so far.
  /// Set if the call had to be answered with current data.
  std::optional<ConfirmedPosition> mConfirmed{};
};

/// The actor that watches a kind of objects has started. It makes no calls
/// before it receives `SetWatchRole`.
struct StoreWatchStarted
{
  ObjectKind mKind = ObjectKind::Configuration;
  caf::actor mWatch;
};

/// Sets whether the watch of a kind of objects calls the store, and from which
/// position.
struct SetWatchRole
{
  WatchRole mRole = WatchRole::ReliesOnPeers;
  /// Position up to which no change of the kind is missing.
  StorePosition mCompleteTo;
  /// How long the store may delay its answer while nothing changes.
  milliseconds mWait{ 0 };
  /// Age of the watch's position from which it is confirmed.
  milliseconds mConfirmAfter{ 0 };
  /// A recent position of the store, which the next list must have reached;
  /// unset if none is known.
  StorePosition mMinListPosition;
  /// Whether the next list also has the removals before it.
  bool mReadsHistory = false;
  /// The highest observed era of the store.
  std::uint64_t mEra = 0;
};

/// Makes a watch retry after a failed call.
struct RetryWatch
{};

/// The settings file was reloaded with other bounds or times.
struct SettingsChanged
{
  std::shared_ptr<NodeSettings const> mSettings;
};

/// A peer requests the state that is newer than its own.
struct KnowledgeRequested
{
  KnowledgeDigest mPeerDigest;
  std::shared_ptr<std::promise<KnowledgeLists>> mPromise;
};

/// Requests from a peer the state that is newer than this VM's.
struct FetchKnowledge
{
  Member mPeer;
  KnowledgeDigest mOwnDigest;
};

/// The state fetched from a peer, or the reason why the fetch failed.
struct KnowledgeFetched
{
  std::string mPeer;
  std::shared_ptr<KnowledgeLists const> mLists; ///< Null if the fetch failed.
  std::string mReason;
};

} // namespace tarragonsill

CAF_BEGIN_TYPE_ID_BLOCK(tarragonsill_node, first_custom_type_id + 100)
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::StoreUpdateReceived))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::StoreCallFinished))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::StoreWatchStarted))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::SetWatchRole))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::RetryWatch))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::SettingsChanged))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::KnowledgeRequested))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::FetchKnowledge))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::KnowledgeFetched))
CAF_END_TYPE_ID_BLOCK(tarragonsill_node)

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::StoreUpdateReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::StoreCallFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::StoreWatchStarted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::SetWatchRole)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::RetryWatch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::SettingsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::KnowledgeRequested)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::FetchKnowledge)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::KnowledgeFetched)

#endif // TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED
