#include "tarragonsill_test.hpp"

#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"

#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>

using namespace tarragonsill;

namespace {

/// A TCP socket bound to a free loopback port.
struct Listener
{
  FileDescriptor mSocket;
  Endpoint mAddress;
};

Listener
BindSocket(bool aIsListening)
{
  Listener listener;
  listener.mSocket = FileDescriptor(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  CHECK(::bind(listener.mSocket.Number(), raw, size) == 0);
  CHECK(::getsockname(listener.mSocket.Number(), raw, &size) == 0);
  listener.mAddress = { { INADDR_LOOPBACK }, ntohs(address.sin_port) };
  if (aIsListening) {
    CHECK(::listen(listener.mSocket.Number(), 8) == 0);
  }
  return listener;
}

ConnectProber::Result
ProbeOnce(Endpoint aAddress)
{
  ConnectProber prober;
  prober.StartProbe(Clock::now(), 7, aAddress);
  while (true) {
    auto const results = prober.Poll(Clock::now());
    if (!results.empty()) {
      CHECK_FALSE(prober.HasPendingProbes());
      return results.front();
    }
    std::this_thread::sleep_for(milliseconds{ 2 });
  }
}

} // namespace

TEST_GROUP(ConnectProber){};

TEST(ConnectProber, a_listening_upstream_accepts)
{
  auto const listener = BindSocket(true);
  auto const result = ProbeOnce(listener.mAddress);
  LONGS_EQUAL(7, result.mSlot);
  CHECK(result.mResult == ConnectResult::Accepted);
}

TEST(ConnectProber, a_port_without_a_listener_refuses)
{
  auto const listener = BindSocket(false);
  CHECK(ProbeOnce(listener.mAddress).mResult == ConnectResult::Refused);
}

TEST(ConnectProber, a_probe_without_an_answer_times_out)
{
  // With a full accept queue, the kernel ignores further connections.
  auto const listener = BindSocket(false);
  CHECK(::listen(listener.mSocket.Number(), 0) == 0);
  ConnectProber queueFiller;
  for (std::uint32_t slot = 0; slot < 4; ++slot) {
    queueFiller.StartProbe(Clock::now(), slot, listener.mAddress);
  }
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(ProbeOnce(listener.mAddress).mResult == ConnectResult::NoAnswer);
}
