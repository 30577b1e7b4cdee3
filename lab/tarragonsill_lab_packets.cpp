#include "tarragonsill_lab_packets.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/protocol/tarragonsill_checksum.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::size_t kIpBytes = 20;
constexpr std::size_t kTcpBytes = 20;
constexpr std::size_t kPayloadOffset = kIpBytes + kTcpBytes;
constexpr std::size_t kPacketBytes = kPayloadOffset + sizeof(Payload);
constexpr std::uint16_t kTcpProtocol = 6;

/// Returns the sum of the TCP pseudo header (RFC 9293, section 3.1).
std::uint32_t
PseudoHeaderSum(std::span<std::byte const> aPacket)
{
  auto const length = static_cast<std::uint32_t>(aPacket.size() - kIpBytes);
  return SumWords(aPacket.subspan(12, 8)) + kTcpProtocol + length;
}

} // namespace

std::vector<std::byte>
BuildPacket(Endpoint aSource,
            Endpoint aDestination,
            std::uint8_t aFlags,
            Payload const& aPayload)
{
  std::vector<std::byte> bytes(kPacketBytes);
  std::span<std::byte> const packet(bytes);
  packet[0] = std::byte{ 0x45 };
  StoreU16(packet, 2, kPacketBytes);
  packet[8] = std::byte{ 64 };
  packet[9] = static_cast<std::byte>(kTcpProtocol);
  StoreU32(packet, 12, aSource.mAddress.mValue);
  StoreU32(packet, 16, aDestination.mAddress.mValue);
  StoreU16(packet, 10, FoldChecksum(SumWords(packet.first(kIpBytes))));
  StoreU16(packet, kIpBytes, aSource.mPort);
  StoreU16(packet, kIpBytes + 2, aDestination.mPort);
  packet[kIpBytes + 12] = std::byte{ 0x50 };
  packet[kIpBytes + 13] = static_cast<std::byte>(aFlags);
  StoreU32(packet, kPayloadOffset, aPayload.mFlow);
  StoreU32(packet, kPayloadOffset + 4, aPayload.mRoundTrip);
  StoreU32(packet, kPayloadOffset + 8, aPayload.mService);
  StoreU32(packet, kPayloadOffset + 12, aPayload.mUpstream);
  auto const sum = SumWords(packet.subspan(kIpBytes), PseudoHeaderSum(packet));
  StoreU16(packet, kIpBytes + 16, FoldChecksum(sum));
  return bytes;
}

std::optional<Payload>
ReadPayload(PacketView const& aPacket)
{
  std::span<std::byte const> const packet = aPacket.Bytes();
  if (packet.size() != kPacketBytes) {
    return std::nullopt;
  }
  bool const valid = FoldChecksum(SumWords(packet.first(kIpBytes))) == 0 &&
                     FoldChecksum(SumWords(packet.subspan(kIpBytes),
                                           PseudoHeaderSum(packet))) == 0;
  if (!valid) {
    return std::nullopt;
  }
  return Payload{ LoadU32(packet, kPayloadOffset),
                  LoadU32(packet, kPayloadOffset + 4),
                  LoadU32(packet, kPayloadOffset + 8),
                  LoadU32(packet, kPayloadOffset + 12) };
}

} // namespace tarragonsill::Lab
