#ifndef TARRAGONSILL_COARSE_TIME_HPP_INCLUDED
#define TARRAGONSILL_COARSE_TIME_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>

/// A 16-bit time for per-flow entries. Ages are exact for up to 4.5 hours.
namespace tarragonsill {

class CoarseTime
{
public:
  static constexpr milliseconds kUnit{ 250 };
  /// The longest age that callers may compare against.
  static constexpr seconds kMaxAge{ 3600 };

  CoarseTime() = default;
  explicit CoarseTime(TimePoint aTime)
    : mUnits(static_cast<std::uint16_t>(aTime.time_since_epoch() / kUnit))
  {
  }

  /// The time from this point to `aNow`, rounded to the unit.
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
