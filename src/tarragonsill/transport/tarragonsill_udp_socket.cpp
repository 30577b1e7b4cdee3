#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include "tarragonsill/transport/tarragonsill_socket_address.hpp"

#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace tarragonsill {

namespace {

constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

} // namespace

struct UdpSocket::Buffers
{
  std::array<std::array<std::byte, kMaxDatagramBytes>, kBatch> mBytes;
  std::array<mmsghdr, kBatch> mReceive{};
  std::array<iovec, kBatch> mReceiveVectors{};
  std::array<sockaddr_in, kBatch> mSenders{};
  std::array<Datagram, kBatch> mDatagrams{};

  std::array<mmsghdr, kBatch> mSend{};
  std::array<std::array<iovec, 2>, kBatch> mSendVectors{};
  std::array<sockaddr_in, kBatch> mDestinations{};
  std::size_t mQueued = 0;
};

void
UdpSocket::BuffersDeleter::operator()(Buffers* aBuffers) const
{
  delete aBuffers;
}

UdpSocket::UdpSocket(FileDescriptor aSocket)
  : mSocket(std::move(aSocket))
  , mBuffers(new Buffers())
{
}

Result<UdpSocket>
UdpSocket::Bind(Endpoint aLocal)
{
  FileDescriptor socket(
    ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  auto const makeReason = [&](char const* aCall) {
    return Reason{ ReasonCode::SystemFailure,
                   std::string(aCall) + " " + ToText(aLocal) + ": " +
                     std::strerror(errno) };
  };
  if (!socket.IsOpen()) {
    return makeReason("socket for");
  }
  for (int const option : { SO_RCVBUF, SO_SNDBUF }) {
    // A failure is harmless: larger buffers only absorb bursts.
    (void)::setsockopt(socket.Number(),
                       SOL_SOCKET,
                       option,
                       &kSocketBufferBytes,
                       sizeof(kSocketBufferBytes));
  }
  auto const address = ToSocketAddress(aLocal);
  auto const* const generic = reinterpret_cast<sockaddr const*>(&address);
  if (::bind(socket.Number(), generic, sizeof(address)) != 0) {
    return makeReason("bind");
  }
  return UdpSocket(std::move(socket));
}

std::span<Datagram const>
UdpSocket::Receive(milliseconds aTimeout)
{
  pollfd pollEntry{ mSocket.Number(), POLLIN, 0 };
  if (::poll(&pollEntry, 1, static_cast<int>(aTimeout.count())) <= 0) {
    return {};
  }
  auto& buffers = *mBuffers;
  for (std::size_t index = 0; index < kBatch; ++index) {
    buffers.mReceiveVectors[index] = { buffers.mBytes[index].data(),
                                       kMaxDatagramBytes };
    auto& header = buffers.mReceive[index].msg_hdr;
    header = {};
    header.msg_name = &buffers.mSenders[index];
    header.msg_namelen = sizeof(sockaddr_in);
    header.msg_iov = &buffers.mReceiveVectors[index];
    header.msg_iovlen = 1;
  }
  int const count = ::recvmmsg(
    mSocket.Number(), buffers.mReceive.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return {};
  }
  auto const received = static_cast<std::size_t>(count);
  for (std::size_t index = 0; index < received; ++index) {
    buffers.mDatagrams[index] = {
      FromSocketAddress(buffers.mSenders[index]),
      std::span(buffers.mBytes[index]).first(buffers.mReceive[index].msg_len)
    };
  }
  return std::span(buffers.mDatagrams).first(received);
}

void
UdpSocket::Queue(Endpoint aTo,
                 std::span<std::byte const> aHeader,
                 std::span<std::byte const> aBody)
{
  auto& buffers = *mBuffers;
  if (buffers.mQueued == kBatch) {
    Flush();
  }
  auto const index = buffers.mQueued++;
  auto const toVector = [](std::span<std::byte const> aBytes) {
    return iovec{ const_cast<std::byte*>(aBytes.data()), aBytes.size() };
  };
  buffers.mDestinations[index] = ToSocketAddress(aTo);
  buffers.mSendVectors[index] = { toVector(aHeader), toVector(aBody) };
  auto& header = buffers.mSend[index].msg_hdr;
  header = {};
  header.msg_name = &buffers.mDestinations[index];
  header.msg_namelen = sizeof(sockaddr_in);
  header.msg_iov = buffers.mSendVectors[index].data();
  header.msg_iovlen = 2;
}

std::size_t
UdpSocket::Flush()
{
  auto& buffers = *mBuffers;
  std::size_t sent = 0;
  std::size_t failed = 0;
  while (sent < buffers.mQueued) {
    int const count = ::sendmmsg(mSocket.Number(),
                                 buffers.mSend.data() + sent,
                                 static_cast<unsigned>(buffers.mQueued - sent),
                                 0);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    // The first datagram failed; continue with the next one.
    ++sent;
    ++failed;
  }
  buffers.mQueued = 0;
  return failed;
}

bool
UdpSocket::Send(Endpoint aTo, std::span<std::byte const> aBytes)
{
  auto const address = ToSocketAddress(aTo);
  auto const sent = ::sendto(mSocket.Number(),
                             aBytes.data(),
                             aBytes.size(),
                             0,
                             reinterpret_cast<sockaddr const*>(&address),
                             sizeof(address));
  return sent == static_cast<ssize_t>(aBytes.size());
}

} // namespace tarragonsill
