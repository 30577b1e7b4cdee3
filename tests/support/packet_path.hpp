#ifndef TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED
#define TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED

#include "support/core_group.hpp"

#include <optional>

/// Follows a packet from core to core until it is delivered or dropped.
namespace tarragonsill::Test {

struct PacketPath
{
  bool mDelivered = false;
  /// The destination at delivery: an upstream or a caller.
  Endpoint mDestination;
  /// The source at delivery.
  Endpoint mSource;
  Counter mCause = Counter::DropNoHome; ///< For a dropped packet.
  unsigned mHops = 0;
  std::size_t mLastCore = 0;
};

/// Passes a packet from the fabric to a core and follows the packet. A packet
/// is lost at a core that does not run and on a link that is cut.
PacketPath FollowPacket(CoreGroup& aGroup,
                        std::size_t aFirst,
                        std::vector<std::byte> aPacket);

/// A caller's packet to the test service.
std::vector<std::byte> CallerPacket(std::uint32_t aCaller, std::uint8_t aFlags);
/// An upstream's answer to a caller of the test service.
std::vector<std::byte> AnswerPacket(Endpoint aUpstream,
                                    std::uint32_t aCaller,
                                    std::uint8_t aFlags);

/// Opens a flow: passes its opening packet and then the upstream's answer to
/// the given core. Returns the upstream; empty if either packet was not
/// delivered.
std::optional<Endpoint> OpenFlow(CoreGroup& aGroup,
                                 std::size_t aFirst,
                                 std::uint32_t aCaller);

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED
