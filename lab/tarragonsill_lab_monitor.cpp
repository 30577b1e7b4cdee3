#include "tarragonsill_lab_monitor.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kPeriod{ 100 };

} // namespace

Monitor::Monitor(EntryFleet& aFleet, std::mutex& aFleetMutex)
  : mFleet(aFleet)
  , mFleetMutex(aFleetMutex)
{
}

Monitor::~Monitor()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Monitor::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
Monitor::Run()
{
  while (!mStop) {
    Look();
    std::this_thread::sleep_for(kPeriod);
  }
}

void
Monitor::Look()
{
  std::vector<EntryProcess> entries;
  {
    std::lock_guard const lock(mFleetMutex);
    entries = mFleet.Processes();
  }
  std::vector<std::pair<EntryProcess, EntryStatus>> statuses;
  for (auto const& entry : entries) {
    if (entry.mPid <= 0 || entry.mPaused) {
      continue;
    }
    if (auto const status = EntryFleet::ReadStatus(entry)) {
      statuses.emplace_back(entry, *status);
    }
  }
  std::lock_guard const lock(mMutex);
  auto const now = Clock::now();
  for (auto const& [entry, status] : statuses) {
    auto& seen = mSeen[entry.mSettings.mEntry];
    if (seen.mFirstAt == TimePoint{}) {
      seen.mFirstAt = now;
      seen.mFirstBytes = status.mControlBytes;
      seen.mFirstUsage = EntryFleet::ReadUsage(entry);
    }
    seen.mLastAt = now;
    seen.mLastBytes = status.mControlBytes;
    seen.mDrops = status.mDrops;
    seen.mLastUsage = EntryFleet::ReadUsage(entry);
  }
  NoteVersion(statuses);
}

void
Monitor::NoteVersion(
  std::vector<std::pair<EntryProcess, EntryStatus>> const& aStatuses)
{
  auto const now = Clock::now();
  for (auto entry = mAwaited.begin(); entry != mAwaited.end();) {
    bool const everywhere =
      std::all_of(aStatuses.begin(), aStatuses.end(), [&](auto const& aStatus) {
        bool const excused =
          mCutZones.count(aStatus.first.mSettings.mZone) > 0 ||
          aStatus.second.mStage != "serving";
        return excused || aStatus.second.mVersion >= entry->first;
      });
    if (!everywhere) {
      ++entry;
      continue;
    }
    auto const took =
      std::chrono::duration_cast<milliseconds>(now - entry->second);
    mReport.mConfigInForceMilliseconds =
      std::max(mReport.mConfigInForceMilliseconds,
               static_cast<std::uint64_t>(took.count()));
    entry = mAwaited.erase(entry);
  }
}

void
Monitor::ChangeAccepted()
{
  std::lock_guard const lock(mMutex);
  mAwaited[++mVersion] = Clock::now();
}

void
Monitor::SetZoneCut(std::string const& aZone, bool aIsCut)
{
  std::lock_guard const lock(mMutex);
  if (aIsCut) {
    mCutZones.insert(aZone);
  } else {
    mCutZones.erase(aZone);
  }
}

EntryReport
Monitor::Finish()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
  std::lock_guard const lock(mMutex);
  double maxRate = 0;
  for (auto const& [name, seen] : mSeen) {
    std::chrono::duration<double> const time = seen.mLastAt - seen.mFirstAt;
    if (time.count() > 0) {
      auto const bytes =
        static_cast<double>(seen.mLastBytes - seen.mFirstBytes);
      maxRate = std::max(maxRate, bytes / time.count());
    }
    mReport.mDrops += seen.mDrops;
    if (time.count() > 0 && seen.mFirstUsage && seen.mLastUsage) {
      std::chrono::duration<double> const used =
        seen.mLastUsage->mProcessorTime - seen.mFirstUsage->mProcessorTime;
      mReport.mProcessorShare =
        std::max(mReport.mProcessorShare, used.count() / time.count());
      mReport.mResidentMegabytes = std::max(
        mReport.mResidentMegabytes, seen.mLastUsage->mResidentMegabytes);
    }
  }
  mReport.mControlBytesPerSecond = maxRate;
  for (auto const& [version, at] : mAwaited) {
    // Never in force everywhere: count up to now.
    auto const took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - at);
    mReport.mConfigInForceMilliseconds =
      std::max(mReport.mConfigInForceMilliseconds,
               static_cast<std::uint64_t>(took.count()));
  }
  return mReport;
}

} // namespace tarragonsill::Lab
