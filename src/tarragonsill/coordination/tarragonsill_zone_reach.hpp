#ifndef TARRAGONSILL_ZONE_REACH_HPP_INCLUDED
#define TARRAGONSILL_ZONE_REACH_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <string>

/// Whether the upstreams of an availability zone answer, as seen by its VMs.
namespace tarragonsill {

/// What one VM has observed of its own zone's upstreams.
enum class ZoneReach : std::uint8_t
{
  Unknown, ///< None has answered lately, nor is there proof of silence.
  Answering,
  Silent, ///< Several were tried in succession and none answered.
};

/// Combines this VM's observation with those that VMs of its zone report. A VM
/// that has just started has observed nothing; without the reports it would
/// draw callers into a zone that cannot serve them.
class ZoneReachReports
{
public:
  /// Reports of peers count for this time.
  static constexpr milliseconds kReportMaxAge{ 2000 };

  void SetOwn(ZoneReach aReach) { mOwn = aReach; }
  /// This VM's own observation, which is all that it reports to others.
  ZoneReach Own() const { return mOwn; }
  /// Records the observation of a VM of the same zone.
  void RecordReport(TimePoint aNow, std::string const& aVm, ZoneReach aReach);
  /// Whether no upstream of the zone answers, by this VM's own observation or,
  /// if there is none, by that of most VMs of the zone that have one.
  bool IsSilent(TimePoint aNow) const;

private:
  struct Report
  {
    ZoneReach mReach = ZoneReach::Unknown;
    TimePoint mAt{};
  };

  ZoneReach mOwn = ZoneReach::Unknown;
  std::map<std::string, Report> mReports;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ZONE_REACH_HPP_INCLUDED
