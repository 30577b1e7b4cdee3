#ifndef TARRAGONSILL_ADDRESS_HPP_INCLUDED
#define TARRAGONSILL_ADDRESS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_hash.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Addresses, endpoints, prefixes and flow keys, in host byte order.
namespace tarragonsill {

/// An IPv4 address in host byte order.
struct Ipv4Address
{
  std::uint32_t mValue = 0;
  auto operator<=>(Ipv4Address const&) const = default;
};

/// An address with a transport port.
struct Endpoint
{
  Ipv4Address mAddress;
  std::uint16_t mPort = 0;
  auto operator<=>(Endpoint const&) const = default;
};

/// A CIDR prefix.
struct Prefix
{
  Ipv4Address mAddress;
  std::uint8_t mLength = 32;
  bool Contains(Ipv4Address aAddress) const;
};

/// Whether any of the prefixes contains the address.
bool AnyContains(std::vector<Prefix> const& aPrefixes, Ipv4Address aAddress);

enum class TransportProtocol : std::uint8_t
{
  Tcp = 6,
  Udp = 17,
};

/// The identity of a flow: caller, service address and protocol.
struct FlowKey
{
  Endpoint mCaller;
  Endpoint mService;
  TransportProtocol mProtocol = TransportProtocol::Tcp;
  auto operator<=>(FlowKey const&) const = default;

  /// The 64-bit hash used as key by every table and by rendezvous hashing.
  std::uint64_t Hash() const
  {
    std::uint64_t const caller =
      (std::uint64_t{ mCaller.mAddress.mValue } << 16) | mCaller.mPort;
    std::uint64_t const service =
      (std::uint64_t{ mService.mAddress.mValue } << 16) | mService.mPort;
    return MixHash(MixHash(caller, service),
                   static_cast<std::uint64_t>(mProtocol));
  }
};

std::string ToText(Ipv4Address aAddress);
std::string ToText(Endpoint aEndpoint);

/// Parses `a.b.c.d`; fails with `Malformed`.
Result<Ipv4Address> ParseAddress(std::string_view aText);
/// Parses `a.b.c.d:port`; fails with `Malformed`.
Result<Endpoint> ParseEndpoint(std::string_view aText);
/// Parses `a.b.c.d/length` or a single address; fails with `Malformed`.
Result<Prefix> ParsePrefix(std::string_view aText);

} // namespace tarragonsill

#endif // TARRAGONSILL_ADDRESS_HPP_INCLUDED
