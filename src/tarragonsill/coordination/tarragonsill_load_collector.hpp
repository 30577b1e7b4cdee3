#ifndef TARRAGONSILL_LOAD_COLLECTOR_HPP_INCLUDED
#define TARRAGONSILL_LOAD_COLLECTOR_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_load_report.hpp"

#include <map>

/// Merges the load reports that the VMs of a zone send to this one.
namespace tarragonsill {

/// A process of a VM that sends reports.
struct LoadReporter
{
  std::uint64_t mName = 0; ///< The hash of the VM's name.
  std::uint64_t mIncarnation = 0;
};

/// The collector of one shard of upstreams.
class LoadCollector
{
public:
  /// Bounds the memory; reports of further VMs are ignored.
  static constexpr std::size_t kMaxReporters = 96;
  /// A report is kept for this long, so that an earlier one that arrives late
  /// is recognized.
  static constexpr seconds kKeepTime{ 30 };

  /// Replaces the report of a VM. Returns false if it is not newer than the
  /// last one.
  bool Add(TimePoint aNow, LoadReporter aFrom, LoadReport aReport);
  /// Returns the sums of reports up to an age. The receiver's own flows and
  /// requests are left out, which it knows better itself.
  LoadReport Merge(TimePoint aNow,
                   milliseconds aMaxAge,
                   std::uint64_t aReceiver) const;

private:
  struct Held
  {
    LoadReportVersion mVersion;
    TimePoint mAsOf{};
    std::vector<ReportedLoad> mLoads;
  };
  std::map<std::uint64_t, Held> mReports; ///< By name.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_LOAD_COLLECTOR_HPP_INCLUDED
