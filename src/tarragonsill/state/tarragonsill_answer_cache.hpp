#ifndef TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED
#define TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_coarse_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// A bounded memory of flows whose answers were seen here.
namespace tarragonsill {

/// Direct-mapped: a newer flow replaces an older one in the same place. An
/// entry is trusted for a short time only, well below the time for which TCP
/// keeps a closed four-tuple from being used again (RFC 9293, TIME-WAIT).
class AnswerCache
{
public:
  static constexpr seconds kTimeToLive{ 5 };

  explicit AnswerCache(std::size_t aPlaces)
    : mPlaces(aPlaces)
  {
  }

  void Learn(TimePoint aNow, std::uint64_t aFlow, Endpoint aUpstream)
  {
    auto& place = PlaceOf(aFlow);
    place.mKey = aFlow;
    place.mAddress = aUpstream.mAddress.mValue;
    place.mPort = aUpstream.mPort;
    place.mSeen = CoarseTime(aNow);
  }

  std::optional<Endpoint> Find(TimePoint aNow, std::uint64_t aFlow)
  {
    auto const& place = PlaceOf(aFlow);
    if (place.mKey != aFlow || place.mSeen.AgeAt(aNow) > kTimeToLive) {
      return std::nullopt;
    }
    return Endpoint{ { place.mAddress }, place.mPort };
  }

  void Forget(std::uint64_t aFlow)
  {
    auto& place = PlaceOf(aFlow);
    if (place.mKey == aFlow) {
      place = Place{};
    }
  }

  std::size_t MemoryBytes() const { return mPlaces.size() * sizeof(Place); }

private:
  struct Place
  {
    std::uint64_t mKey = 0;
    std::uint32_t mAddress = 0;
    std::uint16_t mPort = 0;
    CoarseTime mSeen;
  };

  Place& PlaceOf(std::uint64_t aFlow)
  {
    return mPlaces[aFlow % mPlaces.size()];
  }

  std::vector<Place> mPlaces;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ANSWER_CACHE_HPP_INCLUDED
