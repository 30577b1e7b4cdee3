#ifndef TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"

/// The platform's packet layout: a head of 36 bytes in network byte order,
/// then the data.
namespace tarragonsill::Platform {

struct PacketFormat
{
  static constexpr std::size_t kHeadBytes = 36;
  /// The longest data of one packet, in bytes.
  static constexpr std::size_t kMaxDataBytes = 1200;

  /// Reads a head; nothing if lengths or flags do not fit.
  static std::optional<FlowPacket> Read(std::span<std::byte const> aBytes);
  /// Replaces the cookie, which the sender's checksum does not cover.
  static void WriteCookie(std::span<std::byte> aBytes, std::uint32_t aCookie);
  /// Writes a reset from a route's address to a caller. Its sequence number
  /// has to be near the caller's last acknowledgement.
  static void WriteReset(std::span<std::byte> aBytes,
                         Endpoint aRoute,
                         Endpoint aCaller,
                         std::uint32_t aSequence);
};

static_assert(FlowPacketFormat<PacketFormat>);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED
