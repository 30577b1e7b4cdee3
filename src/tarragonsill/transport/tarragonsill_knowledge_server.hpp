#ifndef TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <functional>
#include <memory>
#include <optional>

/// Hands what a VM knows of the store to its peers, over gRPC.
namespace tarragonsill {

class KnowledgeServer
{
public:
  /// Gives what is known beyond what the asker holds; nothing if it takes too
  /// long.
  using Source = std::function<std::optional<StoreLists>(
    KnowledgeDigest const& aPeerDigest)>;

  /// The reason is `SystemFailure`.
  static Result<std::unique_ptr<KnowledgeServer>> Start(Endpoint aAddress,
                                                        Source aSource);
  ~KnowledgeServer();

private:
  struct Impl;
  explicit KnowledgeServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/// Asks a peer for what is newer than what is held; the reasons are
/// `Unavailable` and `Timeout`.
Result<StoreLists> FetchFromPeer(Endpoint aPeer,
                                 KnowledgeDigest const& aOwnDigest,
                                 milliseconds aTimeout);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED
