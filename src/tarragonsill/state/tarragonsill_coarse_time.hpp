#ifndef TARRAGONSILL_COARSE_TIME_HPP_INCLUDED
#define TARRAGONSILL_COARSE_TIME_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>

/// A 16-bit point in time for per-flow entries, which wraps after 4.5 hours.
namespace tarragonsill {

/// A point in time in units of 250 ms. Longer ages than 4.5 hours wrap around.
class CoarseTime
{
public:
  static constexpr milliseconds kUnit{ 250 };
  /// The maximum that an age may be compared against, well before the wrap.
  static constexpr seconds kMaxAge{ 3600 };

  CoarseTime() = default;
  explicit CoarseTime(TimePoint aTime)
    : mUnits(static_cast<std::uint16_t>(aTime.time_since_epoch() / kUnit))
  {
  }

  /// The time from this point to `aNow`, to the precision of `kUnit`.
  Duration AgeAt(TimePoint aNow) const
  {
    auto const now = CoarseTime(aNow).mUnits;
    return static_cast<std::uint16_t>(now - mUnits) * kUnit;
  }

private:
  std::uint16_t mUnits = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COARSE_TIME_HPP_INCLUDED
