#ifndef TARRAGONSILL_LAB_RUN_ENVIRONMENT_HPP_INCLUDED
#define TARRAGONSILL_LAB_RUN_ENVIRONMENT_HPP_INCLUDED

#include "tarragonsill_lab_calls.hpp"
#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_fabric.hpp"
#include "tarragonsill_lab_monitor.hpp"
#include "tarragonsill_lab_platform.hpp"
#include "tarragonsill_lab_run.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

/// The stand-ins and the entry VMs of a run.
namespace tarragonsill::Lab {

/// How long a run waits until an entry VM serves.
constexpr seconds kReadyTimeout{ 30 };
/// How often a run polls for a state that it waits for.
constexpr milliseconds kPollInterval{ 50 };

struct RunEnvironment
{
  RunEnvironment(RunOptions aOptions, Configuration aConfiguration)
    : mOptions(std::move(aOptions))
    , mConfiguration(std::move(aConfiguration))
  {
  }

  Result<Success> Start();
  Fabric::Options FabricOptions() const;
  Result<Success> AddEntry();
  void ListVm(EntryProcess const& aEntry, PlatformVm::State aState);
  Result<Success> WaitUntilServing();
  static bool IsServing(EntryProcess const& aEntry);
  /// Passes the current entry VMs to the fabric and the callers. `mMutex` must
  /// be locked, except before the run has started.
  void UpdateTargets();
  /// Runs an operator's command. Returns whether it was accepted.
  bool RunOperatorCommand(std::vector<std::string> aArguments);
  void SetFabricTarget(std::string const& aName, bool aIsTarget);
  void SetZoneFabricTargets(std::string const& aZone, bool aIsTarget);

  RunOptions mOptions;
  Configuration mConfiguration;
  CallExecutions mExecutions;
  std::unique_ptr<Platform> mPlatform;
  std::unique_ptr<Fabric> mFabric;
  std::unique_ptr<CallUpstreams> mCallUpstreams;
  std::unique_ptr<EntryFleet> mFleet;
  std::unique_ptr<CallLoad> mLoad;
  std::unique_ptr<Monitor> mMonitor;
  std::mutex mMutex; ///< Guards the fleet's processes.
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_RUN_ENVIRONMENT_HPP_INCLUDED
