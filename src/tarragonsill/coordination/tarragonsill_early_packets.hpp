#ifndef TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
#define TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED

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

  /// Callers retransmit after 200 ms (operators' platform). A packet that is
  /// kept longer might open its flow a second time, at another upstream.
  static constexpr milliseconds kMaxWait{ 150 };
  /// Limits memory to the size of a few hundred full packets.
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  /// Stores a copy of a packet; returns false if the buffer is full.
  bool Keep(TimePoint aNow, std::span<std::byte const> aBytes);
  /// Removes and returns packets older than `kMaxWait`, in order of arrival.
  std::vector<Bytes> TakeExpired(TimePoint aNow);
  /// Removes and returns all packets, in order of arrival.
  std::vector<Bytes> TakeAll();
  bool IsEmpty() const { return mPackets.empty(); }

private:
  struct Packet
  {
    TimePoint mArrivedAt{};
    Bytes mBytes;
  };

  Bytes TakeFirst();

  std::deque<Packet> mPackets; ///< The oldest first.
  std::size_t mBytes = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
