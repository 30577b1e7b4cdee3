#ifndef TARRAGONSILL_WATCH_RETRY_HPP_INCLUDED
#define TARRAGONSILL_WATCH_RETRY_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

/// Decides when a VM retries its watches of the store after failed calls.
///
/// A fault that makes the watch of one kind of objects fail mostly affects all
/// kinds. So only one watch, the lead watch, retries often, and the others
/// follow once it is answered.
namespace tarragonsill {

class WatchRetry
{
public:
  /// Delays double from `mMin` up to `mMax`.
  struct Backoff
  {
    milliseconds mMin;
    milliseconds mMax;
  };
  /// For a VM that others rely on. It detects the store's recovery within a
  /// second, well within the two seconds in which upstreams register again
  /// (platform documentation).
  static constexpr Backoff kUrgent{ milliseconds{ 50 }, milliseconds{ 800 } };
  /// For a VM that watches in addition to others or has peers with fresh
  /// watches.
  static constexpr Backoff kRelaxed{ milliseconds{ 400 },
                                     milliseconds{ 2000 } };
  /// A watch that waits for the lead watch retries by itself after this time.
  static constexpr milliseconds kFollowerDelay{ 4000 };

  explicit WatchRetry(std::uint64_t aSeed, Mechanisms aMechanisms = {})
    : mRandom(aSeed)
    , mUsesLeadWatch(aMechanisms.Uses(Mechanism::WatchScout))
  {
  }

  /// Records an answered call. An answer to the lead watch lets the others
  /// retry at once.
  void RecordAnswer(TimePoint aNow, ObjectKind aKind);
  /// Records a failed call and schedules its retry.
  void RecordFailure(TimePoint aNow, ObjectKind aKind, Backoff const& aBackoff);
  /// Returns the watches to retry now, and removes them from the schedule.
  std::vector<ObjectKind> Due(TimePoint aNow);
  /// Clears all failures and retries; must be called when watches start or end.
  void Reset();

private:
  struct RetryState
  {
    int mFailures = 0;
    std::optional<TimePoint> mRetryAt; ///< Set while a retry is scheduled.
  };

  RetryState& StateOf(ObjectKind aKind)
  {
    return mStates[static_cast<std::size_t>(aKind)];
  }

  std::array<RetryState, kObjectKinds.size()> mStates;
  /// The lead watch: the first one that failed, until it is answered.
  std::optional<ObjectKind> mLeadWatch;
  std::mt19937_64 mRandom;
  bool mUsesLeadWatch;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_WATCH_RETRY_HPP_INCLUDED
