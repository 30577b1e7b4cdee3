#ifndef TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
#define TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

/// Buffers packets that arrive before this VM has its first routing view.
///
/// When few other VMs are left, routers may use a VM from the moment it starts.
/// A caller retransmits a dropped packet only after a timeout that is longer
/// than the VM needs to obtain its view.
namespace tarragonsill {

class EarlyPackets
{
public:
  using Bytes = std::vector<std::byte>;

  /// Returns how long a packet that was queued for `aMaxAge` at most may wait;
  /// 0 if it must be dropped. An opening packet must be dropped before the
  /// caller sends the next copy, which might open the flow at another upstream.
  /// Other packets cannot do harm; their callers retransmit them late.
  static Duration MaxWait(FlowPacket const& aPacket, Duration aMaxAge = {});
  /// Limits memory to the size of a few hundred full packets.
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  /// Stores a copy of a packet; returns false if it may not wait or the buffer
  /// is full.
  bool Keep(TimePoint aNow,
            Duration aMaxWait,
            std::span<std::byte const> aBytes);
  /// Removes and returns packets that waited too long, in order of arrival.
  std::vector<Bytes> TakeExpired(TimePoint aNow);
  /// Removes and returns all packets, in order of arrival.
  std::vector<Bytes> TakeAll();
  bool IsEmpty() const { return mPackets.empty(); }

private:
  struct Packet
  {
    TimePoint mExpiresAt{};
    Bytes mBytes;
  };

  std::deque<Packet> mPackets; ///< The oldest first.
  std::size_t mBytes = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
