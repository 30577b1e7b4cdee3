#include "tarragonsill_lab_run_parts.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include <algorithm>
#include <fstream>
#include <thread>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kListLag{ 2000 };
/// Time for the first leases once every entry VM serves.
constexpr milliseconds kLeaseSettle{ 1500 };

} // namespace

Result<Success>
RunParts::StartParts()
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
    CallUpstreams::Start(mConfiguration, mRecord, mOptions.mSeed);
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
  mLoad = std::make_unique<CallLoad>(load, mRecord);
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
  if (!Operate({ "apply", file })) {
    return Reason{ ReasonCode::Unavailable,
                   "the first configuration was not accepted" };
  }
  for (std::uint64_t count = 0; count < mOptions.mEntries; ++count) {
    if (auto const added = AddEntry(); !added) {
      return added.LastReason();
    }
  }
  return Success{};
}

Fabric::Options
RunParts::FabricOptions() const
{
  Fabric::Options options;
  options.mAddress = mOptions.mNetwork.FabricAddress();
  options.mSeed = mOptions.mSeed;
  options.mLoss = mOptions.mLoss;
  options.mDuplicate = mOptions.mDuplicate;
  options.mReorder = mOptions.mReorder;
  options.mCallers.mFlows = mOptions.mFlows;
  options.mCallers.mSeed = mOptions.mSeed;
  auto const half = std::chrono::duration<double>(mOptions.mSeconds * 0.4);
  options.mCallers.mOpenOver = std::chrono::duration_cast<milliseconds>(half);
  // About ten thousand round trips a second, whatever the number of flows.
  options.mCallers.mDataInterval =
    milliseconds{ std::max<std::uint64_t>(500, mOptions.mFlows / 10) };
  return options;
}

Result<Success>
RunParts::AddEntry()
{
  auto entry = mFleet->Add();
  if (!entry) {
    return entry.LastReason();
  }
  List(*entry.Value(), PlatformVm::State::Live);
  return Success{};
}

void
RunParts::List(EntryProcess const& aEntry, PlatformVm::State aState)
{
  mPlatform->ListVm({ aEntry.mSettings.mEntry,
                      aEntry.mSettings.mZone,
                      aEntry.mSettings.mControl,
                      aState });
}

Result<Success>
RunParts::AwaitReady()
{
  auto const end = Clock::now() + kReadyTimeout;
  for (auto& entry : mFleet->All()) {
    while (!IsServing(entry)) {
      if (Clock::now() > end) {
        return Reason{ ReasonCode::Timeout,
                       "entry VM " + entry.mSettings.mEntry +
                         " does not serve" };
      }
      std::this_thread::sleep_for(kPoll);
    }
    entry.mInFabric = true;
  }
  std::this_thread::sleep_for(kLeaseSettle);
  UpdateTargets();
  return Success{};
}

bool
RunParts::IsServing(EntryProcess const& aEntry)
{
  auto const page = EntryFleet::ReadPage(aEntry);
  return page && page->mStage == "serving";
}

void
RunParts::UpdateTargets()
{
  std::vector<FabricTarget> targets;
  std::vector<Endpoint> calls;
  for (auto const& entry : mFleet->All()) {
    if (!entry.mInFabric) {
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
RunParts::Operate(std::vector<std::string> aArguments)
{
  aArguments.insert(
    aArguments.end(),
    { "--platform", ToText(mOptions.mNetwork.PlatformAddress()) });
  return mFleet->RunCommand(aArguments) == 0;
}

void
RunParts::SetInFabric(std::string const& aName, bool aIn)
{
  std::lock_guard const lock(mMutex);
  auto* const entry = mFleet->Find(aName);
  if (entry != nullptr) {
    entry->mInFabric = aIn;
  }
  UpdateTargets();
}

void
RunParts::SetZoneInFabric(std::string const& aZone, bool aIn)
{
  std::lock_guard const lock(mMutex);
  for (auto& entry : mFleet->All()) {
    if (entry.mSettings.mZone == aZone && entry.mPid > 0) {
      entry.mInFabric = aIn;
    }
  }
  UpdateTargets();
}

} // namespace tarragonsill::Lab
