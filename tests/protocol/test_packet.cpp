#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"
#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

using namespace tarragonsill;

namespace {

std::vector<std::byte>
SamplePacket(TransportProtocol aProtocol = TransportProtocol::Tcp)
{
  return Test::MakePacket(
    Test::CallerAt(1), { { 0xC6336401 }, 443 }, TcpFlags::kAck, aProtocol);
}

PacketError
ErrorOf(std::vector<std::byte> aBytes)
{
  return PacketView::Parse(aBytes).LastReason();
}

} // namespace

TEST_GROUP(Packet){};

TEST(Packet, rewriting_keeps_tcp_and_udp_checksums_valid)
{
  CheckProperty("checksums", [] {
    auto const protocol =
      *rc::gen::element(TransportProtocol::Tcp, TransportProtocol::Udp);
    auto const endpoint = [] {
      return Endpoint{ { *rc::gen::arbitrary<std::uint32_t>() },
                       *rc::gen::arbitrary<std::uint16_t>() };
    };
    auto bytes = Test::MakePacket(endpoint(), endpoint(), 0, protocol);
    auto packet = PacketView::Parse(bytes);
    RC_ASSERT(packet.HasValue());
    auto const source = endpoint();
    auto const destination = endpoint();
    packet->RewriteSource(source);
    packet->RewriteDestination(destination);
    RC_ASSERT(Test::HasValidChecksums(bytes));
    auto const rewritten = PacketView::Parse(bytes);
    RC_ASSERT(rewritten->Source() == source);
    RC_ASSERT(rewritten->Destination() == destination);
  });
}

TEST(Packet, rewriting_adds_no_checksum_to_a_udp_packet_without_one)
{
  auto bytes = SamplePacket(TransportProtocol::Udp);
  StoreU16(bytes, 26, 0);
  auto packet = PacketView::Parse(bytes);
  packet->RewriteDestination({ { 1 }, 2 });
  LONGS_EQUAL(0, LoadU16(bytes, 26));
}

TEST(Packet, each_error_is_reported)
{
  auto bytes = SamplePacket();
  bytes[0] = std::byte{ 0x65 };
  CHECK(ErrorOf(bytes) == PacketError::Version);
  bytes = SamplePacket();
  bytes[0] = std::byte{ 0x46 };
  CHECK(ErrorOf(bytes) == PacketError::IpOptions);
  bytes = SamplePacket();
  StoreU16(bytes, 6, 0x2000);
  CHECK(ErrorOf(bytes) == PacketError::Fragment);
  bytes = SamplePacket();
  StoreU16(bytes, 6, 100);
  CHECK(ErrorOf(bytes) == PacketError::Fragment);
  bytes = SamplePacket();
  bytes[9] = std::byte{ 1 };
  CHECK(ErrorOf(bytes) == PacketError::Protocol);
  bytes = SamplePacket();
  bytes.resize(30);
  CHECK(ErrorOf(bytes) == PacketError::Truncated);
  StoreU16(bytes, 2, 30);
  CHECK(ErrorOf(bytes) == PacketError::Truncated);
  CHECK(ErrorOf({}) == PacketError::Truncated);
}

TEST(Packet, any_bytes_give_a_packet_or_an_error)
{
  CheckProperty("any bytes", [] {
    auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    auto const span = std::as_writable_bytes(std::span(bytes));
    auto packet = PacketView::Parse(span);
    if (packet) {
      packet->RewriteSource({ { 1 }, 2 });
      packet->RewriteDestination({ { 3 }, 4 });
    } else {
      RC_ASSERT(packet.LastReason() != PacketError::None);
    }
  });
}

TEST(Packet, a_corrupted_packet_gives_a_packet_or_an_error)
{
  CheckProperty("corrupted packets", [] {
    auto bytes = SamplePacket();
    auto const corruptions =
      *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
        rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
    for (auto const& [position, value] : corruptions) {
      bytes[position % bytes.size()] = static_cast<std::byte>(value);
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    auto packet = PacketView::Parse(bytes);
    if (packet) {
      packet->RewriteDestination({ { 3 }, 4 });
    } else {
      RC_ASSERT(packet.LastReason() != PacketError::None);
    }
  });
}
