#ifndef TARRAGONSILL_LAB_CALLS_HPP_INCLUDED
#define TARRAGONSILL_LAB_CALLS_HPP_INCLUDED

#include "tarragonsill_lab_flow_upstream.hpp"
#include "tarragonsill_lab_report.hpp"

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins for calls: upstreams that run them, and callers that submit them
/// through random entry VMs.
namespace tarragonsill::Lab {

/// Counts how often upstreams ran each call.
class CallExecutions
{
public:
  void Record(std::string const& aCallId)
  {
    std::lock_guard const lock(mMutex);
    ++mCounts[aCallId];
  }
  std::uint32_t Count(std::string const& aCallId)
  {
    std::lock_guard const lock(mMutex);
    auto const found = mCounts.find(aCallId);
    return found == mCounts.end() ? 0 : found->second;
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::uint32_t> mCounts;
};

/// The upstreams that run calls, each with its own gRPC server.
class CallUpstreams
{
public:
  /// Starts a server for each upstream. Fails with `SystemFailure`.
  static Result<std::unique_ptr<CallUpstreams>> Start(
    Configuration const& aConfiguration,
    CallExecutions& aExecutions,
    std::uint64_t aSeed);
  ~CallUpstreams();

  void DrainUpstream(std::string const& aName, TimePoint aAcceptedAt);
  void MakeUpstreamCold(std::string const& aName);
  void EvacuateZone(std::string const& aZone, TimePoint aAcceptedAt);
  void RestoreZone(std::string const& aZone);
  void AddCountsTo(CallReport& aReport) const;

private:
  class Server;
  CallUpstreams() = default;

  std::vector<std::unique_ptr<Server>> mServers;
};

/// The callers. They submit calls at a steady rate; some calls are sent twice,
/// and some are not idempotent.
class CallLoad
{
public:
  struct Options
  {
    std::vector<std::string> mServices;
    double mRate = 100; ///< Calls per second, without repeated attempts.
    std::uint64_t mSeed = 1;
  };

  CallLoad(Options aOptions, CallExecutions& aExecutions);
  ~CallLoad();

  void Start();
  void SetTargets(std::vector<Endpoint> aTargets);
  /// Stops sending and waits for the calls in progress.
  void Stop();
  /// Compares the outcomes that callers received with what upstreams ran.
  CallReport Report();

private:
  struct Call
  {
    std::string mId;
    bool mIdempotent = false;
    bool mReportedNotRun = false;
    bool mAnswered = false;
    bool mUnknown = false;
    bool mHasWrongAnswer = false;
    Duration mElapsed{};
  };

  void Run(unsigned aWorker);
  void RunCall(Call& aCall, std::mt19937_64& aRandom);
  /// Submits one attempt. Returns the outcome, or nothing if no answer came.
  std::optional<int> Attempt(Call& aCall,
                             std::string const& aService,
                             std::uint32_t aAttempt,
                             std::mt19937_64& aRandom);

  struct Channels;

  Options mOptions;
  CallExecutions& mExecutions;
  std::unique_ptr<Channels> mChannels;
  std::mutex mMutex;
  std::vector<Endpoint> mTargets;
  std::vector<Call> mCalls;
  std::atomic<bool> mStop{ false };
  std::atomic<std::uint64_t> mNextNumber{ 0 };
  TimePoint mStarted{};
  std::vector<std::thread> mWorkers;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_CALLS_HPP_INCLUDED
