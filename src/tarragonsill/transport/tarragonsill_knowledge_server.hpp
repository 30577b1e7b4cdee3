#ifndef TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <functional>
#include <memory>
#include <optional>

/// Serves the directory state of a VM to its peers over gRPC.
namespace tarragonsill {

class KnowledgeServer
{
public:
  /// Returns the state that is newer than the peer's, or nothing if it is not
  /// available in time.
  using Source = std::function<std::optional<KnowledgeLists>(
    KnowledgeDigest const& aPeerDigest)>;

  /// Starts the server; the reason for a failure is `SystemFailure`.
  static Result<std::unique_ptr<KnowledgeServer>> Start(Endpoint aAddress,
                                                        Source aSource);
  ~KnowledgeServer();

private:
  struct Impl;
  explicit KnowledgeServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/// Fetches from a peer the state that is newer than this VM's. The reason for a
/// failure is `Unavailable` or `Timeout`.
Result<KnowledgeLists> FetchFromPeer(Endpoint aPeer,
                                     KnowledgeDigest const& aOwnDigest,
                                     milliseconds aTimeout);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_SERVER_HPP_INCLUDED
