#ifndef TARRAGONSILL_STATUS_SERVER_HPP_INCLUDED
#define TARRAGONSILL_STATUS_SERVER_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_entry_state.hpp"

#include <memory>

/// The HTTP server of an entry VM with the pages `/metrics` (text exposition
/// format), `/status` and `/explain` (JSON).
namespace tarragonsill {

class StatusServer
{
public:
  /// Starts the server; fails with `SystemFailure`.
  static Result<std::unique_ptr<StatusServer>> Start(
    std::shared_ptr<EntryState> aState);
  ~StatusServer();

private:
  struct Impl;
  explicit StatusServer(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STATUS_SERVER_HPP_INCLUDED
