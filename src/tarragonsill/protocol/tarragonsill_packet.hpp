#ifndef TARRAGONSILL_PACKET_HPP_INCLUDED
#define TARRAGONSILL_PACKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_tcp_flags.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

/// Parsing and rewriting of inner IPv4 packets (RFC 791, RFC 9293, RFC 768).
namespace tarragonsill {

/// Why a packet is not carried; each fault has a counter of its own.
enum class PacketError : std::uint8_t
{
  None,
  OuterTruncated,      ///< Shorter than its Geneve header says.
  OuterVersion,        ///< A Geneve version other than 0.
  OuterProtocol,       ///< The Geneve payload is not IPv4.
  OuterCriticalOption, ///< An unknown critical Geneve option (RFC 8926, 3.5.1).
  Truncated,           ///< Shorter than its IPv4 or transport header says.
  Version,             ///< Not IP version 4.
  IpOptions,           ///< An IPv4 header with options.
  Fragment,            ///< A fragment of a datagram.
  Protocol,            ///< Neither TCP nor UDP.
};

/// A parsed inner packet that refers to the bytes of its datagram.
class PacketView
{
public:
  /// Checks the headers of an inner packet; the bytes must outlive the view.
  static Result<PacketView, PacketError> Parse(std::span<std::byte> aBytes);

  Endpoint Source() const { return mSource; }
  Endpoint Destination() const { return mDestination; }
  TransportProtocol Protocol() const { return mProtocol; }
  std::span<std::byte> Bytes() const { return mBytes; }
  /// The TCP flags; 0 for UDP.
  std::uint8_t Flags() const { return mFlags; }

  /// Says whether the packet asks for a new TCP connection.
  bool OpensFlow() const
  {
    return (mFlags & (TcpFlags::kSyn | TcpFlags::kAck)) == TcpFlags::kSyn;
  }
  /// Says whether the packet ends its TCP connection or a half of it.
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
