#ifndef TARRAGONSILL_GENEVE_HPP_INCLUDED
#define TARRAGONSILL_GENEVE_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_packet.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// Geneve encapsulation (RFC 8926) and the one option that entry VMs exchange.
namespace tarragonsill {

/// What an entry VM asks of the peer to which it passes a packet.
enum class RouteKind : std::uint8_t
{
  ToHome = 1,  ///< Decide where this packet of a flow goes.
  Lookup = 2,  ///< Deliver if the flow is known here, else pass it on.
  Admit = 3,   ///< Admit a new flow to the named upstream, else pass it on.
  Record = 4,  ///< Record an admitted exception, then pass it on or deliver.
  Refresh = 5, ///< Note a packet of a known flow at its owner and deliver.
  Answer = 6,  ///< Note an answer at its owner and deliver it to the caller.
  ExceptionCopy =
    7, ///< Record an exception from a delivered packet; go no further.
  UpstreamQuery =
    8, ///< Tell the home where the flow is if that is known here; else
       ///< go no further. The upstream's field names the service.
};

/// The contents of the route option.
struct Route
{
  RouteKind mKind = RouteKind::ToHome;
  std::uint8_t mHops = 0; ///< Entry VMs passed so far.
  std::uint8_t mStep = 0; ///< Position in the chain or candidate list.
  Endpoint mUpstream;     ///< Zero where the kind has no use for it.
  Endpoint mHome;         ///< The data endpoint of the deciding home.
};

/// The Geneve header with an optional route.
struct GeneveHeader
{
  std::size_t mBytes = 0; ///< Header length with options, in bytes.
  std::optional<Route> mRoute;
};

/// The longest header that this module writes, in bytes.
constexpr std::size_t kMaxGeneveBytes = 8 + 4 + 16;

/// Reads the header of a Geneve datagram.
Result<GeneveHeader, PacketError> ParseGeneve(
  std::span<std::byte const> aDatagram);

/// Writes a header to the front of `aOut`; returns its length in bytes.
std::size_t WriteGeneve(std::span<std::byte, kMaxGeneveBytes> aOut,
                        std::optional<Route> const& aRoute);

} // namespace tarragonsill

#endif // TARRAGONSILL_GENEVE_HPP_INCLUDED
