#ifndef TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED
#define TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"

/// The platform's packet layout: a header of 36 bytes in network byte order,
/// then the data.
namespace tarragonsill::Platform {

struct PacketFormat
{
  static constexpr std::size_t kHeaderBytes = 36;
  /// The platform's limit for the data of one packet.
  static constexpr std::size_t kMaxDataBytes = 1200;

  /// Decodes a header; nothing if the lengths are wrong.
  static std::optional<FlowPacket> Read(std::span<std::byte const> aBytes);
  /// Replaces the cookie. The sender's checksum does not cover it.
  static void WriteCookie(std::span<std::byte> aBytes, std::uint32_t aCookie);
  /// Writes a reset from a route's address to a caller. Its sequence number
  /// must be near the caller's last acknowledgement.
  static void WriteReset(std::span<std::byte> aBytes,
                         Endpoint aRoute,
                         Endpoint aCaller,
                         std::uint32_t aSequence);
};

static_assert(FlowPacketFormat<PacketFormat>);

} // namespace tarragonsill::Platform

#endif // TARRAGONSILL_PLATFORM_PACKET_HPP_INCLUDED
