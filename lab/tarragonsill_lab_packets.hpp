#ifndef TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED
#define TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// The inner packets of the stand-ins: IPv4 and TCP with a small payload.
namespace tarragonsill::Lab {

/// The payload of a data packet and of its answer.
struct Payload
{
  std::uint32_t mFlow = 0;
  std::uint32_t mRoundTrip = 0; ///< Counts the round trips of the flow.
  std::uint32_t mService = 0;   ///< The service that the caller addresses.
  std::uint32_t mUpstream = 0;  ///< The upstream that answered.
};

/// Builds a packet with correct checksums.
std::vector<std::byte> BuildPacket(Endpoint aSource,
                                   Endpoint aDestination,
                                   std::uint8_t aFlags,
                                   Payload const& aPayload);

/// Reads the payload. Returns nothing if the size or a checksum is wrong.
std::optional<Payload> ReadPayload(PacketView const& aPacket);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED
