#ifndef TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED
#define TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_node_settings.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <memory>

/// An entry VM on the operators' platform as one process: a packet thread that
/// steers by cookie, and actors that follow the store.
namespace tarragonsill {

class NodeDaemon
{
public:
  /// Starts everything; the reason is `SystemFailure`.
  static Result<std::unique_ptr<NodeDaemon>> Start(NodeSettings aSettings);
  ~NodeDaemon();

  /// Takes over settings that may change while the process runs; says in the
  /// log which ones need a restart.
  void Reload(NodeSettings const& aSettings);
  /// Logs that the settings file was not taken over.
  void LogReloadError(Reason const& aReason);
  /// Stops being ready, forwards on until the routers have turned away.
  void Leave();

private:
  struct Impl;
  explicit NodeDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED
