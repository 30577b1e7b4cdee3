#ifndef TARRAGONSILL_CONTROL_LINK_HPP_INCLUDED
#define TARRAGONSILL_CONTROL_LINK_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_receive_backlog.hpp"
#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

/// The control socket between entry VMs and its receive thread. `Send` may be
/// called from any thread.
namespace tarragonsill {

class ControlLink
{
public:
  /// Returns whether datagrams from and to an address are allowed.
  using IsAllowed = std::function<bool(Endpoint)>;

  /// The socket must have been bound just now.
  ControlLink(UdpSocket aSocket, Counters& aCounters, IsAllowed aIsAllowed);
  ~ControlLink();

  /// Starts the receive thread, which sends every valid message to `aControl`.
  void Start(caf::actor aControl);
  void Send(Endpoint aTo, std::string const& aBytes);

private:
  void Run(caf::actor const& aControl);
  void Handle(Datagram const& aDatagram, caf::actor const& aControl);

  UdpSocket mSocket;
  ReceiveBacklog mBacklog;
  Counters& mCounters;
  IsAllowed mIsAllowed;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CONTROL_LINK_HPP_INCLUDED
