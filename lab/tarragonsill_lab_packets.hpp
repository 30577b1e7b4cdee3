#ifndef TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED
#define TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Inner packets of the stand-ins: IPv4 and TCP headers with a small payload.
namespace tarragonsill::Lab {

/// The payload of a data packet and of its echo.
struct Payload
{
  std::uint32_t mFlow = 0;
  std::uint32_t mRoundTrip = 0; ///< Rises with each round trip of a flow.
  std::uint32_t mService = 0;   ///< The service that the caller means.
  std::uint32_t mUpstream = 0;  ///< The upstream that echoed.
};

/// Builds a packet with correct checksums.
std::vector<std::byte> BuildPacket(Endpoint aSource,
                                   Endpoint aDestination,
                                   std::uint8_t aFlags,
                                   Payload const& aPayload);

/// Reads the payload back; empty if a checksum is wrong.
std::optional<Payload> ReadPayload(PacketView const& aPacket);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PACKETS_HPP_INCLUDED
