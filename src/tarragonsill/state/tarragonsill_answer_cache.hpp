#ifndef TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED
#define TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_coarse_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// A bounded cache of the upstreams that recently answered flows.
namespace tarragonsill {

/// Maps flows to the upstreams that answered them. The cache is direct-mapped:
/// a newer flow replaces an older one in the same slot. The time to live is
/// well below that of the TIME-WAIT state (RFC 9293), which delays the reuse
/// of a closed connection's addresses and ports.
class AnswerCache
{
public:
  static constexpr seconds kTimeToLive{ 5 };

  explicit AnswerCache(std::size_t aSlots)
    : mSlots(aSlots)
  {
  }

  void Learn(TimePoint aNow, std::uint64_t aFlow, Endpoint aUpstream)
  {
    auto& slot = SlotOf(aFlow);
    slot.mKey = aFlow;
    slot.mAddress = aUpstream.mAddress.mValue;
    slot.mPort = aUpstream.mPort;
    slot.mSeen = CoarseTime(aNow);
  }

  std::optional<Endpoint> Find(TimePoint aNow, std::uint64_t aFlow)
  {
    auto const& slot = SlotOf(aFlow);
    if (slot.mKey != aFlow || slot.mSeen.AgeAt(aNow) > kTimeToLive) {
      return std::nullopt;
    }
    return Endpoint{ { slot.mAddress }, slot.mPort };
  }

  void Forget(std::uint64_t aFlow)
  {
    auto& slot = SlotOf(aFlow);
    if (slot.mKey == aFlow) {
      slot = Slot{};
    }
  }

  std::size_t MemoryBytes() const { return mSlots.size() * sizeof(Slot); }

private:
  struct Slot
  {
    std::uint64_t mKey = 0;
    std::uint32_t mAddress = 0;
    std::uint16_t mPort = 0;
    CoarseTime mSeen;
  };

  Slot& SlotOf(std::uint64_t aFlow) { return mSlots[aFlow % mSlots.size()]; }

  std::vector<Slot> mSlots;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED
