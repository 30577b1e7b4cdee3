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

/// The maximum size of a received datagram. Longer datagrams are truncated and
/// then fail the length checks.
constexpr std::size_t kMaxDatagramBytes = 2048;

/// A received datagram; its bytes are valid until the next receive.
struct Datagram
{
  Endpoint mFrom;
  std::span<std::byte> mBytes;
};

class UdpSocket
{
public:
  static constexpr std::size_t kBatch = 64;

  /// Opens and binds a socket; the reason for a failure is `SystemFailure`.
  static Result<UdpSocket> Bind(Endpoint aLocal);

  /// Waits for datagrams until the timeout and reads at most `kBatch` of them.
  std::span<Datagram const> Receive(milliseconds aTimeout);

  /// Queues a datagram that consists of a header and a body. Both must stay
  /// valid until the next `Flush`. Flushes first if the queue is full.
  void Queue(Endpoint aTo,
             std::span<std::byte const> aHeader,
             std::span<std::byte const> aBody);
  /// Sends all queued datagrams; returns the number of those that failed.
  std::size_t Flush();
  /// Sends one datagram immediately; returns false if that failed.
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
