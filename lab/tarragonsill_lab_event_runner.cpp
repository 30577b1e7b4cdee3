#include "tarragonsill_lab_event_runner.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace tarragonsill::Lab {

namespace {

/// The fabric stops spraying to a dead entry VM after its health check.
constexpr milliseconds kFabricHealthLag{ 1000 };
constexpr milliseconds kPause{ 4000 };
constexpr milliseconds kPlatformSlowness{ 400 };

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
  auto events = mParts.mOptions.mEvents;
  std::stable_sort(events.begin(), events.end(), [](auto& aLeft, auto& aRight) {
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
    Say("event " + std::to_string(event.mSecond) +
        " s: " + std::to_string(static_cast<int>(event.mKind)) + " " + picked);
    mThreads.emplace_back(
      [this, kind = event.mKind, picked] { Carry(kind, picked); });
  }
  std::this_thread::sleep_until(at(mParts.mOptions.mSeconds));
}

void
EventRunner::Say(std::string const& aText) const
{
  if (mParts.mOptions.mVerbose) {
    std::cerr << aText << '\n';
  }
}

std::string
EventRunner::Pick(Event const& aEvent)
{
  if (!aEvent.mArgument.empty()) {
    return aEvent.mArgument;
  }
  std::vector<std::string> names;
  switch (aEvent.mKind) {
    case EventKind::KillEntry:
    case EventKind::StopEntry:
    case EventKind::PauseEntry: {
      std::lock_guard const lock(mParts.mMutex);
      for (auto const& entry : mParts.mFleet->All()) {
        if (entry.mInFabric && !entry.mPaused) {
          names.push_back(entry.mSettings.mEntry);
        }
      }
      break;
    }
    case EventKind::DrainUpstream:
    case EventKind::ColdUpstream:
      for (auto const& service : mParts.mConfiguration.mServices) {
        for (auto const& upstream : service.mUpstreams) {
          names.push_back(upstream.mName);
        }
      }
      break;
    case EventKind::HealZone:
    case EventKind::ZoneIn:
      return mLastZone;
    default:
      for (auto const& zone : mParts.mConfiguration.mZones) {
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

void
EventRunner::Carry(EventKind aKind, std::string const& aName)
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
      mParts.mFabric->TurnUpstreamCold(aName);
      mParts.mCallUpstreams->TurnUpstreamCold(aName);
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
      mParts.mPlatform->SetDown(true);
      return;
    case EventKind::PlatformUp:
      mParts.mPlatform->SetDown(false);
      mParts.mPlatform->SetDelay(milliseconds{ 0 });
      return;
    case EventKind::PlatformSlow:
      mParts.mPlatform->SetDelay(kPlatformSlowness);
      return;
    case EventKind::LoseAnswer:
      mParts.mPlatform->LoseNextWriteAnswer();
      return;
    case EventKind::Apply:
      Apply(aName);
      return;
  }
}

void
EventRunner::KillEntry(std::string const& aName)
{
  {
    std::lock_guard const lock(mParts.mMutex);
    auto* const entry = mParts.mFleet->Find(aName);
    if (entry == nullptr) {
      return;
    }
    mParts.mFleet->Kill(*entry);
    mParts.List(*entry, PlatformVm::State::Removed);
  }
  std::this_thread::sleep_for(kFabricHealthLag);
  mParts.SetInFabric(aName, false);
}

void
EventRunner::StopEntry(std::string const& aName)
{
  mParts.SetInFabric(aName, false);
  EntryProcess* entry = nullptr;
  {
    std::lock_guard const lock(mParts.mMutex);
    entry = mParts.mFleet->Find(aName);
  }
  if (entry != nullptr) {
    mParts.List(*entry, PlatformVm::State::Leaving);
    mParts.mFleet->Stop(*entry);
    mParts.List(*entry, PlatformVm::State::Removed);
  }
}

void
EventRunner::JoinEntry()
{
  std::string name;
  {
    std::lock_guard const lock(mParts.mMutex);
    if (!mParts.AddEntry()) {
      return;
    }
    name = mParts.mFleet->All().back().mSettings.mEntry;
  }
  auto const end = Clock::now() + kReadyTimeout;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(kPoll);
    auto* const entry = mParts.mFleet->Find(name);
    if (entry != nullptr && mParts.IsServing(*entry)) {
      mParts.SetInFabric(name, true);
      return;
    }
  }
}

void
EventRunner::PauseEntry(std::string const& aName)
{
  {
    std::lock_guard const lock(mParts.mMutex);
    auto* const entry = mParts.mFleet->Find(aName);
    if (entry == nullptr) {
      return;
    }
    mParts.mFleet->Pause(*entry);
  }
  std::this_thread::sleep_for(kFabricHealthLag);
  mParts.SetInFabric(aName, false);
  std::this_thread::sleep_for(kPause - kFabricHealthLag);
  {
    std::lock_guard const lock(mParts.mMutex);
    mParts.mFleet->Resume(*mParts.mFleet->Find(aName));
  }
  mParts.SetInFabric(aName, true);
}

bool
EventRunner::Change(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(),
                    { "--deployment", mParts.mConfiguration.mDeployment });
  bool const accepted = mParts.Operate(std::move(aArguments));
  if (accepted) {
    mParts.mMonitor->ChangeAccepted();
  }
  return accepted;
}

void
EventRunner::DrainUpstream(std::string const& aName)
{
  if (Change({ "upstream", "drain", aName })) {
    auto const now = Clock::now();
    mParts.mFabric->DrainUpstream(aName, now);
    mParts.mCallUpstreams->DrainUpstream(aName, now);
  }
}

void
EventRunner::ZoneOut(std::string const& aName)
{
  if (!Change({ "zone", "out", aName })) {
    return;
  }
  auto const now = Clock::now();
  mParts.mFabric->TakeZoneOut(aName, now);
  mParts.mCallUpstreams->TakeZoneOut(aName, now);
  mParts.SetZoneInFabric(aName, false);
}

void
EventRunner::ZoneIn(std::string const& aName)
{
  mParts.mFabric->BringZoneIn(aName);
  mParts.mCallUpstreams->BringZoneIn(aName);
  if (Change({ "zone", "in", aName })) {
    mParts.SetZoneInFabric(aName, true);
  }
}

void
EventRunner::SetCut(std::string const& aZone, bool aCut)
{
  for (std::size_t index = 0; index < mParts.mConfiguration.mZones.size();
       ++index) {
    if (mParts.mConfiguration.mZones[index].mName == aZone) {
      mCut[index] = aCut;
    }
  }
  mParts.mMonitor->SetCut(aZone, aCut);
  mParts.mFabric->SetCut(aZone, aCut);
  std::lock_guard const lock(mParts.mMutex);
  mParts.mFleet->ApplyCuts(mCut);
}

void
EventRunner::Apply(std::string const& aFile)
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
        mParts.mConfiguration.FindUpstream(upstream.mName);
      upstream.mCallAddress =
        known == nullptr ? Endpoint{} : known->mCallAddress;
    }
  }
  auto const file = mParts.mOptions.mDirectory + "/applied.yaml";
  std::ofstream(file) << WriteConfiguration(*configuration, false);
  if (mParts.Operate({ "apply", file })) {
    mParts.mMonitor->ChangeAccepted();
  }
}

} // namespace tarragonsill::Lab
