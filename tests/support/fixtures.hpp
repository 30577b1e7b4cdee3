#ifndef TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED
#define TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"

#include <cstddef>
#include <vector>

/// Configurations, members and packets for tests.
namespace tarragonsill::Test {

/// The time at which tests start.
constexpr TimePoint kStart = TimePoint{} + seconds{ 1000 };

/// Options of the service that `MakeConfiguration` adds.
struct ServiceOptions
{
  std::vector<std::string> mZones = { "a" };
  unsigned mUpstreams = 2; ///< Assigned to the zones in turn.
  WorkLimit mLimit{ 100, 4 };
  WorkLimit mColdLimit{ 100, 4 };
};

/// Returns a configuration with the service "shop" at 198.51.100.1:443.
Configuration MakeConfiguration(ServiceOptions const& aServiceOptions,
                                std::uint64_t aVersion = 1);

/// Returns a serving member; `aNumber` makes its addresses unique.
Member MakeMember(std::string const& aName,
                  std::string const& aZone,
                  unsigned aNumber);

/// Returns an IPv4 packet with correct checksums.
std::vector<std::byte> MakePacket(
  Endpoint aSource,
  Endpoint aDestination,
  std::uint8_t aFlags,
  TransportProtocol aProtocol = TransportProtocol::Tcp);

/// Whether the checksums of a packet are correct.
bool HasValidChecksums(std::vector<std::byte> const& aPacket);

/// Returns the endpoint of the caller with this number.
Endpoint CallerAt(std::uint32_t aNumber);

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_FIXTURES_HPP_INCLUDED
