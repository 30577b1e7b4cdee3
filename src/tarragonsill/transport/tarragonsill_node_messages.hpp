#ifndef TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED
#define TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"

#include <future>
#include <memory>

/// Messages between the actors of an entry VM that steers by cookie.
namespace tarragonsill {

/// Objects that were read from the store.
struct StoreUpdateReceived
{
  std::shared_ptr<StoreUpdate const> mUpdate;
};

/// Whether the store answered the last call for a kind of objects.
struct StoreCallFinished
{
  ObjectKind mKind = ObjectKind::Configuration;
  bool mAnswered = false;
  std::uint64_t mEra = 0; ///< The highest that any answer has named.
};

/// The actor that follows a kind of objects; it waits for its duty.
struct StoreWatchStarted
{
  ObjectKind mKind = ObjectKind::Configuration;
  caf::actor mWatch;
};

/// Whether and how the watches of the store are to go on.
struct SetWatchRole
{
  WatchRole mRole = WatchRole::ReliesOnPeers;
  /// Up to here no change of the kind is missing.
  StorePosition mCompleteTo;
  /// How long the store may hold back its answer while nothing changes.
  milliseconds mWait{ 0 };
  /// A position that the store had a moment ago; unset if there is none.
  StorePosition mMinListPosition;
  /// The store's era as far as it is known.
  std::uint64_t mEra = 0;
};

/// A watch whose last call failed is to be tried again.
struct RetryWatch
{};

/// The settings file holds other bounds or times.
struct SettingsChanged
{
  std::shared_ptr<NodeSettings const> mSettings;
};

/// A peer asks for what is known beyond what it holds.
struct KnowledgeRequested
{
  KnowledgeDigest mPeerDigest;
  std::shared_ptr<std::promise<StoreLists>> mPromise;
};

/// Asks a peer for what it knows beyond what is held.
struct FetchKnowledge
{
  Member mPeer;
  KnowledgeDigest mOwnDigest;
};

/// What a peer knew, or why it did not say.
struct KnowledgeFetched
{
  std::string mPeer;
  std::shared_ptr<StoreLists const> mLists; ///< Null: no answer.
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
