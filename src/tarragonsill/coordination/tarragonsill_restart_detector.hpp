#ifndef TARRAGONSILL_RESTART_DETECTOR_HPP_INCLUDED
#define TARRAGONSILL_RESTART_DETECTOR_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <optional>

/// Detects that another process may run under an upstream's name.
///
/// A new process is cold, and cannot tell so in its registration while the
/// store does not answer. An upstream that accepted no connection and then runs
/// again may be such a process, until something shows that it is the same one.
namespace tarragonsill {

class RestartDetector
{
public:
  /// Records that the upstream accepted no connection. A new process stays cold
  /// for `aColdTime` after its start.
  void RecordLost(TimePoint aNow, milliseconds aColdTime, bool aIsRefused);
  /// Records that the upstream accepted a connection or answered.
  void RecordRunning(TimePoint aNow);
  /// Records an answer to data of a flow. A new process has no flows of the
  /// earlier one.
  void RecordFlowAnswer(TimePoint aTrackedSince, TimePoint aDataSent);
  /// Records that all changes of the store up to a time are known, and the
  /// position of the newest registration among them.
  void RecordCurrentState(TimePoint aAsOf, StorePosition aNewest);
  /// Records the registration of the process that ran before. If it was written
  /// after the upstream was lost, that process still runs.
  void RecordRegistration(StorePosition aPosition);

  /// Whether registrations are to be compared with the current state.
  bool NeedsCurrentState() const
  {
    return mLostAt != TimePoint{} && !mKnownTo.has_value();
  }
  /// Until when the upstream may be cold; the distant future until it runs
  /// again.
  TimePoint ColdUntil() const;
  /// Whether it may be cold and refused a connection, which shows that no
  /// process listened.
  bool IsShown(TimePoint aNow) const
  {
    return mIsRefused && aNow < ColdUntil();
  }
  bool IsRunning() const { return mRunningAt != TimePoint{}; }
  milliseconds ColdTime() const { return mColdTime; }

private:
  TimePoint mFirstLostAt{}; ///< Since it may be cold.
  TimePoint mLostAt{};      ///< The last time.
  TimePoint mRunningAt{};   ///< When it was first seen to run after that.
  milliseconds mColdTime{ 0 };
  bool mIsRefused = false;
  std::optional<StorePosition> mKnownTo;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_RESTART_DETECTOR_HPP_INCLUDED
