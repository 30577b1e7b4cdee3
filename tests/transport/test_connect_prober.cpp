#include "tarragonsill_test.hpp"

#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"

#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>

using namespace tarragonsill;

namespace {

/// A TCP socket on a free loopback port.
struct Listener
{
  FileDescriptor mSocket;
  Endpoint mAddress;
};

Listener
Bind(bool aListens)
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
  if (aListens) {
    CHECK(::listen(listener.mSocket.Number(), 8) == 0);
  }
  return listener;
}

ConnectProber::Result
AskOnce(Endpoint aAddress)
{
  ConnectProber prober;
  prober.Ask(Clock::now(), 7, aAddress);
  while (true) {
    auto const results = prober.Poll(Clock::now());
    if (!results.empty()) {
      CHECK_FALSE(prober.IsBusy());
      return results.front();
    }
    std::this_thread::sleep_for(milliseconds{ 2 });
  }
}

} // namespace

TEST_GROUP(ConnectProber){};

TEST(ConnectProber, an_upstream_that_listens_accepts)
{
  auto const listener = Bind(true);
  auto const result = AskOnce(listener.mAddress);
  LONGS_EQUAL(7, result.mSlot);
  CHECK(result.mResult == ConnectResult::Accepted);
}

TEST(ConnectProber, a_port_without_a_listener_refuses)
{
  auto const listener = Bind(false);
  CHECK(AskOnce(listener.mAddress).mResult == ConnectResult::Refused);
}

TEST(ConnectProber, what_does_not_answer_in_time_is_given_up)
{
  // A queue that is full takes no further connection and says nothing.
  auto const listener = Bind(false);
  CHECK(::listen(listener.mSocket.Number(), 0) == 0);
  ConnectProber filling;
  for (std::uint32_t slot = 0; slot < 4; ++slot) {
    filling.Ask(Clock::now(), slot, listener.mAddress);
  }
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(AskOnce(listener.mAddress).mResult == ConnectResult::NoAnswer);
}
