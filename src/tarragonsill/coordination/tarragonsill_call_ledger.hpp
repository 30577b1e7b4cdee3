#ifndef TARRAGONSILL_CALL_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_CALL_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

/// The record of calls at their home: what makes a call run at most once.
namespace tarragonsill {

enum class CallOutcome : std::uint8_t
{
  Answered,
  NotRun,  ///< Provably never run.
  Unknown, ///< It may have run.
};

/// What may be told of a call whose last try ended like this. A try that was
/// not run says nothing of earlier ones that may have been.
constexpr CallOutcome
OverallOutcome(CallOutcome aOfLastTry, bool aEarlierMayHaveRun)
{
  return aOfLastTry == CallOutcome::NotRun && aEarlierMayHaveRun
           ? CallOutcome::Unknown
           : aOfLastTry;
}

struct CallResult
{
  CallOutcome mOutcome = CallOutcome::Unknown;
  std::string mBody;
  std::string mReason;
  milliseconds mRetryAfter{ 0 };
  std::string mUpstream;
};

/// What the home does with an attempt.
enum class CallVerdict : std::uint8_t
{
  Run,        ///< First sight of the call: run it.
  InProgress, ///< Another attempt is running; wait for its outcome.
  Recorded,   ///< The outcome is known and is given again.
  Tombstone,  ///< A query was told that this call had not been seen.
  Uncertain,  ///< A repeated attempt of which this home may lack the record.
  Full,       ///< The ledger has no room; the call is not run.
};

class CallLedger
{
public:
  struct Options
  {
    /// How long outcomes are kept; longer than any call's deadline.
    milliseconds mRetention{ 60000 };
    std::size_t mMaxCalls = 100000;
    /// Bodies beyond this total are not kept for repetition, in bytes.
    std::size_t mMaxBodyBytes = 16 * 1024 * 1024;
  };

  explicit CallLedger(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Decides on an attempt. `aHeldFor` says for how long this home has held
  /// the call's range without a break.
  CallVerdict Begin(TimePoint aNow,
                    std::string const& aCallId,
                    std::uint32_t aAttempt,
                    Duration aHeldFor);
  /// Records the outcome of a call that `Begin` let run. A call that was not
  /// run is forgotten, so that it may be tried again.
  void Finish(std::string const& aCallId, CallResult const& aResult);
  /// The recorded outcome; empty while the call is in progress or not known.
  std::optional<CallResult> Outcome(std::string const& aCallId) const;

  /// Says whether an attempt of the call is in progress here.
  bool IsRunning(std::string const& aCallId) const;

  enum class QueryVerdict : std::uint8_t
  {
    NotSeen, ///< Not seen, and barred from now on.
    Seen,
    Uncertain,
  };
  /// Answers another home that wants to run a repeated attempt.
  QueryVerdict Query(TimePoint aNow,
                     std::string const& aCallId,
                     Duration aHeldFor);

  /// Forgets calls beyond the retention.
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
