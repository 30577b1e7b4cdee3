#ifndef TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Decides when a VM asks a peer for what the store would tell it.
namespace tarragonsill {

class KnowledgeSync
{
public:
  /// A change reaches a watch within some milliseconds; a VM that is behind a
  /// peer for longer asks it.
  static constexpr milliseconds kLagTolerance{ 250 };
  /// The pause after a question, answered or not.
  static constexpr milliseconds kQueryInterval{ 200 };

  /// Questions start with the peer after the own name, so that the VMs of a
  /// deployment do not all ask the same one.
  explicit KnowledgeSync(std::string aSelf)
    : mLastQueried(std::move(aSelf))
  {
  }

  /// A peer said how far its knowledge goes.
  void RecordReport(std::string const& aPeer, KnowledgeDigest const& aDigest);
  /// A peer is gone or fell silent.
  void RemovePeer(std::string const& aPeer);
  /// Whether some peer knows everything that is needed to serve.
  bool HasCompletePeer() const;
  /// The peer to ask now, if any. A VM that knows too little to serve asks at
  /// once, one that is behind asks after some patience.
  std::optional<std::string> NextPeerToQuery(TimePoint aNow,
                                             KnowledgeDigest const& aOwn,
                                             bool aIsComplete);

private:
  std::map<std::string, KnowledgeDigest> mPeers;
  /// What peers knew when this VM fell behind; under steady changes it is
  /// always some milliseconds behind somebody.
  KnowledgeDigest mCatchUpTarget;
  TimePoint mBehindSince{};
  TimePoint mNextQuery{};
  std::string mLastQueried;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_SYNC_HPP_INCLUDED
