#include "tarragonsill_lab_event_runner.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tarragonsill::Lab {

namespace {

/// Time until the fabric's health check detects a stopped entry VM.
constexpr milliseconds kFabricHealthCheckDelay{ 1000 };
constexpr milliseconds kPauseTime{ 4000 };
constexpr milliseconds kSlowPlatformDelay{ 400 };

} // namespace

void
EventRunner::Join()
{
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void
EventRunner::RunEvents()
{
  auto events = mEnvironment.mOptions.mEvents;
  std::stable_sort(events.begin(), events.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mSecond < aRight.mSecond;
  });
  auto const start = Clock::now();
  auto const timeAt = [&](double aSecond) {
    return start + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(aSecond));
  };
  for (auto const& event : events) {
    std::this_thread::sleep_until(timeAt(event.mSecond));
    auto const argument = ResolveArgument(event);
    Log("event " + std::to_string(event.mSecond) +
        " s: " + std::string(NameOf(event.mKind)) + " " + argument);
    mThreads.emplace_back(
      [this, kind = event.mKind, argument] { Execute(kind, argument); });
  }
  std::this_thread::sleep_until(timeAt(mEnvironment.mOptions.mSeconds));
}

void
EventRunner::Log(std::string const& aText) const
{
  if (mEnvironment.mOptions.mVerbose) {
    std::cerr << aText << '\n';
  }
}

std::string
EventRunner::ResolveArgument(Event const& aEvent)
{
  if (!aEvent.mArgument.empty()) {
    return aEvent.mArgument;
  }
  std::vector<std::string> names;
  switch (aEvent.mKind) {
    case EventKind::KillEntry:
    case EventKind::StopEntry:
    case EventKind::PauseEntry: {
      std::lock_guard const lock(mEnvironment.mMutex);
      for (auto const& entry : mEnvironment.mFleet->Processes()) {
        if (entry.mIsFabricTarget && !entry.mPaused) {
          names.push_back(entry.mSettings.mEntry);
        }
      }
      break;
    }
    case EventKind::DrainUpstream:
    case EventKind::ColdUpstream:
      for (auto const& service : mEnvironment.mConfiguration.mServices) {
        for (auto const& upstream : service.mUpstreams) {
          names.push_back(upstream.mName);
        }
      }
      break;
    case EventKind::HealZone:
    case EventKind::ZoneIn:
      return mLastZone;
    default:
      for (auto const& zone : mEnvironment.mConfiguration.mZones) {
        names.push_back(zone.mName);
      }
  }
  auto const argument = names.empty() ? "" : names[mRandom() % names.size()];
  bool const isZoneEvent =
    aEvent.mKind == EventKind::CutZone || aEvent.mKind == EventKind::ZoneOut;
  if (isZoneEvent) {
    mLastZone = argument;
  }
  return argument;
}

void
EventRunner::Execute(EventKind aKind, std::string const& aName)
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
      mEnvironment.mFabric->MakeUpstreamCold(aName);
      mEnvironment.mCallUpstreams->MakeUpstreamCold(aName);
      return;
    case EventKind::ZoneOut:
      EvacuateZone(aName);
      return;
    case EventKind::ZoneIn:
      RestoreZone(aName);
      return;
    case EventKind::CutZone:
      SetZoneCut(aName, true);
      return;
    case EventKind::HealZone:
      SetZoneCut(aName, false);
      return;
    case EventKind::PlatformDown:
      mEnvironment.mPlatform->SetDown(true);
      return;
    case EventKind::PlatformUp:
      mEnvironment.mPlatform->SetDown(false);
      mEnvironment.mPlatform->SetDelay(milliseconds{ 0 });
      return;
    case EventKind::PlatformSlow:
      mEnvironment.mPlatform->SetDelay(kSlowPlatformDelay);
      return;
    case EventKind::LoseAnswer:
      mEnvironment.mPlatform->LoseNextWriteAnswer();
      return;
    case EventKind::Apply:
      ApplyFile(aName);
      return;
  }
}

void
EventRunner::KillEntry(std::string const& aName)
{
  {
    std::lock_guard const lock(mEnvironment.mMutex);
    auto* const entry = mEnvironment.mFleet->Find(aName);
    if (entry == nullptr) {
      return;
    }
    mEnvironment.mFleet->Kill(*entry);
    mEnvironment.ListVm(*entry, PlatformVm::State::Removed);
  }
  std::this_thread::sleep_for(kFabricHealthCheckDelay);
  mEnvironment.SetFabricTarget(aName, false);
}

void
EventRunner::StopEntry(std::string const& aName)
{
  mEnvironment.SetFabricTarget(aName, false);
  EntryProcess* entry = nullptr;
  {
    std::lock_guard const lock(mEnvironment.mMutex);
    entry = mEnvironment.mFleet->Find(aName);
  }
  if (entry != nullptr) {
    mEnvironment.ListVm(*entry, PlatformVm::State::Leaving);
    mEnvironment.mFleet->Stop(*entry);
    mEnvironment.ListVm(*entry, PlatformVm::State::Removed);
  }
}

void
EventRunner::JoinEntry()
{
  std::string name;
  {
    std::lock_guard const lock(mEnvironment.mMutex);
    if (!mEnvironment.AddEntry()) {
      return;
    }
    name = mEnvironment.mFleet->Processes().back().mSettings.mEntry;
  }
  auto const end = Clock::now() + kReadyTimeout;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    EntryProcess const* entry = nullptr;
    {
      std::lock_guard const lock(mEnvironment.mMutex);
      entry = mEnvironment.mFleet->Find(name);
    }
    if (entry != nullptr && mEnvironment.IsServing(*entry)) {
      mEnvironment.SetFabricTarget(name, true);
      return;
    }
  }
}

void
EventRunner::PauseEntry(std::string const& aName)
{
  {
    std::lock_guard const lock(mEnvironment.mMutex);
    auto* const entry = mEnvironment.mFleet->Find(aName);
    if (entry == nullptr) {
      return;
    }
    mEnvironment.mFleet->Pause(*entry);
  }
  std::this_thread::sleep_for(kFabricHealthCheckDelay);
  mEnvironment.SetFabricTarget(aName, false);
  std::this_thread::sleep_for(kPauseTime - kFabricHealthCheckDelay);
  {
    std::lock_guard const lock(mEnvironment.mMutex);
    mEnvironment.mFleet->Resume(*mEnvironment.mFleet->Find(aName));
  }
  mEnvironment.SetFabricTarget(aName, true);
}

bool
EventRunner::RunChangeCommand(std::vector<std::string> aArguments)
{
  aArguments.insert(
    aArguments.end(),
    { "--deployment", mEnvironment.mConfiguration.mDeployment });
  bool const accepted = mEnvironment.RunOperatorCommand(std::move(aArguments));
  if (accepted) {
    mEnvironment.mMonitor->RecordAcceptedChange();
  }
  return accepted;
}

void
EventRunner::DrainUpstream(std::string const& aName)
{
  if (RunChangeCommand({ "upstream", "drain", aName })) {
    auto const now = Clock::now();
    mEnvironment.mFabric->DrainUpstream(aName, now);
    mEnvironment.mCallUpstreams->DrainUpstream(aName, now);
  }
}

void
EventRunner::EvacuateZone(std::string const& aName)
{
  if (!RunChangeCommand({ "zone", "out", aName })) {
    return;
  }
  auto const now = Clock::now();
  mEnvironment.mFabric->EvacuateZone(aName, now);
  mEnvironment.mCallUpstreams->EvacuateZone(aName, now);
  mEnvironment.SetZoneFabricTargets(aName, false);
}

void
EventRunner::RestoreZone(std::string const& aName)
{
  mEnvironment.mFabric->RestoreZone(aName);
  mEnvironment.mCallUpstreams->RestoreZone(aName);
  if (RunChangeCommand({ "zone", "in", aName })) {
    mEnvironment.SetZoneFabricTargets(aName, true);
  }
}

void
EventRunner::SetZoneCut(std::string const& aZone, bool aIsCut)
{
  for (std::size_t index = 0; index < mEnvironment.mConfiguration.mZones.size();
       ++index) {
    if (mEnvironment.mConfiguration.mZones[index].mName == aZone) {
      mCutZones[index] = aIsCut;
    }
  }
  mEnvironment.mMonitor->SetZoneCut(aZone, aIsCut);
  mEnvironment.mFabric->SetZoneCut(aZone, aIsCut);
  std::lock_guard const lock(mEnvironment.mMutex);
  mEnvironment.mFleet->ApplyZoneCuts(mCutZones);
}

void
EventRunner::ApplyFile(std::string const& aFile)
{
  std::ifstream input(aFile);
  std::ostringstream text;
  text << input.rdbuf();
  YamlErrors errors(aFile);
  auto configuration = ReadConfiguration(text.str(), errors);
  if (!configuration) {
    for (auto const& error : errors.All()) {
      std::cerr << error.ToText() << '\n';
    }
    return;
  }
  for (auto& service : configuration->mServices) {
    for (auto& upstream : service.mUpstreams) {
      auto const* const known =
        mEnvironment.mConfiguration.FindUpstream(upstream.mName);
      upstream.mCallAddress =
        known == nullptr ? Endpoint{} : known->mCallAddress;
    }
  }
  auto const file = mEnvironment.mOptions.mDirectory + "/applied.yaml";
  std::ofstream(file) << WriteConfiguration(*configuration, false);
  if (mEnvironment.RunOperatorCommand({ "apply", file })) {
    mEnvironment.mMonitor->RecordAcceptedChange();
  }
}

} // namespace tarragonsill::Lab
