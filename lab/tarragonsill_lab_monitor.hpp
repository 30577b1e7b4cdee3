#ifndef TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED
#define TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED

#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_report.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

/// Polls the status pages of the entry VMs during a run.
namespace tarragonsill::Lab {

class Monitor
{
public:
  /// `aFleetMutex` guards the fleet.
  Monitor(EntryFleet& aFleet, std::mutex& aFleetMutex);
  ~Monitor();

  void Start();
  /// Records that the platform accepted one more configuration.
  void RecordAcceptedChange();
  /// While a zone is cut off, a change counts as in force without the zone's
  /// entry VMs, since they can't receive the change.
  void SetZoneCut(std::string const& aZone, bool aIsCut);
  EntryReport Finish();

private:
  struct EntrySamples
  {
    std::uint64_t mFirstBytes = 0;
    std::uint64_t mLastBytes = 0;
    std::uint64_t mDrops = 0;
    TimePoint mFirstAt{};
    TimePoint mLastAt{};
    std::optional<ProcessUsage> mFirstUsage;
    std::optional<ProcessUsage> mLastUsage;
  };

  void Run();
  void Poll();
  void UpdatePendingVersions(
    std::vector<std::pair<EntryProcess, EntryStatus>> const& aStatuses);

  EntryFleet& mFleet;
  std::mutex& mFleetMutex;
  std::mutex mMutex;
  std::uint64_t mVersion = 1; ///< Highest accepted version.
  /// Accepted versions that are not in force everywhere, with their times.
  std::map<std::uint64_t, TimePoint> mPendingVersions;
  std::set<std::string> mCutZones;
  std::map<std::string, EntrySamples> mSamples;
  EntryReport mReport;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED
