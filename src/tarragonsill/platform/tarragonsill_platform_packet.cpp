#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

#include <algorithm>

namespace tarragonsill::Platform {

namespace {

// Offsets of the header's fields, in bytes.
constexpr std::size_t kSequenceOffset = 0;
constexpr std::size_t kAcknowledgedOffset = 4;
constexpr std::size_t kDataBytesOffset = 8;
constexpr std::size_t kCookieOffset = 10;
constexpr std::size_t kDestinationPortOffset = 18;
constexpr std::size_t kSourceOffset = 20;
constexpr std::size_t kSourcePortOffset = 24;
constexpr std::size_t kDestinationOffset = 26;
constexpr std::size_t kFlagsOffset = 30;

// Bits of the flags field.
constexpr unsigned kSynFlag = 1;
constexpr unsigned kAckFlag = 2;
constexpr unsigned kFinFlag = 16;
constexpr unsigned kRstFlag = 64;

} // namespace

std::optional<FlowPacket>
PacketFormat::Read(std::span<std::byte const> aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  FlowPacket packet;
  packet.mDataBytes = LoadU16(aBytes, kDataBytesOffset);
  if (packet.mDataBytes > kMaxDataBytes ||
      aBytes.size() != kHeaderBytes + packet.mDataBytes) {
    return std::nullopt;
  }
  packet.mSource = { { LoadU32(aBytes, kSourceOffset) },
                     LoadU16(aBytes, kSourcePortOffset) };
  packet.mDestination = { { LoadU32(aBytes, kDestinationOffset) },
                          LoadU16(aBytes, kDestinationPortOffset) };
  auto const flags = std::to_integer<unsigned>(aBytes[kFlagsOffset]);
  packet.mOpens = (flags & kSynFlag) != 0;
  packet.mAcknowledges = (flags & kAckFlag) != 0;
  packet.mCloses = (flags & kFinFlag) != 0;
  packet.mResets = (flags & kRstFlag) != 0;
  packet.mCookie = LoadU32(aBytes, kCookieOffset);
  packet.mSequence = LoadU32(aBytes, kSequenceOffset);
  packet.mAcknowledged = LoadU32(aBytes, kAcknowledgedOffset);
  if (packet.mOpens && !packet.mAcknowledges) {
    // On an opening packet this field holds the number of retransmissions.
    packet.mOpeningRetransmissions = packet.mAcknowledged;
    packet.mAcknowledged = 0;
  }
  return packet;
}

void
PacketFormat::WriteCookie(std::span<std::byte> aBytes, std::uint32_t aCookie)
{
  StoreU32(aBytes, kCookieOffset, aCookie);
}

void
PacketFormat::WriteReset(std::span<std::byte> aBytes,
                         Endpoint aRoute,
                         Endpoint aCaller,
                         std::uint32_t aSequence)
{
  auto const header = aBytes.first(kHeaderBytes);
  std::fill(header.begin(), header.end(), std::byte{ 0 });
  StoreU32(header, kSequenceOffset, aSequence);
  StoreU32(header, kSourceOffset, aRoute.mAddress.mValue);
  StoreU16(header, kSourcePortOffset, aRoute.mPort);
  StoreU32(header, kDestinationOffset, aCaller.mAddress.mValue);
  StoreU16(header, kDestinationPortOffset, aCaller.mPort);
  header[kFlagsOffset] = static_cast<std::byte>(kRstFlag);
}

} // namespace tarragonsill::Platform
