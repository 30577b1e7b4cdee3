#ifndef TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

#include <tarragonsill_knowledge.pb.h>

/// Converts the state of the store that a VM knows to messages between VMs and
/// back.
namespace tarragonsill {

/// The latest changes that a VM knows, one per kind of objects. Each member
/// only increases.
struct KnowledgeDigest
{
  std::uint64_t mConfiguration = 0; ///< Version of the configuration.
  StorePosition mUpstreams{};       ///< Position of the last change.
  StorePosition mEvacuations{};     ///< Position of the last change.

  /// Whether any kind has a later change in `aOther`.
  bool IsBehind(KnowledgeDigest const& aOther) const
  {
    return mConfiguration < aOther.mConfiguration ||
           mUpstreams < aOther.mUpstreams || mEvacuations < aOther.mEvacuations;
  }
};

/// A zone whose evacuation has ended.
struct ReturnedZone
{
  std::string mZone;
  milliseconds mAge{ 0 }; ///< Since the evacuation ended.
};

/// The zones that returned recently. The store forgets an evacuation as it
/// ends, so that only VMs that have watched it know of its end.
struct ZoneReturns
{
  std::vector<ReturnedZone> mZones;
  /// No return that is less old than this is missing.
  milliseconds mKnownFor{ 0 };
};

/// The objects that one VM sends to another, one page per kind.
struct KnowledgeLists
{
  /// Has one object, or none if the sender has nothing newer.
  ObjectPage mConfiguration;
  ObjectPage mUpstreams;
  /// `mUpstreams` has only the changes after this position; if unset, it is
  /// the complete list.
  StorePosition mUpstreamsAfter;
  ObjectPage mEvacuations;
  ZoneReturns mReturns;
};

/// Makes the request of a VM whose state has this digest.
wire::KnowledgeRequest ToMessage(KnowledgeDigest const& aDigest);
KnowledgeDigest FromMessage(wire::KnowledgeRequest const& aRequest);
wire::KnowledgeReply ToMessage(KnowledgeLists const& aLists);
/// Decodes lists. The list of a kind for which the reply has no revision is
/// empty.
KnowledgeLists FromMessage(wire::KnowledgeReply const& aReply);

/// A range of positions of one era within which no change is missing.
struct PositionRange
{
  StorePosition mAfter{}; ///< Exclusive.
  StorePosition mUpTo{};  ///< Inclusive.
};

/// Returns the range that a relayed update covers.
PositionRange RangeOf(wire::KnowledgeUpdate const& aUpdate);

/// Splits changes of upstreams or evacuations into messages that each fit into
/// one datagram. Returns none for configurations, which are too large.
std::vector<wire::KnowledgeUpdate> ToUpdates(
  ObjectKind aKind,
  std::vector<ObjectChange> const& aChanges,
  PositionRange aRange);
/// Returns the changes of one kind in an update.
std::vector<ObjectChange> ChangesOf(ObjectKind aKind,
                                    wire::KnowledgeUpdate const& aUpdate);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_MESSAGE_HPP_INCLUDED
