#ifndef TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED
#define TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED

#include "tarragonsill_lab_run_environment.hpp"

#include <random>
#include <string>
#include <thread>
#include <vector>

/// Executes the events of a run, each on its own thread.
namespace tarragonsill::Lab {

class EventRunner
{
public:
  explicit EventRunner(RunEnvironment& aEnvironment)
    : mEnvironment(aEnvironment)
    , mRandom(MixHash(aEnvironment.mOptions.mSeed, HashText("events")))
    , mCutZones(aEnvironment.mConfiguration.mZones.size(), false)
  {
  }
  ~EventRunner() { Join(); }

  /// Starts each event at its time. Returns at the end of the run.
  void RunEvents();
  /// Waits until all events have been executed.
  void Join();

private:
  void Log(std::string const& aText) const;
  /// Returns the argument of an event. If it has none, chooses one at random
  /// from the run's seed.
  std::string ResolveArgument(Event const& aEvent);
  void Execute(EventKind aKind, std::string const& aName);
  void KillEntry(std::string const& aName);
  void StopEntry(std::string const& aName);
  void JoinEntry();
  void PauseEntry(std::string const& aName);
  bool RunChangeCommand(std::vector<std::string> aArguments);
  void DrainUpstream(std::string const& aName);
  void EvacuateZone(std::string const& aName);
  void RestoreZone(std::string const& aName);
  void SetZoneCut(std::string const& aZone, bool aIsCut);
  /// Applies a configuration file with its call addresses replaced by those of
  /// this run.
  void ApplyFile(std::string const& aFile);

  RunEnvironment& mEnvironment;
  std::mt19937_64 mRandom;
  std::string mLastZone;
  std::vector<bool> mCutZones;
  std::vector<std::thread> mThreads;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_EVENT_RUNNER_HPP_INCLUDED
