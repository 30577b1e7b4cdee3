#ifndef TARRAGONSILL_TEST_LOOPBACK_NETWORK_HPP_INCLUDED
#define TARRAGONSILL_TEST_LOOPBACK_NETWORK_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"
#include "tarragonsill_test.hpp"

#include <optional>
#include <utility>

/// Loopback addresses for tests that open sockets.
namespace tarragonsill::Test {

/// Takes the value of a result, or fails the test with the reason.
template<typename T>
T
TakeOrFail(Result<T> aResult)
{
  CHECK_TEXT(aResult.HasValue(), aResult.LastReason().mText.c_str());
  return aResult.Take();
}

/// A loopback network that no other test process uses, so that several of them
/// may run at once. The network is reserved until the process ends.
class LoopbackNetwork
{
public:
  /// Returns an endpoint in the network of this process.
  static Endpoint At(std::uint32_t aHost, std::uint16_t aPort)
  {
    static LoopbackNetwork const sNetwork;
    CHECK_TEXT(sNetwork.mReservation.has_value(),
               "every loopback network for tests is in use");
    return { { sNetwork.mPrefix + aHost }, aPort };
  }

private:
  /// The networks 127.244.0.0/16 to 127.253.0.0/16; the lab uses others.
  static constexpr std::uint32_t kFirstNetwork = 244;
  static constexpr std::uint32_t kNetworks = 10;
  static constexpr std::uint32_t kReservedHost = 0xFFFE;
  static constexpr std::uint16_t kReservedPort = 18100;

  LoopbackNetwork()
  {
    for (std::uint32_t index = 0; index < kNetworks; ++index) {
      mPrefix = (127U << 24U) + ((kFirstNetwork + index) << 16U);
      auto socket =
        UdpSocket::Bind({ { mPrefix + kReservedHost }, kReservedPort });
      if (!socket) {
        continue;
      }
      mReservation = socket.Take();
      return;
    }
  }

  std::uint32_t mPrefix = 0;
  std::optional<UdpSocket> mReservation;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_LOOPBACK_NETWORK_HPP_INCLUDED
