#include "tarragonsill_test.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/protocol/tarragonsill_checksum.hpp"
#include "tarragonsill/protocol/tarragonsill_geneve.hpp"

using namespace tarragonsill;

namespace {

std::vector<std::byte>
EncodeHeader(std::optional<Route> const& aRoute)
{
  std::array<std::byte, kMaxGeneveBytes> bytes;
  auto const length = WriteGeneve(bytes, aRoute);
  return { bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(length) };
}

} // namespace

TEST_GROUP(Geneve){};

TEST(Geneve, a_written_route_is_parsed_back)
{
  CheckProperty("route", [] {
    Route route;
    route.mKind = static_cast<RouteKind>(*rc::gen::inRange(1, 8));
    route.mHops = *rc::gen::arbitrary<std::uint8_t>();
    route.mStep = *rc::gen::arbitrary<std::uint8_t>();
    route.mUpstream = { { *rc::gen::arbitrary<std::uint32_t>() },
                        *rc::gen::arbitrary<std::uint16_t>() };
    route.mHome = { { *rc::gen::arbitrary<std::uint32_t>() },
                    *rc::gen::arbitrary<std::uint16_t>() };
    auto const header = ParseGeneve(EncodeHeader(route));
    RC_ASSERT(header.HasValue());
    RC_ASSERT(header->mRoute.has_value());
    RC_ASSERT(header->mRoute->mKind == route.mKind);
    RC_ASSERT(header->mRoute->mHops == route.mHops);
    RC_ASSERT(header->mRoute->mStep == route.mStep);
    RC_ASSERT(header->mRoute->mUpstream == route.mUpstream);
    RC_ASSERT(header->mRoute->mHome == route.mHome);
  });
}

TEST(Geneve, each_error_is_reported)
{
  auto bytes = EncodeHeader(std::nullopt);
  CHECK(ParseGeneve(bytes).HasValue());
  auto malformed = bytes;
  malformed[0] = std::byte{ 0x40 };
  CHECK(ParseGeneve(malformed).LastReason() == PacketError::OuterVersion);
  malformed = bytes;
  StoreU16(malformed, 2, 0x6558);
  CHECK(ParseGeneve(malformed).LastReason() == PacketError::OuterProtocol);
  malformed = bytes;
  malformed[0] = std::byte{ 1 };
  CHECK(ParseGeneve(malformed).LastReason() == PacketError::OuterTruncated);
  malformed.resize(7);
  CHECK(ParseGeneve(malformed).LastReason() == PacketError::OuterTruncated);
}

TEST(Geneve, an_unknown_option_is_rejected_only_if_critical)
{
  auto bytes = EncodeHeader(std::nullopt);
  bytes[0] = std::byte{ 1 };
  bytes.insert(
    bytes.end(),
    { std::byte{ 1 }, std::byte{ 2 }, std::byte{ 0x03 }, std::byte{ 0 } });
  CHECK(ParseGeneve(bytes).HasValue());
  bytes[10] = std::byte{ 0x83 };
  CHECK(ParseGeneve(bytes).LastReason() == PacketError::OuterCriticalOption);
}

TEST(Geneve, any_bytes_give_a_header_or_an_error)
{
  CheckProperty("any bytes", [] {
    auto bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    if (bytes.size() > 4 && *rc::gen::arbitrary<bool>()) {
      bytes[0] &= 0x07; // A few options, so that they are parsed too.
      bytes[2] = 0x08;
      bytes[3] = 0x00;
    }
    auto const header = ParseGeneve(std::as_bytes(std::span(bytes)));
    bool const valid = header.HasValue()
                         ? header->mBytes <= bytes.size()
                         : header.LastReason() != PacketError::None;
    RC_ASSERT(valid);
  });
}

TEST_GROUP(Checksum){};

TEST(Checksum, an_incremental_update_equals_a_full_sum)
{
  CheckProperty("RFC 1624", [] {
    auto const words = *rc::gen::container<std::vector<std::uint16_t>>(
      6, rc::gen::arbitrary<std::uint16_t>());
    std::array<std::byte, 12> bytes;
    for (std::size_t index = 0; index < 6; ++index) {
      StoreU16(bytes, index * 2, words[index]);
    }
    auto const before = FoldChecksum(SumWords(bytes));
    auto const value = *rc::gen::arbitrary<std::uint16_t>();
    StoreU16(bytes, 4, value);
    auto const updated = UpdateChecksum(before, words[2], value);
    auto const full = FoldChecksum(SumWords(bytes));
    // Zero has two representations in one's complement; both are valid.
    RC_ASSERT(updated == full || (updated ^ full) == 0xFFFF);
  });
}
