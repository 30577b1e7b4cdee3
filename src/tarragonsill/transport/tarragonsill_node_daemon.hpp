#ifndef TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED
#define TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_node_settings.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <memory>

/// The process of an entry VM on the operators' platform: a packet thread that
/// steers flows by cookie, and actors that watch the store.
namespace tarragonsill {

class NodeDaemon
{
public:
  /// Starts all threads and servers; the reason for a failure is
  /// `SystemFailure`.
  static Result<std::unique_ptr<NodeDaemon>> Start(NodeSettings aSettings);
  ~NodeDaemon();

  /// Applies the settings that may change while the process runs. If a setting
  /// that requires a restart differs, applies nothing and logs its name.
  void Reload(NodeSettings const& aSettings);
  /// Logs that the settings file could not be reloaded.
  void LogReloadError(Reason const& aReason);
  /// Makes this VM leave: waits until enough other VMs of its zone are serving,
  /// then reports that it is not ready and forwards until routers no longer use
  /// it.
  void Leave();

private:
  struct Impl;
  explicit NodeDaemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_DAEMON_HPP_INCLUDED
