#ifndef TARRAGONSILL_UDP_SOCKET_HPP_INCLUDED
#define TARRAGONSILL_UDP_SOCKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

/// UDP sockets with batched receive and send (`recvmmsg`, `sendmmsg`).
namespace tarragonsill {

/// The longest datagram that is read, in bytes; longer ones are cut off and
/// then fail the length checks.
constexpr std::size_t kMaxDatagramBytes = 2048;

/// A received datagram; its bytes live until the next receive.
struct Datagram
{
  Endpoint mFrom;
  std::span<std::byte> mBytes;
};

class UdpSocket
{
public:
  static constexpr std::size_t kBatch = 64;

  /// Binds a socket; the reason is `SystemFailure`.
  static Result<UdpSocket> Bind(Endpoint aLocal);

  /// Waits until datagrams are there or the time is over, then reads up to a
  /// batch of them.
  std::span<Datagram const> Receive(milliseconds aTimeout);

  /// Queues a datagram made of two parts; the parts must live until `Flush`.
  void Queue(Endpoint aTo,
             std::span<std::byte const> aHead,
             std::span<std::byte const> aBody);
  /// Sends everything queued; returns how many datagrams were not taken.
  std::size_t Flush();
  /// Sends one datagram at once; false if it was not taken.
  bool Send(Endpoint aTo, std::span<std::byte const> aBytes);

private:
  struct Buffers;
  struct BuffersDeleter
  {
    void operator()(Buffers* aBuffers) const;
  };

  UdpSocket(FileDescriptor aSocket);

  FileDescriptor mSocket;
  std::unique_ptr<Buffers, BuffersDeleter> mBuffers;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_UDP_SOCKET_HPP_INCLUDED
