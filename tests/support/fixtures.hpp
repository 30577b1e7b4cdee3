#ifndef TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED
#define TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"

#include <cstddef>
#include <vector>

/// Small configurations, members and packets for tests.
namespace tarragonsill::Test {

/// A point in time to start from.
constexpr TimePoint kStart = TimePoint{} + seconds{ 1000 };

/// Options for a configuration with one service.
struct ServiceOptions
{
  std::vector<std::string> mZones = { "a" };
  unsigned mUpstreams = 2; ///< Spread over the zones in turn.
  WorkLimit mLimit{ 100, 4 };
  WorkLimit mColdLimit{ 100, 4 };
};

/// A configuration with the service "shop" at 198.51.100.1:443.
Configuration MakeConfiguration(ServiceOptions const& aShape,
                                std::uint64_t aVersion = 1);

/// A serving member; `aNumber` makes its addresses unique.
Member MakeMember(std::string const& aName,
                  std::string const& aZone,
                  unsigned aNumber);

/// Bytes of an IPv4 packet with correct checksums.
std::vector<std::byte> MakePacket(
  Endpoint aSource,
  Endpoint aDestination,
  std::uint8_t aFlags,
  TransportProtocol aProtocol = TransportProtocol::Tcp);

/// Whether the checksums of a packet are right.
bool HasValidChecksums(std::vector<std::byte> const& aPacket);

/// A caller's endpoint.
Endpoint CallerAt(std::uint32_t aNumber);

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED
