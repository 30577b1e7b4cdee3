#ifndef TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

#include <tarragonsill_knowledge.pb.h>

/// Converts what a VM knows of the store to messages between VMs and back.
namespace tarragonsill {

/// How far a VM's knowledge goes; each part only rises.
struct KnowledgeDigest
{
  std::uint64_t mConfiguration = 0; ///< Version.
  StorePosition mUpstreams{};       ///< Of the last change.
  StorePosition mEvacuations{};     ///< Of the last change.

  bool IsBehind(KnowledgeDigest const& aOther) const
  {
    return mConfiguration < aOther.mConfiguration ||
           mUpstreams < aOther.mUpstreams || mEvacuations < aOther.mEvacuations;
  }
};

/// What one VM hands to another.
struct KnowledgeLists
{
  /// A configuration, if one is known, in a list of one.
  ObjectPage mConfiguration;
  ObjectPage mUpstreams;
  /// The upstreams are only what changed after this; unset: all of them.
  StorePosition mUpstreamsAfter;
  ObjectPage mEvacuations;
};

/// The question of a VM that holds this much.
wire::KnowledgeRequest ToMessage(KnowledgeDigest const& aDigest);
KnowledgeDigest FromMessage(wire::KnowledgeRequest const& aRequest);
wire::KnowledgeReply ToMessage(KnowledgeLists const& aLists);
/// Reads lists; a reply that names no revision gives an empty list for it.
KnowledgeLists FromMessage(wire::KnowledgeReply const& aReply);

/// The positions of one era between which changes are known without a gap.
struct PositionRange
{
  StorePosition mAfter{}; ///< Not itself within the span.
  StorePosition mUpTo{};
};

/// The span of an update that another VM passed on.
PositionRange RangeOf(wire::KnowledgeUpdate const& aUpdate);

/// Splits changes of upstreams and evacuations into messages that fit one
/// datagram each. Configurations are left out, being too large.
std::vector<wire::KnowledgeUpdate> ToUpdates(
  ObjectKind aKind,
  std::vector<ObjectChange> const& aChanges,
  PositionRange aRange);
/// The changes of one kind in an update.
std::vector<ObjectChange> ChangesOf(ObjectKind aKind,
                                    wire::KnowledgeUpdate const& aUpdate);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
