#include "tarragonsill_lab_run.hpp"

#include "deployments.hpp"
#include "tarragonsill_lab_calls.hpp"
#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_fabric.hpp"
#include "tarragonsill_lab_monitor.hpp"
#include "tarragonsill_lab_platform.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kCallPort = 9443;
constexpr milliseconds kListLag{ 2000 };
constexpr seconds kReadyMost{ 30 };
/// Time for the first leases once every entry VM serves.
constexpr milliseconds kLeaseSettle{ 1500 };
constexpr milliseconds kPoll{ 50 };
/// The fabric stops spraying to a dead entry VM after its health check.
constexpr milliseconds kFabricHealthLag{ 1000 };
constexpr milliseconds kPause{ 4000 };
constexpr milliseconds kPlatformSlowness{ 400 };
constexpr milliseconds kFinishMost{ 14000 };

/// The parts of a run and the events that act on them.
class Run
{
public:
  Run(RunOptions const& aOptions, Configuration aConfiguration)
    : mOptions(aOptions)
    , mConfiguration(std::move(aConfiguration))
    , mRandom(MixHash(aOptions.mSeed, HashText("events")))
    , mCut(mConfiguration.mZones.size(), false)
  {
  }
  ~Run()
  {
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

  Result<RunReport> CarryOut()
  {
    if (auto const started = StartParts(); !started) {
      return started.LastReason();
    }
    if (auto const ready = AwaitReady(); !ready) {
      return ready.LastReason();
    }
    mFabric->Start();
    mLoad->Start();
    mMonitor->Start();
    RunEvents();
    for (auto& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
    mLoad->Stop();
    mFabric->Finish(kFinishMost);
    RunReport report;
    report.mEntries = mMonitor->Finish();
    report.mFlows = mFabric->Report();
    report.mCalls = mLoad->Report();
    mCallUpstreams->AddTo(report.mCalls);
    return report;
  }

private:
  Result<Done> StartParts()
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
    return Done{};
  }

  Fabric::Options FabricOptions() const
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

  Result<Done> AddEntry()
  {
    auto entry = mFleet->Add();
    if (!entry) {
      return entry.LastReason();
    }
    List(*entry.Value(), PlatformVm::State::Live);
    return Done{};
  }

  void List(EntryProcess const& aEntry, PlatformVm::State aState)
  {
    mPlatform->ListVm({ aEntry.mSettings.mEntry,
                        aEntry.mSettings.mZone,
                        aEntry.mSettings.mControl,
                        aState });
  }

  Result<Done> AwaitReady()
  {
    auto const end = Clock::now() + kReadyMost;
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
    return Done{};
  }

  static bool IsServing(EntryProcess const& aEntry)
  {
    auto const page = EntryFleet::ReadPage(aEntry);
    return page && page->mStage == "serving";
  }

  /// Tells fabric and callers which entry VMs there are. Needs the lock.
  void UpdateTargets()
  {
    std::vector<FabricTarget> targets;
    std::vector<Endpoint> calls;
    for (auto const& entry : mFleet->All()) {
      if (!entry.mInFabric) {
        continue;
      }
      targets.push_back({ entry.mSettings.mEntry,
                          entry.mSettings.mZone,
                          entry.mSettings.mData });
      calls.push_back(entry.mSettings.mCalls);
    }
    mFabric->SetTargets(std::move(targets));
    mLoad->SetTargets(std::move(calls));
  }

  void RunEvents()
  {
    auto events = mOptions.mEvents;
    std::stable_sort(
      events.begin(), events.end(), [](auto& aLeft, auto& aRight) {
        return aLeft.mSecond < aRight.mSecond;
      });
    auto const start = Clock::now();
    auto const at = [&](double aSecond) {
      return start + std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(aSecond));
    };
    for (auto const& event : events) {
      std::this_thread::sleep_until(at(event.mSecond));
      auto const picked = Pick(event);
      Say("event " + std::to_string(event.mSecond) + " s: " +
          std::to_string(static_cast<int>(event.mKind)) + " " + picked);
      mThreads.emplace_back(
        [this, kind = event.mKind, picked] { Carry(kind, picked); });
    }
    std::this_thread::sleep_until(at(mOptions.mSeconds));
  }

  void Say(std::string const& aText) const
  {
    if (mOptions.mVerbose) {
      std::cerr << aText << '\n';
    }
  }

  /// Fills in an argument that was left out, by the seed.
  std::string Pick(Event const& aEvent)
  {
    if (!aEvent.mArgument.empty()) {
      return aEvent.mArgument;
    }
    std::vector<std::string> names;
    switch (aEvent.mKind) {
      case EventKind::KillEntry:
      case EventKind::StopEntry:
      case EventKind::PauseEntry: {
        std::lock_guard const lock(mMutex);
        for (auto const& entry : mFleet->All()) {
          if (entry.mInFabric && !entry.mPaused) {
            names.push_back(entry.mSettings.mEntry);
          }
        }
        break;
      }
      case EventKind::DrainUpstream:
      case EventKind::ColdUpstream:
        for (auto const& service : mConfiguration.mServices) {
          for (auto const& upstream : service.mUpstreams) {
            names.push_back(upstream.mName);
          }
        }
        break;
      case EventKind::HealZone:
      case EventKind::ZoneIn:
        return mLastZone;
      default:
        for (auto const& zone : mConfiguration.mZones) {
          names.push_back(zone.mName);
        }
    }
    auto const picked = names.empty() ? "" : names[mRandom() % names.size()];
    bool const zone =
      aEvent.mKind == EventKind::CutZone || aEvent.mKind == EventKind::ZoneOut;
    if (zone) {
      mLastZone = picked;
    }
    return picked;
  }

  void Carry(EventKind aKind, std::string const& aName)
  {
    switch (aKind) {
      case EventKind::KillEntry:
        KillEntry(aName);
        return;
      case EventKind::StopEntry:
        StopEntry(aName);
        return;
      case EventKind::JoinEntry:
        JoinEntry();
        return;
      case EventKind::PauseEntry:
        PauseEntry(aName);
        return;
      case EventKind::DrainUpstream:
        DrainUpstream(aName);
        return;
      case EventKind::ColdUpstream:
        mFabric->TurnUpstreamCold(aName);
        mCallUpstreams->TurnUpstreamCold(aName);
        return;
      case EventKind::ZoneOut:
        ZoneOut(aName);
        return;
      case EventKind::ZoneIn:
        ZoneIn(aName);
        return;
      case EventKind::CutZone:
        SetCut(aName, true);
        return;
      case EventKind::HealZone:
        SetCut(aName, false);
        return;
      case EventKind::PlatformDown:
        mPlatform->SetDown(true);
        return;
      case EventKind::PlatformUp:
        mPlatform->SetDown(false);
        mPlatform->SetDelay(milliseconds{ 0 });
        return;
      case EventKind::PlatformSlow:
        mPlatform->SetDelay(kPlatformSlowness);
        return;
      case EventKind::LoseAnswer:
        mPlatform->LoseNextWriteAnswer();
        return;
      case EventKind::Apply:
        Apply(aName);
        return;
    }
  }

  void KillEntry(std::string const& aName)
  {
    {
      std::lock_guard const lock(mMutex);
      auto* const entry = mFleet->Find(aName);
      if (entry == nullptr) {
        return;
      }
      mFleet->Kill(*entry);
      List(*entry, PlatformVm::State::Removed);
    }
    std::this_thread::sleep_for(kFabricHealthLag);
    SetInFabric(aName, false);
  }

  void SetInFabric(std::string const& aName, bool aIn)
  {
    std::lock_guard const lock(mMutex);
    auto* const entry = mFleet->Find(aName);
    if (entry != nullptr) {
      entry->mInFabric = aIn;
    }
    UpdateTargets();
  }

  void StopEntry(std::string const& aName)
  {
    SetInFabric(aName, false);
    EntryProcess* entry = nullptr;
    {
      std::lock_guard const lock(mMutex);
      entry = mFleet->Find(aName);
    }
    if (entry != nullptr) {
      List(*entry, PlatformVm::State::Leaving);
      mFleet->Stop(*entry);
      List(*entry, PlatformVm::State::Removed);
    }
  }

  void JoinEntry()
  {
    std::string name;
    {
      std::lock_guard const lock(mMutex);
      if (!AddEntry()) {
        return;
      }
      name = mFleet->All().back().mSettings.mEntry;
    }
    auto const end = Clock::now() + kReadyMost;
    while (Clock::now() < end) {
      std::this_thread::sleep_for(kPoll);
      auto* const entry = mFleet->Find(name);
      if (entry != nullptr && IsServing(*entry)) {
        SetInFabric(name, true);
        return;
      }
    }
  }

  void PauseEntry(std::string const& aName)
  {
    {
      std::lock_guard const lock(mMutex);
      auto* const entry = mFleet->Find(aName);
      if (entry == nullptr) {
        return;
      }
      mFleet->Pause(*entry);
    }
    std::this_thread::sleep_for(kFabricHealthLag);
    SetInFabric(aName, false);
    std::this_thread::sleep_for(kPause - kFabricHealthLag);
    {
      std::lock_guard const lock(mMutex);
      mFleet->Resume(*mFleet->Find(aName));
    }
    SetInFabric(aName, true);
  }

  /// Runs an operator's command; true if it was accepted.
  bool Operate(std::vector<std::string> aArguments)
  {
    aArguments.insert(
      aArguments.end(),
      { "--platform", ToText(mOptions.mNetwork.PlatformAddress()) });
    return mFleet->RunCommand(aArguments) == 0;
  }

  bool Change(std::vector<std::string> aArguments)
  {
    aArguments.insert(aArguments.end(),
                      { "--deployment", mConfiguration.mDeployment });
    bool const accepted = Operate(std::move(aArguments));
    if (accepted) {
      mMonitor->ChangeAccepted();
    }
    return accepted;
  }

  void DrainUpstream(std::string const& aName)
  {
    if (Change({ "upstream", "drain", aName })) {
      auto const now = Clock::now();
      mFabric->DrainUpstream(aName, now);
      mCallUpstreams->DrainUpstream(aName, now);
    }
  }

  void ZoneOut(std::string const& aName)
  {
    if (!Change({ "zone", "out", aName })) {
      return;
    }
    auto const now = Clock::now();
    mFabric->TakeZoneOut(aName, now);
    mCallUpstreams->TakeZoneOut(aName, now);
    SetZoneInFabric(aName, false);
  }

  void ZoneIn(std::string const& aName)
  {
    mFabric->BringZoneIn(aName);
    mCallUpstreams->BringZoneIn(aName);
    if (Change({ "zone", "in", aName })) {
      SetZoneInFabric(aName, true);
    }
  }

  void SetZoneInFabric(std::string const& aZone, bool aIn)
  {
    std::lock_guard const lock(mMutex);
    for (auto& entry : mFleet->All()) {
      if (entry.mSettings.mZone == aZone && entry.mPid > 0) {
        entry.mInFabric = aIn;
      }
    }
    UpdateTargets();
  }

  void SetCut(std::string const& aZone, bool aCut)
  {
    for (std::size_t index = 0; index < mConfiguration.mZones.size(); ++index) {
      if (mConfiguration.mZones[index].mName == aZone) {
        mCut[index] = aCut;
      }
    }
    mMonitor->SetCut(aZone, aCut);
    mFabric->SetCut(aZone, aCut);
    std::lock_guard const lock(mMutex);
    mFleet->ApplyCuts(mCut);
  }

  /// Applies a file, with the call addresses of this run.
  void Apply(std::string const& aFile)
  {
    std::ifstream input(aFile);
    std::ostringstream text;
    text << input.rdbuf();
    YamlFaults faults(aFile);
    auto configuration = ReadConfiguration(text.str(), faults);
    if (!configuration) {
      for (auto const& fault : faults.All()) {
        std::cerr << fault.ToText() << '\n';
      }
      return;
    }
    for (auto& service : configuration->mServices) {
      for (auto& upstream : service.mUpstreams) {
        auto const* const known = mConfiguration.FindUpstream(upstream.mName);
        upstream.mCallAddress =
          known == nullptr ? Endpoint{} : known->mCallAddress;
      }
    }
    auto const file = mOptions.mDirectory + "/applied.yaml";
    std::ofstream(file) << WriteConfiguration(*configuration, false);
    if (Operate({ "apply", file })) {
      mMonitor->ChangeAccepted();
    }
  }

  RunOptions mOptions;
  Configuration mConfiguration;
  std::mt19937_64 mRandom;
  std::string mLastZone;
  std::vector<bool> mCut;
  RunRecord mRecord;
  std::unique_ptr<Platform> mPlatform;
  std::unique_ptr<Fabric> mFabric;
  std::unique_ptr<CallUpstreams> mCallUpstreams;
  std::unique_ptr<EntryFleet> mFleet;
  std::unique_ptr<CallLoad> mLoad;
  std::unique_ptr<Monitor> mMonitor;
  std::mutex mMutex; ///< Guards the fleet's processes.
  std::vector<std::thread> mThreads;
};

} // namespace

Result<Configuration>
RunDeployment(std::string const& aName, RunNetwork aNetwork)
{
  if (aName != "reykjavik" && aName != "amman") {
    return Reason{ ReasonCode::NotFound,
                   "deployment '" + aName +
                     "' is not known; reykjavik or amman is expected" };
  }
  auto configuration = aName == "amman"
                         ? Examples::AmmanDeployment().Build()
                         : Examples::ReykjavikDeployment().Build();
  if (!configuration) {
    return configuration.LastReason();
  }
  std::uint32_t number = 0;
  for (auto& service : configuration->mServices) {
    for (auto& upstream : service.mUpstreams) {
      auto const& zones = configuration->mZones;
      auto const zone =
        std::find_if(zones.begin(), zones.end(), [&](Zone const& aZone) {
          return aZone.mName == upstream.mZone;
        });
      auto const network =
        aNetwork.Calls(static_cast<std::size_t>(zone - zones.begin()));
      upstream.mCallAddress = { { network.mAddress.mValue + ++number },
                                kCallPort };
    }
  }
  return configuration;
}

Result<RunReport>
CarryOut(RunOptions const& aOptions)
{
  auto configuration = RunDeployment(aOptions.mDeployment, aOptions.mNetwork);
  if (!configuration) {
    return configuration.LastReason();
  }
  if (auto const valid = CheckEvents(aOptions.mEvents, *configuration);
      !valid) {
    return valid.LastReason();
  }
  Run run(aOptions, configuration.Take());
  return run.CarryOut();
}

} // namespace tarragonsill::Lab
