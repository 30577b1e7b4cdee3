#ifndef TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED
#define TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED

#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_report.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

/// Watches the entry VMs' status pages during a run.
namespace tarragonsill::Lab {

class Monitor
{
public:
  /// The mutex guards the fleet.
  Monitor(EntryFleet& aFleet, std::mutex& aFleetMutex);
  ~Monitor();

  void Start();
  /// Notes that one more configuration was accepted.
  void RecordAcceptedChange();
  /// Entry VMs of a zone that is cut off need not hear of changes.
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
  std::map<std::uint64_t, TimePoint>
    mPendingVersions; ///< Not yet in force everywhere.
  std::set<std::string> mCutZones;
  std::map<std::string, EntrySamples> mSamples;
  EntryReport mReport;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_MONITOR_HPP_INCLUDED
