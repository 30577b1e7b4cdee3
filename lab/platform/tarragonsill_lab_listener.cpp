#include "tarragonsill_lab_listener.hpp"

#include "tarragonsill/transport/tarragonsill_socket_address.hpp"

#include <sys/socket.h>

namespace tarragonsill::Lab {

namespace {

/// Connections that may wait to be accepted.
constexpr int kBacklog = 64;

} // namespace

Result<FileDescriptor>
Listen(Endpoint aAddress)
{
  FileDescriptor listener(
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int const enabled = 1;
  (void)::setsockopt(
    listener.Number(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  auto const address = ToSocketAddress(aAddress);
  if (::bind(listener.Number(),
             reinterpret_cast<sockaddr const*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener.Number(), kBacklog) != 0) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot listen on " + ToText(aAddress) };
  }
  return listener;
}

FileDescriptor
AcceptConnection(FileDescriptor const& aListener)
{
  return FileDescriptor(
    ::accept4(aListener.Number(), nullptr, nullptr, SOCK_CLOEXEC));
}

} // namespace tarragonsill::Lab
