#ifndef TARRAGONSILL_GENEVE_HPP_INCLUDED
#define TARRAGONSILL_GENEVE_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// Geneve encapsulation (RFC 8926) with the option that entry VMs exchange.
namespace tarragonsill {

/// What an entry VM requests from the peer to which it forwards a packet.
enum class RouteKind : std::uint8_t
{
  /// Select the upstream of the flow, as its home.
  ToHome = 1,
  /// Deliver the packet if the flow is recorded here, else forward it along the
  /// home chain.
  Lookup = 2,
  /// Admit the new flow to the named upstream, else try the next candidate.
  Admit = 3,
  /// Record the upstream of an admitted exception or of a lookup, then forward
  /// or deliver the packet.
  Record = 4,
  /// Refresh the flow at the owner of its upstream and deliver the packet.
  Refresh = 5,
  /// Record an answer at the owner of its upstream and deliver it to the
  /// caller.
  Answer = 6,
  /// Record the exception of a flow. The packet is a copy of a delivered one
  /// and goes no further; `mHome` names the service.
  ExceptionCopy = 7,
  /// Send the home the upstream of the flow if it is recorded here, else drop
  /// the packet; `mUpstream` names the service.
  UpstreamQuery = 8,
};

/// The contents of the route option.
struct Route
{
  RouteKind mKind = RouteKind::ToHome;
  std::uint8_t mHops = 0; ///< How many entry VMs forwarded the packet.
  /// Index in the home chain or candidate list, with flags of the packet
  /// engine.
  std::uint8_t mStep = 0;
  Endpoint mUpstream; ///< Zero if the kind does not use it.
  Endpoint mHome;     ///< Data endpoint of the home that decides.
};

/// A decoded Geneve header.
struct GeneveHeader
{
  std::size_t mBytes = 0; ///< Header length including options.
  std::optional<Route> mRoute;
};

/// Maximum length of a header that `WriteGeneve` writes.
constexpr std::size_t kMaxGeneveBytes = 8 + 4 + 16;

/// Parses the header of a Geneve datagram.
Result<GeneveHeader, PacketError> ParseGeneve(
  std::span<std::byte const> aDatagram);

/// Writes a header to the start of `aOut` and returns its length in bytes.
std::size_t WriteGeneve(std::span<std::byte, kMaxGeneveBytes> aOut,
                        std::optional<Route> const& aRoute);

} // namespace tarragonsill

#endif // TARRAGONSILL_GENEVE_HPP_INCLUDED
