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
    entries = mFleet.All();
  }
  std::vector<std::pair<EntryProcess, EntryPage>> pages;
  for (auto const& entry : entries) {
    if (entry.mPid <= 0 || entry.mPaused) {
      continue;
    }
    if (auto const page = EntryFleet::ReadPage(entry)) {
      pages.emplace_back(entry, *page);
    }
  }
  std::lock_guard const lock(mMutex);
  auto const now = Clock::now();
  for (auto const& [entry, page] : pages) {
    auto& seen = mSeen[entry.mSettings.mEntry];
    if (seen.mFirstAt == TimePoint{}) {
      seen.mFirstAt = now;
      seen.mFirstBytes = page.mControlBytes;
      seen.mFirstUse = EntryFleet::ReadUse(entry);
    }
    seen.mLastAt = now;
    seen.mLastBytes = page.mControlBytes;
    seen.mDrops = page.mDrops;
    seen.mLastUse = EntryFleet::ReadUse(entry);
  }
  NoteVersion(pages);
}

void
Monitor::NoteVersion(
  std::vector<std::pair<EntryProcess, EntryPage>> const& aPages)
{
  auto const now = Clock::now();
  for (auto entry = mAwaited.begin(); entry != mAwaited.end();) {
    bool const everywhere =
      std::all_of(aPages.begin(), aPages.end(), [&](auto const& aPage) {
        bool const excused = mCut.count(aPage.first.mSettings.mZone) > 0 ||
                             aPage.second.mStage != "serving";
        return excused || aPage.second.mVersion >= entry->first;
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
    mCut.insert(aZone);
  } else {
    mCut.erase(aZone);
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
    if (time.count() > 0 && seen.mFirstUse && seen.mLastUse) {
      std::chrono::duration<double> const used =
        seen.mLastUse->mProcessorTime - seen.mFirstUse->mProcessorTime;
      mReport.mProcessorShare =
        std::max(mReport.mProcessorShare, used.count() / time.count());
      mReport.mResidentMegabytes =
        std::max(mReport.mResidentMegabytes, seen.mLastUse->mResidentMegabytes);
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
