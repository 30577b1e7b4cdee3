#include "tarragonsill/protocol/tarragonsill_geneve.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::size_t kBaseHeaderBytes = 8;
constexpr std::size_t kOptionHeaderBytes = 4;
constexpr std::size_t kWordBytes = 4;
constexpr std::uint16_t kEtherTypeIpv4 = 0x0800;
/// From the experimental range of option classes (RFC 8926, section 8).
constexpr std::uint16_t kOptionClass = 0xFF54;
constexpr std::uint8_t kCriticalBit = 0x80;
constexpr std::uint8_t kRouteOptionType = kCriticalBit | 0x01;
constexpr std::size_t kRouteBytes = 16;
constexpr std::uint8_t kCriticalOptionsPresent = 0x40;

Route
ReadRoute(std::span<std::byte const> aBody)
{
  Route route;
  route.mKind = static_cast<RouteKind>(aBody[0]);
  route.mHops = std::to_integer<std::uint8_t>(aBody[1]);
  route.mStep = std::to_integer<std::uint8_t>(aBody[2]);
  route.mUpstream = { { LoadU32(aBody, 4) }, LoadU16(aBody, 8) };
  route.mHome = { { LoadU32(aBody, 12) }, LoadU16(aBody, 10) };
  return route;
}

bool
IsKnownKind(std::byte aKind)
{
  auto const kind = std::to_integer<unsigned>(aKind);
  return kind >= static_cast<unsigned>(RouteKind::ToHome) &&
         kind <= static_cast<unsigned>(RouteKind::UpstreamQuery);
}

Result<GeneveHeader, PacketError>
ReadOptions(std::span<std::byte const> aOptions)
{
  GeneveHeader header;
  header.mBytes = kBaseHeaderBytes + aOptions.size();
  while (!aOptions.empty()) {
    if (aOptions.size() < kOptionHeaderBytes) {
      return PacketError::OuterTruncated;
    }
    auto const optionClass = LoadU16(aOptions, 0);
    auto const type = std::to_integer<std::uint8_t>(aOptions[2]);
    auto const length =
      kWordBytes * (std::to_integer<std::size_t>(aOptions[3]) & 0x1F);
    if (aOptions.size() < kOptionHeaderBytes + length) {
      return PacketError::OuterTruncated;
    }
    auto const body = aOptions.subspan(kOptionHeaderBytes, length);
    aOptions = aOptions.subspan(kOptionHeaderBytes + length);
    bool const isRoute = optionClass == kOptionClass &&
                         type == kRouteOptionType && length == kRouteBytes &&
                         IsKnownKind(body[0]);
    if (isRoute) {
      header.mRoute = ReadRoute(body);
      continue;
    }
    if ((type & kCriticalBit) != 0) {
      return PacketError::OuterCriticalOption;
    }
  }
  return header;
}

} // namespace

Result<GeneveHeader, PacketError>
ParseGeneve(std::span<std::byte const> aDatagram)
{
  if (aDatagram.size() < kBaseHeaderBytes) {
    return PacketError::OuterTruncated;
  }
  auto const firstByte = std::to_integer<std::size_t>(aDatagram[0]);
  if (firstByte >> 6 != 0) {
    return PacketError::OuterVersion;
  }
  auto const optionBytes = kWordBytes * (firstByte & 0x3F);
  if (aDatagram.size() < kBaseHeaderBytes + optionBytes) {
    return PacketError::OuterTruncated;
  }
  if (LoadU16(aDatagram, 2) != kEtherTypeIpv4) {
    return PacketError::OuterProtocol;
  }
  return ReadOptions(aDatagram.subspan(kBaseHeaderBytes, optionBytes));
}

std::size_t
WriteGeneve(std::span<std::byte, kMaxGeneveBytes> aOut,
            std::optional<Route> const& aRoute)
{
  std::fill(aOut.begin(), aOut.end(), std::byte{ 0 });
  StoreU16(aOut, 2, kEtherTypeIpv4);
  if (!aRoute) {
    return kBaseHeaderBytes;
  }
  constexpr auto kOptionWords = (kOptionHeaderBytes + kRouteBytes) / kWordBytes;
  aOut[0] = static_cast<std::byte>(kOptionWords);
  aOut[1] = static_cast<std::byte>(kCriticalOptionsPresent);
  StoreU16(aOut, 8, kOptionClass);
  aOut[10] = static_cast<std::byte>(kRouteOptionType);
  aOut[11] = static_cast<std::byte>(kRouteBytes / kWordBytes);
  auto const body = aOut.subspan<kBaseHeaderBytes + kOptionHeaderBytes>();
  body[0] = static_cast<std::byte>(aRoute->mKind);
  body[1] = static_cast<std::byte>(aRoute->mHops);
  body[2] = static_cast<std::byte>(aRoute->mStep);
  StoreU32(body, 4, aRoute->mUpstream.mAddress.mValue);
  StoreU16(body, 8, aRoute->mUpstream.mPort);
  StoreU16(body, 10, aRoute->mHome.mPort);
  StoreU32(body, 12, aRoute->mHome.mAddress.mValue);
  return kMaxGeneveBytes;
}

} // namespace tarragonsill
