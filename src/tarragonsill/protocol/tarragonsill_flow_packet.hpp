#ifndef TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED
#define TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// Packets of flows whose header carries a cookie, which both ends echo.
namespace tarragonsill {

/// The decoded header of a packet.
struct FlowPacket
{
  Endpoint mSource;
  Endpoint mDestination;
  bool mOpens = false;        ///< SYN: opens a flow.
  bool mAcknowledges = false; ///< ACK: `mAcknowledged` is valid.
  bool mCloses = false;       ///< FIN: the sender has no more data.
  bool mResets = false;       ///< RST: aborts the flow.
  /// The cookie that the sender received last; 0 on an opening packet.
  std::uint32_t mCookie = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  /// How often the opening packet was sent before; 0 on all other packets.
  std::uint32_t mOpeningRetransmissions = 0;
  std::uint16_t mDataBytes = 0;
};

/// A format of such packets: decodes a header, replaces the cookie in place and
/// writes a reset to a caller.
template<typename T>
concept FlowPacketFormat = requires(std::span<std::byte const> aBytes,
                                    std::span<std::byte> aTarget,
                                    Endpoint aEndpoint,
                                    std::uint32_t aNumber)
{
  {
    T::Read(aBytes)
    } -> std::same_as<std::optional<FlowPacket>>;
  T::WriteCookie(aTarget, aNumber);
  T::WriteReset(aTarget, aEndpoint, aEndpoint, aNumber);
  {
    T::kHeaderBytes
    } -> std::convertible_to<std::size_t>;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED
