#include "tarragonsill_lab_monitor.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kPollPeriod{ 100 };

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
    Poll();
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void
Monitor::Poll()
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
    auto& samples = mSamples[entry.mSettings.mEntry];
    if (samples.mFirstAt == TimePoint{}) {
      samples.mFirstAt = now;
      samples.mFirstBytes = status.mControlBytes;
      samples.mFirstUsage = EntryFleet::ReadUsage(entry);
    }
    samples.mLastAt = now;
    samples.mLastBytes = status.mControlBytes;
    samples.mDrops = status.mDrops;
    samples.mLastUsage = EntryFleet::ReadUsage(entry);
  }
  UpdatePendingVersions(statuses);
}

void
Monitor::UpdatePendingVersions(
  std::vector<std::pair<EntryProcess, EntryStatus>> const& aStatuses)
{
  auto const now = Clock::now();
  for (auto pending = mPendingVersions.begin();
       pending != mPendingVersions.end();) {
    bool const isInForce =
      std::all_of(aStatuses.begin(), aStatuses.end(), [&](auto const& aStatus) {
        bool const isExempt =
          mCutZones.count(aStatus.first.mSettings.mZone) > 0 ||
          aStatus.second.mStage != "serving";
        return isExempt || aStatus.second.mVersion >= pending->first;
      });
    if (!isInForce) {
      ++pending;
      continue;
    }
    auto const elapsed =
      std::chrono::duration_cast<milliseconds>(now - pending->second);
    mReport.mConfigInForceMilliseconds =
      std::max(mReport.mConfigInForceMilliseconds,
               static_cast<std::uint64_t>(elapsed.count()));
    pending = mPendingVersions.erase(pending);
  }
}

void
Monitor::RecordAcceptedChange()
{
  std::lock_guard const lock(mMutex);
  mPendingVersions[++mVersion] = Clock::now();
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
  for (auto const& [name, samples] : mSamples) {
    std::chrono::duration<double> const time =
      samples.mLastAt - samples.mFirstAt;
    if (time.count() > 0) {
      auto const bytes =
        static_cast<double>(samples.mLastBytes - samples.mFirstBytes);
      maxRate = std::max(maxRate, bytes / time.count());
    }
    mReport.mDrops += samples.mDrops;
    if (time.count() > 0 && samples.mFirstUsage && samples.mLastUsage) {
      std::chrono::duration<double> const used =
        samples.mLastUsage->mProcessorTime -
        samples.mFirstUsage->mProcessorTime;
      mReport.mProcessorShare =
        std::max(mReport.mProcessorShare, used.count() / time.count());
      mReport.mResidentMegabytes = std::max(
        mReport.mResidentMegabytes, samples.mLastUsage->mResidentMegabytes);
    }
  }
  mReport.mControlBytesPerSecond = maxRate;
  for (auto const& [version, acceptedAt] : mPendingVersions) {
    // The version is not in force everywhere; counts the time until now.
    auto const elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - acceptedAt);
    mReport.mConfigInForceMilliseconds =
      std::max(mReport.mConfigInForceMilliseconds,
               static_cast<std::uint64_t>(elapsed.count()));
  }
  return mReport;
}

} // namespace tarragonsill::Lab
