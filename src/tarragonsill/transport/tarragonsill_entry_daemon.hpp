#ifndef TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED
#define TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_settings.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>

/// One entry VM: packet worker, actors, call server and status page.
namespace tarragonsill {

class EntryDaemon
{
public:
  /// Binds every address and starts; the reason is `SystemFailure`.
  static Result<std::unique_ptr<EntryDaemon>> Start(Settings aSettings);
  ~EntryDaemon();

  /// Takes the reloadable settings into use: the networks fenced off.
  void Reload(Settings const& aSettings);

  /// Leaves gracefully: stops admitting, lets calls in progress end, hands
  /// over, tells the peers. Returns false if that took longer than `aTimeout`.
  bool Leave(milliseconds aTimeout);

private:
  struct Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ENTRY_DAEMON_HPP_INCLUDED
