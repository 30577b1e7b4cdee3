#include "tarragonsill_test.hpp"

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

#include <array>
#include <vector>

using namespace tarragonsill;
using Platform::PacketFormat;

namespace {

/// An opening packet from 100.64.1.2:50000 to 198.18.0.9:8443, which was sent
/// twice before.
std::vector<std::byte>
OpeningPacket()
{
  std::vector<std::byte> bytes(PacketFormat::kHeaderBytes);
  std::span<std::byte> const header(bytes);
  StoreU32(header, 0, 0x01020304);
  StoreU32(header, 4, 2);
  StoreU32(header, 14, 0xABCDEF01);
  StoreU16(header, 18, 8443);
  StoreU32(header, 20, 0x64400102);
  StoreU16(header, 24, 50000);
  StoreU32(header, 26, 0xC6120009);
  header[30] = std::byte{ 1 };
  return bytes;
}

} // namespace

TEST_GROUP(PlatformPacket){};

TEST(PlatformPacket, the_header_of_an_opening_packet_is_decoded)
{
  auto const packet = PacketFormat::Read(OpeningPacket());
  CHECK(packet.has_value());
  CHECK(packet->mOpens);
  CHECK_FALSE(packet->mAcknowledges);
  LONGS_EQUAL(2, packet->mOpeningRetransmissions);
  LONGS_EQUAL(0, packet->mAcknowledged);
  LONGS_EQUAL(0x01020304, packet->mSequence);
  CHECK(packet->mSource == Endpoint({ { 0x64400102 }, 50000 }));
  CHECK(packet->mDestination == Endpoint({ { 0xC6120009 }, 8443 }));
}

TEST(PlatformPacket, a_wrong_data_length_is_rejected)
{
  auto bytes = OpeningPacket();
  StoreU16(bytes, 8, 1);
  CHECK_FALSE(PacketFormat::Read(bytes).has_value());
  bytes.push_back(std::byte{ 7 });
  CHECK(PacketFormat::Read(bytes).has_value());
  bytes.pop_back();
  bytes.pop_back();
  CHECK_FALSE(PacketFormat::Read(bytes).has_value());
}

TEST(PlatformPacket, writing_a_cookie_changes_no_other_byte)
{
  CheckProperty("cookie", [] {
    auto bytes = OpeningPacket();
    auto const before = bytes;
    auto const cookie = *rc::gen::arbitrary<std::uint32_t>();
    PacketFormat::WriteCookie(bytes, cookie);
    RC_ASSERT(PacketFormat::Read(bytes)->mCookie == cookie);
    PacketFormat::WriteCookie(bytes, 0);
    RC_ASSERT(bytes == before);
  });
}

TEST(PlatformPacket, a_reset_comes_from_the_route_and_has_no_other_flags)
{
  std::array<std::byte, PacketFormat::kHeaderBytes> bytes{};
  bytes.fill(std::byte{ 0xFF });
  Endpoint const route{ { 0xC6120009 }, 8443 };
  Endpoint const caller{ { 0x64400102 }, 50000 };
  PacketFormat::WriteReset(bytes, route, caller, 77);
  auto const packet = PacketFormat::Read(bytes);
  CHECK(packet.has_value());
  CHECK(packet->mResets && !packet->mOpens && !packet->mCloses);
  CHECK(packet->mSource == route);
  CHECK(packet->mDestination == caller);
  LONGS_EQUAL(77, packet->mSequence);
  LONGS_EQUAL(0, LoadU32(bytes, 14));
}

TEST(PlatformPacket, any_bytes_give_a_packet_or_nothing)
{
  CheckProperty("any bytes", [] {
    auto const bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    auto const packet = PacketFormat::Read(std::as_bytes(std::span(bytes)));
    RC_ASSERT(!packet ||
              bytes.size() == PacketFormat::kHeaderBytes + packet->mDataBytes);
  });
}
