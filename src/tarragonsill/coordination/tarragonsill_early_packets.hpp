#ifndef TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
#define TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

/// Keeps the packets that reach a VM before it knows where they belong.
///
/// Routers may use a VM from the first moment of its start when few others are
/// left. A packet that is dropped comes back after its caller's patience only,
/// which is longer than the VM needs to learn what it lacks.
namespace tarragonsill {

class EarlyPackets
{
public:
  using Bytes = std::vector<std::byte>;

  /// Callers send copies after 200 ms (platform). A packet that waited longer
  /// might open its flow a second time, at another upstream.
  static constexpr milliseconds kKeepFor{ 150 };
  /// Bounds the memory to the size of some hundred full packets.
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  /// Keeps a copy; false if there is no room.
  bool Keep(TimePoint aNow, std::span<std::byte const> aBytes);
  /// Hands over what waited too long, in the order of arrival.
  std::vector<Bytes> TakeExpired(TimePoint aNow);
  /// Hands over the rest.
  std::vector<Bytes> TakeAll();
  bool IsEmpty() const { return mPackets.empty(); }

private:
  struct Packet
  {
    TimePoint mArrived{};
    Bytes mBytes;
  };

  Bytes TakeFirst();

  std::deque<Packet> mPackets; ///< The oldest first.
  std::size_t mBytes = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EARLY_PACKETS_HPP_INCLUDED
