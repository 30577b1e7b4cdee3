#include "support/fixtures.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/protocol/tarragonsill_checksum.hpp"

namespace tarragonsill::Test {

namespace {

constexpr std::size_t kIpBytes = 20;
constexpr std::size_t kTcpBytes = 20;
constexpr std::size_t kUdpBytes = 8;
/// Odd, so that checksums need padding.
constexpr std::size_t kPayloadBytes = 13;

std::uint32_t
PseudoHeaderSum(std::span<std::byte const> aPacket)
{
  auto const length = static_cast<std::uint32_t>(aPacket.size() - kIpBytes);
  auto const protocol = std::to_integer<std::uint32_t>(aPacket[9]);
  return SumWords(aPacket.subspan(12, 8)) + protocol + length;
}

} // namespace

Configuration
MakeConfiguration(ServiceOptions const& aServiceOptions, std::uint64_t aVersion)
{
  Configuration configuration;
  configuration.mDeployment = "test";
  for (auto const& zone : aServiceOptions.mZones) {
    configuration.mZones.push_back({ zone, ZoneState::In });
  }
  Service service;
  service.mName = "shop";
  service.mAddress = { { 0xC6336401 }, 443 };
  for (unsigned index = 0; index < aServiceOptions.mUpstreams; ++index) {
    Upstream upstream;
    upstream.mName = "shop-" + std::to_string(index + 1);
    upstream.mZone =
      aServiceOptions.mZones[index % aServiceOptions.mZones.size()];
    upstream.mAddress = { { 0x0A000001 + index }, 8443 };
    upstream.mCallAddress = { { 0x0A000001 + index }, 9443 };
    upstream.mLimit = aServiceOptions.mLimit;
    upstream.mColdLimit = aServiceOptions.mColdLimit;
    service.mUpstreams.push_back(upstream);
  }
  configuration.mServices.push_back(service);
  auto result = MakeSuccessor(configuration, nullptr);
  result->mVersion = aVersion;
  return result.Take();
}

Member
MakeMember(std::string const& aName, std::string const& aZone, unsigned aNumber)
{
  Member member;
  member.mName = aName;
  member.mZone = aZone;
  Ipv4Address const address{ 0x7F000001 + aNumber };
  member.mControl = { address, 1 };
  member.mData = { address, 2 };
  member.mCalls = { address, 3 };
  member.mIncarnation = 1;
  member.mStage = MemberStage::Serving;
  return member;
}

std::vector<std::byte>
MakePacket(Endpoint aSource,
           Endpoint aDestination,
           std::uint8_t aFlags,
           TransportProtocol aProtocol)
{
  bool const isTcp = aProtocol == TransportProtocol::Tcp;
  auto const headerBytes = isTcp ? kTcpBytes : kUdpBytes;
  std::vector<std::byte> bytes(kIpBytes + headerBytes + kPayloadBytes,
                               std::byte{ 0x5A });
  std::span<std::byte> const packet(bytes);
  std::fill_n(bytes.begin(), kIpBytes + headerBytes, std::byte{ 0 });
  packet[0] = std::byte{ 0x45 };
  StoreU16(packet, 2, static_cast<std::uint16_t>(bytes.size()));
  packet[8] = std::byte{ 64 };
  packet[9] = static_cast<std::byte>(aProtocol);
  StoreU32(packet, 12, aSource.mAddress.mValue);
  StoreU32(packet, 16, aDestination.mAddress.mValue);
  StoreU16(packet, 10, FoldChecksum(SumWords(packet.first(kIpBytes))));
  StoreU16(packet, kIpBytes, aSource.mPort);
  StoreU16(packet, kIpBytes + 2, aDestination.mPort);
  if (isTcp) {
    packet[kIpBytes + 12] = std::byte{ 0x50 };
    packet[kIpBytes + 13] = static_cast<std::byte>(aFlags);
  } else {
    StoreU16(packet,
             kIpBytes + 4,
             static_cast<std::uint16_t>(kUdpBytes + kPayloadBytes));
  }
  auto const sum = SumWords(packet.subspan(kIpBytes), PseudoHeaderSum(packet));
  StoreU16(packet, kIpBytes + (isTcp ? 16 : 6), FoldChecksum(sum));
  return bytes;
}

bool
HasValidChecksums(std::vector<std::byte> const& aPacket)
{
  std::span<std::byte const> const packet(aPacket);
  return FoldChecksum(SumWords(packet.first(kIpBytes))) == 0 &&
         FoldChecksum(
           SumWords(packet.subspan(kIpBytes), PseudoHeaderSum(packet))) == 0;
}

Endpoint
CallerAt(std::uint32_t aNumber)
{
  return { { 0x64400001 + aNumber / 1000 },
           static_cast<std::uint16_t>(20000 + aNumber % 1000) };
}

} // namespace tarragonsill::Test
