#include "tarragonsill/protocol/tarragonsill_packet.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/protocol/tarragonsill_checksum.hpp"

namespace tarragonsill {

namespace {

constexpr std::size_t kIpHeaderBytes = 20;
constexpr std::size_t kTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kTotalLengthOffset = 2;
constexpr std::size_t kFragmentFieldOffset = 6;
constexpr std::size_t kProtocolOffset = 9;
constexpr std::size_t kIpChecksumOffset = 10;
constexpr std::size_t kSourceOffset = 12;
constexpr std::size_t kDestinationOffset = 16;
constexpr std::size_t kTcpFlagsOffset = kIpHeaderBytes + 13;
constexpr std::size_t kTcpChecksumOffset = kIpHeaderBytes + 16;
constexpr std::size_t kUdpChecksumOffset = kIpHeaderBytes + 6;
constexpr std::uint16_t kFragmentMask = 0x3FFF;

void
UpdateChecksumAt(std::span<std::byte> aBytes,
                 std::size_t aChecksumOffset,
                 std::uint16_t aOld,
                 std::uint16_t aNew)
{
  auto const checksum = LoadU16(aBytes, aChecksumOffset);
  StoreU16(aBytes, aChecksumOffset, UpdateChecksum(checksum, aOld, aNew));
}

PacketError
CheckIpHeader(std::span<std::byte const> aBytes)
{
  if (aBytes.empty()) {
    return PacketError::Truncated;
  }
  auto const versionAndLength = std::to_integer<unsigned>(aBytes[0]);
  if (versionAndLength >> 4 != 4) {
    return PacketError::Version;
  }
  if (aBytes.size() < kIpHeaderBytes) {
    return PacketError::Truncated;
  }
  if ((versionAndLength & 15) > 5) {
    return PacketError::IpOptions;
  }
  auto const total = LoadU16(aBytes, kTotalLengthOffset);
  if ((versionAndLength & 15) < 5 || total < kIpHeaderBytes ||
      total > aBytes.size()) {
    return PacketError::Truncated;
  }
  if ((LoadU16(aBytes, kFragmentFieldOffset) & kFragmentMask) != 0) {
    return PacketError::Fragment;
  }
  return PacketError::None;
}

} // namespace

Result<PacketView, PacketError>
PacketView::Parse(std::span<std::byte> aBytes)
{
  auto const error = CheckIpHeader(aBytes);
  if (error != PacketError::None) {
    return error;
  }
  PacketView view;
  view.mBytes = aBytes.first(LoadU16(aBytes, kTotalLengthOffset));
  auto const protocol = std::to_integer<unsigned>(aBytes[kProtocolOffset]);
  bool const isTcp = protocol == static_cast<unsigned>(TransportProtocol::Tcp);
  bool const isUdp = protocol == static_cast<unsigned>(TransportProtocol::Udp);
  if (!isTcp && !isUdp) {
    return PacketError::Protocol;
  }
  auto const transportBytes = isTcp ? kTcpHeaderBytes : kUdpHeaderBytes;
  if (view.mBytes.size() < kIpHeaderBytes + transportBytes) {
    return PacketError::Truncated;
  }
  view.mProtocol = isTcp ? TransportProtocol::Tcp : TransportProtocol::Udp;
  view.mSource = { { LoadU32(aBytes, kSourceOffset) },
                   LoadU16(aBytes, kIpHeaderBytes) };
  view.mDestination = { { LoadU32(aBytes, kDestinationOffset) },
                        LoadU16(aBytes, kIpHeaderBytes + 2) };
  if (isTcp) {
    view.mFlags = std::to_integer<std::uint8_t>(aBytes[kTcpFlagsOffset]);
  }
  return view;
}

void
PacketView::RewriteSource(Endpoint aSource)
{
  Rewrite(kSourceOffset, kIpHeaderBytes, mSource, aSource);
  mSource = aSource;
}

void
PacketView::RewriteDestination(Endpoint aDestination)
{
  Rewrite(kDestinationOffset, kIpHeaderBytes + 2, mDestination, aDestination);
  mDestination = aDestination;
}

void
PacketView::Rewrite(std::size_t aAddressOffset,
                    std::size_t aPortOffset,
                    Endpoint aOld,
                    Endpoint aNew)
{
  auto const oldHigh = static_cast<std::uint16_t>(aOld.mAddress.mValue >> 16);
  auto const oldLow = static_cast<std::uint16_t>(aOld.mAddress.mValue & 0xFFFF);
  auto const newHigh = static_cast<std::uint16_t>(aNew.mAddress.mValue >> 16);
  auto const newLow = static_cast<std::uint16_t>(aNew.mAddress.mValue & 0xFFFF);
  StoreU32(mBytes, aAddressOffset, aNew.mAddress.mValue);
  StoreU16(mBytes, aPortOffset, aNew.mPort);
  UpdateChecksumAt(mBytes, kIpChecksumOffset, oldHigh, newHigh);
  UpdateChecksumAt(mBytes, kIpChecksumOffset, oldLow, newLow);

  bool const isTcp = mProtocol == TransportProtocol::Tcp;
  auto const offset = isTcp ? kTcpChecksumOffset : kUdpChecksumOffset;
  if (!isTcp && LoadU16(mBytes, offset) == 0) {
    return; // The sender of a UDP packet may omit the checksum (RFC 768).
  }
  UpdateChecksumAt(mBytes, offset, oldHigh, newHigh);
  UpdateChecksumAt(mBytes, offset, oldLow, newLow);
  UpdateChecksumAt(mBytes, offset, aOld.mPort, aNew.mPort);
  if (!isTcp && LoadU16(mBytes, offset) == 0) {
    // Zero means that there is no checksum, so it is sent as all ones.
    StoreU16(mBytes, offset, 0xFFFF);
  }
}

} // namespace tarragonsill
