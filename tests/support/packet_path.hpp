#ifndef TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED
#define TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED

#include "support/core_group.hpp"

#include <optional>

/// Follows a packet from core to core until it leaves or is dropped.
namespace tarragonsill::Test {

struct PacketPath
{
  bool mDelivered = false;
  /// Where it left to: an upstream or a caller.
  Endpoint mDestination;
  /// Its source when it left.
  Endpoint mSource;
  Counter mCause = Counter::DropNoHome; ///< If it was dropped.
  unsigned mHops = 0;
  std::size_t mLastCore = 0;
};

/// Hands a packet from the fabric to a core and follows it. Cores that do not
/// run, and core pairs that are cut off from each other, lose it.
PacketPath FollowPacket(CoreGroup& aGroup,
                        std::size_t aFirst,
                        std::vector<std::byte> aPacket);

/// A caller's packet to the test service.
std::vector<std::byte> CallerPacket(std::uint32_t aCaller, std::uint8_t aFlags);
/// An upstream's answer to a caller.
std::vector<std::byte> AnswerPacket(Endpoint aUpstream,
                                    std::uint32_t aCaller,
                                    std::uint8_t aFlags);

/// Opens a flow: first packet, answer, and the caller's next packet, each
/// through the given core. Empty if the flow did not open.
std::optional<Endpoint> OpenFlow(CoreGroup& aGroup,
                                 std::size_t aFirst,
                                 std::uint32_t aCaller);

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_PACKET_PATH_HPP_INCLUDED
