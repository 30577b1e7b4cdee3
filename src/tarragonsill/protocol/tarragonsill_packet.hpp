#ifndef TARRAGONSILL_PACKET_HPP_INCLUDED
#define TARRAGONSILL_PACKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_tcp_flags.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

/// Parses and rewrites inner IPv4 packets (RFC 791, RFC 9293, RFC 768).
namespace tarragonsill {

/// Why a packet is dropped. Each error has its own counter.
enum class PacketError : std::uint8_t
{
  None,
  OuterTruncated,      ///< Shorter than its Geneve header.
  OuterVersion,        ///< A Geneve version other than 0.
  OuterProtocol,       ///< The Geneve payload is not IPv4.
  OuterCriticalOption, ///< An unknown critical Geneve option (RFC 8926, 3.5.1).
  Truncated,           ///< Shorter than its headers or total length.
  Version,             ///< Not IP version 4.
  IpOptions,           ///< The IPv4 header has options.
  Fragment,            ///< A fragment of a datagram.
  Protocol,            ///< Neither TCP nor UDP.
};

/// A parsed inner packet. Refers to the bytes of its datagram.
class PacketView
{
public:
  /// Parses and validates the headers of an inner packet. The bytes must
  /// outlive the view.
  static Result<PacketView, PacketError> Parse(std::span<std::byte> aBytes);

  Endpoint Source() const { return mSource; }
  Endpoint Destination() const { return mDestination; }
  TransportProtocol Protocol() const { return mProtocol; }
  std::span<std::byte> Bytes() const { return mBytes; }
  /// The TCP flags; 0 for UDP.
  std::uint8_t Flags() const { return mFlags; }

  /// Whether the packet opens a TCP connection: SYN without ACK.
  bool OpensFlow() const
  {
    return (mFlags & (TcpFlags::kSyn | TcpFlags::kAck)) == TcpFlags::kSyn;
  }
  /// Whether the packet closes its TCP connection or one direction of it.
  bool EndsFlow() const
  {
    return (mFlags & (TcpFlags::kFin | TcpFlags::kRst)) != 0;
  }

  /// Replaces the source and updates the checksums incrementally (RFC 1624).
  void RewriteSource(Endpoint aSource);
  /// Replaces the destination and updates the checksums incrementally.
  void RewriteDestination(Endpoint aDestination);

private:
  PacketView() = default;
  void Rewrite(std::size_t aAddressOffset,
               std::size_t aPortOffset,
               Endpoint aOld,
               Endpoint aNew);

  std::span<std::byte> mBytes;
  Endpoint mSource;
  Endpoint mDestination;
  TransportProtocol mProtocol = TransportProtocol::Tcp;
  std::uint8_t mFlags = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PACKET_HPP_INCLUDED
