#include "tarragonsill_lab_run_environment.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include <algorithm>
#include <fstream>
#include <thread>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kListLag{ 2000 };
/// Entry VMs get their first leases within this time after all of them serve.
constexpr milliseconds kLeaseSettleTime{ 1500 };

} // namespace

Result<Success>
RunEnvironment::Start()
{
  auto platform =
    Platform::Start(mOptions.mNetwork.PlatformAddress(), kListLag);
  if (!platform) {
    return platform.LastReason();
  }
  mPlatform = platform.Take();
  auto fabric = Fabric::Create(FabricOptions(), mConfiguration);
  if (!fabric) {
    return fabric.LastReason();
  }
  mFabric = fabric.Take();
  auto upstreams =
    CallUpstreams::Start(mConfiguration, mExecutions, mOptions.mSeed);
  if (!upstreams) {
    return upstreams.LastReason();
  }
  mCallUpstreams = upstreams.Take();
  CallLoad::Options load;
  load.mRate = mOptions.mRate;
  load.mSeed = mOptions.mSeed;
  for (auto const& service : mConfiguration.mServices) {
    load.mServices.push_back(service.mName);
  }
  mLoad = std::make_unique<CallLoad>(load, mExecutions);
  EntryFleet::Options fleet;
  fleet.mProgram = mOptions.mProgram;
  fleet.mDirectory = mOptions.mDirectory;
  fleet.mDeployment = mConfiguration.mDeployment;
  for (auto const& zone : mConfiguration.mZones) {
    fleet.mZones.push_back(zone.mName);
  }
  fleet.mNetwork = mOptions.mNetwork;
  fleet.mLogLevel = mOptions.mLogLevel;
  mFleet = std::make_unique<EntryFleet>(fleet);
  mMonitor = std::make_unique<Monitor>(*mFleet, mMutex);
  auto const file = mOptions.mDirectory + "/configuration.yaml";
  std::ofstream(file) << WriteConfiguration(mConfiguration, false);
  if (!RunOperatorCommand({ "apply", file })) {
    return Reason{ ReasonCode::Unavailable,
                   "the platform did not accept the first configuration" };
  }
  for (std::uint64_t count = 0; count < mOptions.mEntries; ++count) {
    if (auto const added = AddEntry(); !added) {
      return added.LastReason();
    }
  }
  return Success{};
}

Fabric::Options
RunEnvironment::FabricOptions() const
{
  Fabric::Options options;
  options.mAddress = mOptions.mNetwork.FabricAddress();
  options.mSeed = mOptions.mSeed;
  options.mLoss = mOptions.mLoss;
  options.mDuplicate = mOptions.mDuplicate;
  options.mReorder = mOptions.mReorder;
  options.mCallers.mFlows = mOptions.mFlows;
  options.mCallers.mSeed = mOptions.mSeed;
  auto const openTime = std::chrono::duration<double>(mOptions.mSeconds * 0.4);
  options.mCallers.mOpenTime =
    std::chrono::duration_cast<milliseconds>(openTime);
  // From 5,000 flows on, this gives about 10,000 round trips a second.
  options.mCallers.mDataInterval =
    milliseconds{ std::max<std::uint64_t>(500, mOptions.mFlows / 10) };
  return options;
}

Result<Success>
RunEnvironment::AddEntry()
{
  auto entry = mFleet->Add();
  if (!entry) {
    return entry.LastReason();
  }
  ListVm(*entry.Value(), PlatformVm::State::Live);
  return Success{};
}

void
RunEnvironment::ListVm(EntryProcess const& aEntry, PlatformVm::State aState)
{
  mPlatform->ListVm({ aEntry.mSettings.mEntry,
                      aEntry.mSettings.mZone,
                      aEntry.mSettings.mControl,
                      aState });
}

Result<Success>
RunEnvironment::WaitUntilServing()
{
  auto const end = Clock::now() + kReadyTimeout;
  for (auto& entry : mFleet->Processes()) {
    while (!IsServing(entry)) {
      if (Clock::now() > end) {
        return Reason{ ReasonCode::Timeout,
                       "entry VM " + entry.mSettings.mEntry +
                         " did not start to serve in time" };
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    entry.mIsFabricTarget = true;
  }
  std::this_thread::sleep_for(kLeaseSettleTime);
  UpdateTargets();
  return Success{};
}

bool
RunEnvironment::IsServing(EntryProcess const& aEntry)
{
  auto const status = EntryFleet::ReadStatus(aEntry);
  return status && status->mStage == "serving";
}

void
RunEnvironment::UpdateTargets()
{
  std::vector<FabricTarget> targets;
  std::vector<Endpoint> calls;
  for (auto const& entry : mFleet->Processes()) {
    if (!entry.mIsFabricTarget) {
      continue;
    }
    targets.push_back(
      { entry.mSettings.mEntry, entry.mSettings.mZone, entry.mSettings.mData });
    calls.push_back(entry.mSettings.mCalls);
  }
  mFabric->SetTargets(std::move(targets));
  mLoad->SetTargets(std::move(calls));
}

bool
RunEnvironment::RunOperatorCommand(std::vector<std::string> aArguments)
{
  aArguments.insert(
    aArguments.end(),
    { "--platform", ToText(mOptions.mNetwork.PlatformAddress()) });
  return mFleet->RunCommand(aArguments) == 0;
}

void
RunEnvironment::SetFabricTarget(std::string const& aName, bool aIsTarget)
{
  std::lock_guard const lock(mMutex);
  auto* const entry = mFleet->Find(aName);
  if (entry != nullptr) {
    entry->mIsFabricTarget = aIsTarget;
  }
  UpdateTargets();
}

void
RunEnvironment::SetZoneFabricTargets(std::string const& aZone, bool aIsTarget)
{
  std::lock_guard const lock(mMutex);
  for (auto& entry : mFleet->Processes()) {
    if (entry.mSettings.mZone == aZone && entry.mPid > 0) {
      entry.mIsFabricTarget = aIsTarget;
    }
  }
  UpdateTargets();
}

} // namespace tarragonsill::Lab
