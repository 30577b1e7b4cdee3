#ifndef TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED
#define TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED

#include "tarragonsill_lab_run_environment.hpp"

#include <random>
#include <string>
#include <thread>
#include <vector>

/// Carries out the events of a run, each on a thread of its own.
namespace tarragonsill::Lab {

class EventRunner
{
public:
  explicit EventRunner(RunEnvironment& aEnvironment)
    : mEnvironment(aEnvironment)
    , mRandom(MixHash(aEnvironment.mOptions.mSeed, HashText("events")))
    , mCut(aEnvironment.mConfiguration.mZones.size(), false)
  {
  }
  ~EventRunner() { Join(); }

  /// Starts every event at its time; returns when the run's time is over.
  void RunEvents();
  /// Waits until every event has been carried out.
  void Join();

private:
  void Say(std::string const& aText) const;
  /// Fills in an argument that was left out, by the seed.
  std::string Pick(Event const& aEvent);
  void Carry(EventKind aKind, std::string const& aName);
  void KillEntry(std::string const& aName);
  void StopEntry(std::string const& aName);
  void JoinEntry();
  void PauseEntry(std::string const& aName);
  bool Change(std::vector<std::string> aArguments);
  void DrainUpstream(std::string const& aName);
  void ZoneOut(std::string const& aName);
  void ZoneIn(std::string const& aName);
  void SetCut(std::string const& aZone, bool aCut);
  /// Applies a file, with the call addresses of this run.
  void Apply(std::string const& aFile);

  RunEnvironment& mEnvironment;
  std::mt19937_64 mRandom;
  std::string mLastZone;
  std::vector<bool> mCut;
  std::vector<std::thread> mThreads;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED
