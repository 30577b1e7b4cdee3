#include "tarragonsill/state/tarragonsill_address.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace tarragonsill {

namespace {

std::optional<std::uint32_t>
ParseNumber(std::string_view aText, std::uint32_t aMax)
{
  std::uint32_t value = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [stop, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc{} || stop != end || value > aMax) {
    return std::nullopt;
  }
  return value;
}

Reason
Malformed(std::string_view aText, char const* aExpected)
{
  return { ReasonCode::Malformed,
           "'" + std::string(aText) + "' is not " + aExpected };
}

} // namespace

bool
Prefix::Contains(Ipv4Address aAddress) const
{
  if (mLength == 0) {
    return true;
  }
  std::uint32_t const mask = ~std::uint32_t{ 0 } << (32 - mLength);
  return (aAddress.mValue & mask) == (mAddress.mValue & mask);
}

bool
AnyContains(std::vector<Prefix> const& aPrefixes, Ipv4Address aAddress)
{
  return std::any_of(
    aPrefixes.begin(), aPrefixes.end(), [&](Prefix const& aPrefix) {
      return aPrefix.Contains(aAddress);
    });
}

std::string
ToText(Ipv4Address aAddress)
{
  std::uint32_t const v = aAddress.mValue;
  return std::to_string(v >> 24) + "." + std::to_string((v >> 16) & 255) + "." +
         std::to_string((v >> 8) & 255) + "." + std::to_string(v & 255);
}

std::string
ToText(Endpoint aEndpoint)
{
  return ToText(aEndpoint.mAddress) + ":" + std::to_string(aEndpoint.mPort);
}

Result<Ipv4Address>
ParseAddress(std::string_view aText)
{
  std::uint32_t value = 0;
  std::string_view rest = aText;
  for (int octet = 0; octet < 4; ++octet) {
    auto const dot = octet < 3 ? rest.find('.') : rest.size();
    if (dot == std::string_view::npos) {
      return Malformed(aText, "an IPv4 address");
    }
    auto const number = ParseNumber(rest.substr(0, dot), 255);
    if (!number) {
      return Malformed(aText, "an IPv4 address");
    }
    value = (value << 8) | *number;
    rest = octet < 3 ? rest.substr(dot + 1) : std::string_view{};
  }
  return Ipv4Address{ value };
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  auto const colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Malformed(aText, "ADDRESS:PORT");
  }
  auto const address = ParseAddress(aText.substr(0, colon));
  auto const port = ParseNumber(aText.substr(colon + 1), 65535);
  if (!address || !port) {
    return Malformed(aText, "ADDRESS:PORT");
  }
  return Endpoint{ *address, static_cast<std::uint16_t>(*port) };
}

Result<Prefix>
ParsePrefix(std::string_view aText)
{
  auto const slash = aText.find('/');
  auto const address = ParseAddress(aText.substr(0, slash));
  std::optional<std::uint32_t> length = 32;
  if (slash != std::string_view::npos) {
    length = ParseNumber(aText.substr(slash + 1), 32);
  }
  if (!address || !length) {
    return Malformed(aText, "ADDRESS/LENGTH");
  }
  return Prefix{ *address, static_cast<std::uint8_t>(*length) };
}

} // namespace tarragonsill
