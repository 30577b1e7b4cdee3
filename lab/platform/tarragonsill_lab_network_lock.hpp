#ifndef TARRAGONSILL_LAB_NETWORK_LOCK_HPP_INCLUDED
#define TARRAGONSILL_LAB_NETWORK_LOCK_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <string>
#include <utility>

/// Keeps two soaks from using the same loopback networks.
namespace tarragonsill::Lab {

/// Holds the loopback networks of one number until it is destroyed, also if the
/// process is killed.
class NetworkLock
{
public:
  /// Fails with `SystemFailure` and the number if another run holds it.
  static Result<NetworkLock> Take(std::uint32_t aNumber)
  {
    auto socket = UdpSocket::Bind(
      { kAddress, static_cast<std::uint16_t>(kFirstPort + aNumber) });
    if (!socket) {
      return Reason{ ReasonCode::SystemFailure,
                     "network " + std::to_string(aNumber) +
                       " is in use by another run; choose another one with "
                       "--network" };
    }
    return NetworkLock(socket.Take());
  }

private:
  static constexpr Ipv4Address kAddress{ 0x7FFFFFFE };
  static constexpr std::uint16_t kFirstPort = 20000;

  explicit NetworkLock(UdpSocket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  UdpSocket mSocket;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_NETWORK_LOCK_HPP_INCLUDED
