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

/// Decides when a VM's watches of the store are tried again after failed calls.
///
/// What keeps one kind of objects from being answered mostly keeps them all, so
/// one watch, the scout, finds out for the others.
namespace tarragonsill {

class WatchRetry
{
public:
  /// Pauses double from the first to the second of these.
  struct Backoff
  {
    milliseconds mMin;
    milliseconds mMax;
  };
  /// A VM that others rely on. The store's return is noticed within a second,
  /// a part of the two seconds in which registrations come back (platform).
  static constexpr Backoff kUrgent{ milliseconds{ 50 }, milliseconds{ 800 } };
  /// A VM that watches besides others or while they know what is new.
  static constexpr Backoff kRelaxed{ milliseconds{ 400 },
                                     milliseconds{ 2000 } };
  /// A watch that waits for the scout tries for itself after this time.
  static constexpr milliseconds kFollowerDelay{ 4000 };

  explicit WatchRetry(std::uint64_t aSeed, Mechanisms aMechanisms = {})
    : mRandom(aSeed)
    , mUsesLeadWatch(aMechanisms.Uses(Mechanism::WatchScout))
  {
  }

  /// A call was answered; watches that wait for the scout go on.
  void RecordAnswer(TimePoint aNow, ObjectKind aKind);
  /// A call failed.
  void RecordFailure(TimePoint aNow, ObjectKind aKind, Backoff const& aBackoff);
  /// The watches to try now; each is named once.
  std::vector<ObjectKind> Due(TimePoint aNow);
  /// The watches begin or end.
  void Reset();

private:
  struct RetryState
  {
    int mFailures = 0;
    std::optional<TimePoint> mRetryAt; ///< Set while it is to be tried again.
  };

  RetryState& StateOf(ObjectKind aKind)
  {
    return mStates[static_cast<std::size_t>(aKind)];
  }

  std::array<RetryState, kObjectKinds.size()> mStates;
  /// The first watch that failed, until it is answered.
  std::optional<ObjectKind> mLeadWatch;
  std::mt19937_64 mRandom;
  bool mUsesLeadWatch;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_WATCH_RETRY_HPP_INCLUDED
