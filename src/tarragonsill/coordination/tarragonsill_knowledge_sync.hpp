#ifndef TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Decides when a VM queries a peer for state of the store that it lacks.
namespace tarragonsill {

class KnowledgeSync
{
public:
  /// A change reaches a watch within milliseconds. A VM that is behind a peer
  /// for longer than this queries it.
  static constexpr milliseconds kLagTolerance{ 250 };
  /// The minimum time between two queries, answered or not.
  static constexpr milliseconds kQueryInterval{ 200 };

  /// Queries start with the peer whose name follows this VM's, so that the VMs
  /// of a deployment do not all query the same peer.
  explicit KnowledgeSync(std::string aSelf)
    : mLastQueried(std::move(aSelf))
  {
  }

  /// Records the digest that a peer announced.
  void RecordReport(std::string const& aPeer, KnowledgeDigest const& aDigest);
  /// Removes a peer that failed or is gone.
  void RemovePeer(std::string const& aPeer);
  /// Whether any peer has all the state that is needed to serve.
  bool HasCompletePeer() const;
  /// Returns the peer to query now, if any. A VM whose state is not complete
  /// enough to serve queries at once, others only after `kLagTolerance`.
  std::optional<std::string> NextPeerToQuery(TimePoint aNow,
                                             KnowledgeDigest const& aOwn,
                                             bool aIsComplete);

private:
  std::map<std::string, KnowledgeDigest> mPeers;
  /// The newest state of the peers when this VM fell behind. Under steady
  /// changes a VM is always some milliseconds behind some peer.
  KnowledgeDigest mCatchUpTarget;
  TimePoint mBehindSince{};
  TimePoint mNextQuery{};
  std::string mLastQueried;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED
