#ifndef TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

#include <tarragonsill_knowledge.pb.h>

/// Converts what a VM knows of the store to messages between VMs and back.
namespace tarragonsill {

/// How far a VM's knowledge goes; each number only rises.
struct KnowledgeDigest
{
  std::uint64_t mConfiguration = 0; ///< Version.
  std::uint64_t mUpstreams = 0;     ///< Revision of the last change.
  std::uint64_t mEvacuations = 0;   ///< Revision of the last change.

  bool IsBehind(KnowledgeDigest const& aOther) const
  {
    return mConfiguration < aOther.mConfiguration ||
           mUpstreams < aOther.mUpstreams || mEvacuations < aOther.mEvacuations;
  }
};

/// What one VM hands to another.
struct StoreLists
{
  /// A configuration, if one is known, in a list of one.
  ObjectPage mConfiguration;
  ObjectPage mUpstreams;
  /// The upstreams are only what changed after this revision; 0: all of them.
  std::uint64_t mUpstreamsAfter = 0;
  ObjectPage mEvacuations;
};

/// The question of a VM that holds this much.
wire::KnowledgeRequest ToMessage(KnowledgeDigest const& aHeld);
KnowledgeDigest FromMessage(wire::KnowledgeRequest const& aRequest);
wire::KnowledgeReply ToMessage(StoreLists const& aLists);
/// Reads lists; a reply that names no revision gives an empty list for it.
StoreLists FromMessage(wire::KnowledgeReply const& aReply);

/// The revisions of a store between which changes are known without a gap.
struct RevisionSpan
{
  std::uint64_t mAfter = 0; ///< Not itself within the span.
  std::uint64_t mUpTo = 0;
};

/// Splits changes of upstreams and evacuations into messages that fit one
/// datagram each. Configurations are left out, being too large.
std::vector<wire::KnowledgeUpdate> ToUpdates(
  ObjectKind aKind,
  std::vector<ObjectChange> const& aChanges,
  RevisionSpan aSpan);
/// The changes of one kind in an update.
std::vector<ObjectChange> ChangesOf(ObjectKind aKind,
                                    wire::KnowledgeUpdate const& aUpdate);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
