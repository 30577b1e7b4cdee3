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
KnowledgeSync::Forget(std::string const& aPeer)
{
  mPeers.erase(aPeer);
}

bool
KnowledgeSync::SomePeerKnows() const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [](auto const& aPeer) {
    auto const& digest = aPeer.second;
    return digest.mConfiguration > 0 && digest.mUpstreams.IsSet() &&
           digest.mEvacuations.IsSet();
  });
}

std::optional<std::string>
KnowledgeSync::NextQuestion(TimePoint aNow,
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
    // Peers are asked in turn, in case one of them does not answer.
    next = !next && name > mLastAsked ? std::optional(name) : next;
  }
  if (!first) {
    mBehindSince = {};
    return std::nullopt;
  }
  if (mBehindSince == TimePoint{} || !aOwn.IsBehind(mTarget)) {
    mBehindSince = aNow;
    mTarget = newest;
  }
  bool const isPatient = aIsComplete && aNow < mBehindSince + kPatience;
  if (isPatient || aNow < mNextQuestion) {
    return std::nullopt;
  }
  mNextQuestion = aNow + kRetry;
  mLastAsked = next ? *next : *first;
  return mLastAsked;
}

} // namespace tarragonsill
