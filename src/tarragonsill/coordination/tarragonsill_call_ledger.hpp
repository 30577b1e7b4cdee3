#ifndef TARRAGONSILL_CALL_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_CALL_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

/// The record of calls at their home, by which a call runs at most once.
namespace tarragonsill {

enum class CallOutcome : std::uint8_t
{
  Answered,
  NotRun,  ///< The call has certainly not run.
  Unknown, ///< The call may have run.
};

/// Returns the outcome to report for a call whose last attempt ended as given.
/// If that attempt was not run, an earlier one may still have run.
constexpr CallOutcome
OverallOutcome(CallOutcome aLastAttempt, bool aEarlierMayHaveRun)
{
  return aLastAttempt == CallOutcome::NotRun && aEarlierMayHaveRun
           ? CallOutcome::Unknown
           : aLastAttempt;
}

struct CallResult
{
  CallOutcome mOutcome = CallOutcome::Unknown;
  std::string mBody;
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
  std::string mUpstream;
};

/// What the home decides on an attempt of a call.
enum class CallVerdict : std::uint8_t
{
  Run,        ///< The call is new; run it.
  InProgress, ///< Another attempt is running; wait for its outcome.
  Recorded,   ///< The outcome is recorded and is returned again.
  Tombstone,  ///< A query was answered "not seen"; the call must not run.
  Uncertain,  ///< A repeated attempt; the record may be missing here.
  Full,       ///< The ledger is full; the call is not run.
};

class CallLedger
{
public:
  struct Options
  {
    /// How long outcomes are kept; exceeds the deadline of any call.
    milliseconds mRetention{ 60000 };
    std::size_t mMaxCalls = 100000;
    /// Max total size of the recorded bodies. A call whose body would exceed it
    /// is recorded as `Unknown`, without the body.
    std::size_t mMaxBodyBytes = 16 * 1024 * 1024;
  };

  explicit CallLedger(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Decides on an attempt. `aRangeHeldFor` is the time for which this home has
  /// held the call's range without interruption.
  CallVerdict Begin(TimePoint aNow,
                    std::string const& aCallId,
                    std::uint32_t aAttempt,
                    Duration aRangeHeldFor);
  /// Records the outcome of a call that `Begin` allowed to run. A call that was
  /// not run is removed, so that it may be retried.
  void Finish(std::string const& aCallId, CallResult const& aResult);
  /// The recorded outcome; empty if the call is in progress or not recorded.
  std::optional<CallResult> Outcome(std::string const& aCallId) const;

  /// Whether an attempt of the call is in progress here.
  bool IsRunning(std::string const& aCallId) const;

  enum class QueryVerdict : std::uint8_t
  {
    NotSeen, ///< Not seen; the query is recorded, which prevents a later run.
    Seen,
    Uncertain,
  };
  /// Handles a query of another home that is about to run a repeated attempt.
  QueryVerdict Query(TimePoint aNow,
                     std::string const& aCallId,
                     Duration aRangeHeldFor);

  /// Removes calls whose retention has expired.
  void Sweep(TimePoint aNow);
  std::size_t Size() const { return mCalls.size(); }

private:
  enum class State : std::uint8_t
  {
    Running,
    Finished,
    Tombstone,
  };
  struct Entry
  {
    State mState = State::Running;
    CallResult mResult;
  };
  struct Expiry
  {
    TimePoint mAt{};
    std::string mCallId;
  };

  Entry& Add(TimePoint aNow, std::string const& aCallId, State aState);

  Options mOptions;
  std::unordered_map<std::string, Entry> mCalls;
  std::deque<Expiry> mExpiries;
  std::size_t mBodyBytes = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_LEDGER_HPP_INCLUDED
