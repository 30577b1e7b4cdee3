#ifndef TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED
#define TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// A packet of a flow whose head carries a cookie that both ends repeat.
namespace tarragonsill {

/// The decoded head of a packet.
struct FlowPacket
{
  Endpoint mSource;
  Endpoint mDestination;
  bool mOpens = false;        ///< Asks for a new flow (SYN).
  bool mAcknowledges = false; ///< `mAcknowledged` counts (ACK).
  bool mCloses = false;       ///< The sender has no more data (FIN).
  bool mResets = false;       ///< Ends the flow at once (RST).
  /// What the other end received last; on an opening packet 0.
  std::uint32_t mCookie = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledged = 0;
  /// How often the opening packet was sent before; 0 on any other packet.
  std::uint32_t mOpeningRetransmissions = 0;
  std::uint16_t mDataBytes = 0;
};

/// A format of such packets: reading a head, replacing its cookie in place, and
/// writing a reset towards a caller.
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
    T::kHeadBytes
    } -> std::convertible_to<std::size_t>;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FLOW_PACKET_HPP_INCLUDED
