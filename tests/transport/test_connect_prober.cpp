#include "tarragonsill_test.hpp"

#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"

#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>

using namespace tarragonsill;

namespace {

/// No host has this address, so that a connection fails without an answer.
constexpr Endpoint kSilentHost{ { INADDR_LOOPBACK | 0x00FFFFFE }, 9 };

/// A TCP socket bound to a free loopback port.
struct BoundSocket
{
  FileDescriptor mSocket;
  Endpoint mAddress;
};

BoundSocket
BindSocket(bool aIsListening)
{
  BoundSocket bound;
  bound.mSocket = FileDescriptor(::socket(AF_INET, SOCK_STREAM, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  CHECK(::bind(bound.mSocket.Number(), raw, size) == 0);
  CHECK(::getsockname(bound.mSocket.Number(), raw, &size) == 0);
  bound.mAddress = { { INADDR_LOOPBACK }, ntohs(address.sin_port) };
  if (aIsListening) {
    CHECK(::listen(bound.mSocket.Number(), 8) == 0);
  }
  return bound;
}

ConnectProber::Result
ProbeOnce(Endpoint aAddress, std::optional<Endpoint> aReference = std::nullopt)
{
  ConnectProber prober;
  prober.SetReference(aReference);
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
  auto const bound = BindSocket(true);
  auto const result = ProbeOnce(bound.mAddress);
  LONGS_EQUAL(7, result.mSlot);
  CHECK(result.mResult == ConnectResult::Accepted);
}

TEST(ConnectProber, a_port_without_a_listener_refuses)
{
  auto const bound = BindSocket(false);
  CHECK(ProbeOnce(bound.mAddress).mResult == ConnectResult::Refused);
}

/// Guards against taking an upstream that stands still, and whose queue of new
/// connections is full, for a host that has lost power.
TEST(ConnectProber, an_upstream_with_a_full_queue_stalls_while_its_host_answers)
{
  // With a full accept queue, the kernel ignores further connections.
  auto const bound = BindSocket(false);
  CHECK(::listen(bound.mSocket.Number(), 0) == 0);
  ConnectProber queueFiller;
  for (std::uint32_t slot = 0; slot < 4; ++slot) {
    queueFiller.StartProbe(Clock::now(), slot, bound.mAddress);
  }
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(ProbeOnce(bound.mAddress).mResult == ConnectResult::Stalled);
}

/// Guards against taking an upstream with a full queue for a silent host while
/// the reference answers.
TEST(ConnectProber, a_full_queue_stalls_although_the_reference_answers)
{
  auto const running = BindSocket(true);
  auto const bound = BindSocket(false);
  (void)::listen(bound.mSocket.Number(), 0);
  ConnectProber queueFiller;
  for (std::uint32_t slot = 0; slot < 4; ++slot) {
    queueFiller.StartProbe(Clock::now(), slot, bound.mAddress);
  }
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(ProbeOnce(bound.mAddress, running.mAddress).mResult ==
        ConnectResult::Stalled);
}

/// Guards against taking a network that filters packets to closed ports for a
/// host that has lost power.
TEST(ConnectProber, a_silent_host_counts_only_if_the_reference_answers)
{
  auto const running = BindSocket(true);
  CHECK(ProbeOnce(kSilentHost).mResult == ConnectResult::Stalled);
  CHECK(ProbeOnce(kSilentHost, kSilentHost).mResult == ConnectResult::Stalled);
  CHECK(ProbeOnce(kSilentHost, running.mAddress).mResult ==
        ConnectResult::NoAnswer);
}

/// Guards against taking a host for silent that had no time to answer, because
/// the packet thread was held up for less than a local pause.
TEST(ConnectProber, a_host_check_that_starts_late_still_gets_its_time)
{
  auto const running = BindSocket(true);
  ConnectProber prober;
  prober.SetReference(running.mAddress);
  auto const start = Clock::now();
  prober.StartProbe(start, 7, kSilentHost);
  CHECK(prober.Poll(start + milliseconds{ 149 }).empty());
  CHECK(prober.Poll(start + milliseconds{ 151 }).empty());
}

/// Guards against taking an upstream at its connection limit for one that no
/// longer runs.
TEST(ConnectProber, a_connection_that_is_accepted_and_then_reset_is_told_apart)
{
  auto const bound = BindSocket(true);
  ConnectProber prober;
  prober.StartProbe(Clock::now(), 7, bound.mAddress);
  {
    FileDescriptor const accepted(
      ::accept(bound.mSocket.Number(), nullptr, nullptr));
    linger const resetOnClose{ 1, 0 };
    CHECK(::setsockopt(accepted.Number(),
                       SOL_SOCKET,
                       SO_LINGER,
                       &resetOnClose,
                       sizeof(resetOnClose)) == 0);
  }
  auto const results = prober.Poll(Clock::now());
  LONGS_EQUAL(1, results.size());
  CHECK(results.front().mResult == ConnectResult::Reset);
}
