#include "tarragonsill/coordination/tarragonsill_knowledge_sync.hpp"

#include <algorithm>

namespace tarragonsill {

void
KnowledgeSync::RecordReport(std::string const& aPeer,
                            KnowledgeDigest const& aDigest)
{
  mPeers[aPeer] = aDigest;
}

void
KnowledgeSync::RemovePeer(std::string const& aPeer)
{
  mPeers.erase(aPeer);
}

bool
KnowledgeSync::HasCompletePeer() const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [](auto const& aPeer) {
    auto const& digest = aPeer.second;
    return digest.mConfiguration > 0 && digest.mUpstreams.IsSet() &&
           digest.mEvacuations.IsSet();
  });
}

std::optional<std::string>
KnowledgeSync::NextPeerToQuery(TimePoint aNow,
                               KnowledgeDigest const& aOwn,
                               bool aIsComplete)
{
  std::optional<std::string> first;
  std::optional<std::string> next;
  KnowledgeDigest newest;
  for (auto const& [name, digest] : mPeers) {
    if (!aOwn.IsBehind(digest)) {
      continue;
    }
    newest.mConfiguration =
      std::max(newest.mConfiguration, digest.mConfiguration);
    newest.mUpstreams = std::max(newest.mUpstreams, digest.mUpstreams);
    newest.mEvacuations = std::max(newest.mEvacuations, digest.mEvacuations);
    first = first ? first : name;
    // Peers are queried in turn, in case one of them does not answer.
    next = !next && name > mLastQueried ? std::optional(name) : next;
  }
  if (!first) {
    mBehindSince = {};
    return std::nullopt;
  }
  if (mBehindSince == TimePoint{} || !aOwn.IsBehind(mCatchUpTarget)) {
    mBehindSince = aNow;
    mCatchUpTarget = newest;
  }
  bool const isTolerated = aIsComplete && aNow < mBehindSince + kLagTolerance;
  if (isTolerated || aNow < mNextQuery) {
    return std::nullopt;
  }
  mNextQuery = aNow + kQueryInterval;
  mLastQueried = next ? *next : *first;
  return mLastQueried;
}

} // namespace tarragonsill
