#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

#include <algorithm>

namespace tarragonsill::Platform {

namespace {

// Offsets of the head's fields, in bytes.
constexpr std::size_t kSequence = 0;
constexpr std::size_t kAcknowledged = 4;
constexpr std::size_t kDataBytes = 8;
constexpr std::size_t kCookie = 10;
constexpr std::size_t kDestinationPort = 18;
constexpr std::size_t kSource = 20;
constexpr std::size_t kSourcePort = 24;
constexpr std::size_t kDestination = 26;
constexpr std::size_t kFlags = 30;

// Bits of the flags.
constexpr unsigned kSyn = 1;
constexpr unsigned kAck = 2;
constexpr unsigned kFin = 16;
constexpr unsigned kRst = 64;

} // namespace

std::optional<FlowPacket>
PacketFormat::Read(std::span<std::byte const> aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  FlowPacket packet;
  packet.mDataBytes = LoadU16(aBytes, kDataBytes);
  if (packet.mDataBytes > kMaxDataBytes ||
      aBytes.size() != kHeaderBytes + packet.mDataBytes) {
    return std::nullopt;
  }
  packet.mSource = { { LoadU32(aBytes, kSource) },
                     LoadU16(aBytes, kSourcePort) };
  packet.mDestination = { { LoadU32(aBytes, kDestination) },
                          LoadU16(aBytes, kDestinationPort) };
  auto const flags = std::to_integer<unsigned>(aBytes[kFlags]);
  packet.mOpens = (flags & kSyn) != 0;
  packet.mAcknowledges = (flags & kAck) != 0;
  packet.mCloses = (flags & kFin) != 0;
  packet.mResets = (flags & kRst) != 0;
  packet.mCookie = LoadU32(aBytes, kCookie);
  packet.mSequence = LoadU32(aBytes, kSequence);
  packet.mAcknowledged = LoadU32(aBytes, kAcknowledged);
  if (packet.mOpens && !packet.mAcknowledges) {
    // On an opening packet this field counts the copies sent before.
    packet.mOpeningRetransmissions = packet.mAcknowledged;
    packet.mAcknowledged = 0;
  }
  return packet;
}

void
PacketFormat::WriteCookie(std::span<std::byte> aBytes, std::uint32_t aCookie)
{
  StoreU32(aBytes, kCookie, aCookie);
}

void
PacketFormat::WriteReset(std::span<std::byte> aBytes,
                         Endpoint aRoute,
                         Endpoint aCaller,
                         std::uint32_t aSequence)
{
  auto const head = aBytes.first(kHeaderBytes);
  std::fill(head.begin(), head.end(), std::byte{ 0 });
  StoreU32(head, kSequence, aSequence);
  StoreU32(head, kSource, aRoute.mAddress.mValue);
  StoreU16(head, kSourcePort, aRoute.mPort);
  StoreU32(head, kDestination, aCaller.mAddress.mValue);
  StoreU16(head, kDestinationPort, aCaller.mPort);
  head[kFlags] = static_cast<std::byte>(kRst);
}

} // namespace tarragonsill::Platform
