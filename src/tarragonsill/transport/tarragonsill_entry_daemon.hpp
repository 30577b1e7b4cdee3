#ifndef TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED
#define TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_settings.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>

/// The process of one entry VM: packet worker, actors, call server and status
/// server.
namespace tarragonsill {

class EntryDaemon
{
public:
  /// Binds all addresses and starts; fails with `SystemFailure`.
  static Result<std::unique_ptr<EntryDaemon>> Start(Settings aSettings);
  ~EntryDaemon();

  /// Applies the reloadable settings, which are the denied networks.
  void Reload(Settings const& aSettings);

  /// Leaves gracefully: stops admitting, waits for calls in progress, hands
  /// over to the peers and announces the leave. Returns false if the handover
  /// was not complete within `aTimeout`.
  bool Leave(milliseconds aTimeout);

private:
  struct Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED
