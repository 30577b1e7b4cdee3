#ifndef TARRAGONSILL_OUTBOUND_REACH_HPP_INCLUDED
#define TARRAGONSILL_OUTBOUND_REACH_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Whether packets from an availability zone reach upstreams of other zones.
///
/// If nothing gets out of a zone whose own upstreams may get no new flows, its
/// VMs can open no flow at all, though messages from other zones still arrive.
/// VMs of another zone can serve its callers, open flows among them.
namespace tarragonsill {

/// Observes, for one VM, whether any other zone answers it.
class OutboundReachDetector
{
public:
  /// While no zone answers, one upstream per period is probed. VMs without
  /// callers have no other way to notice the recovery.
  static constexpr milliseconds kProbePeriod{ 500 };

  /// VMs start their probes at different upstreams.
  explicit OutboundReachDetector(std::uint64_t aSeed)
    : mTurn(aSeed)
  {
  }

  /// Updates the observation from those of the other zones that may get new
  /// flows. Once all are silent, only an answer ends that: an upstream that
  /// registers does not show that it is reached.
  void Update(std::vector<ZoneReach> const& aOtherZones);
  ZoneReach Reach() const { return mReach; }
  /// Returns the turn of the next probe if one is due; turns count up.
  std::optional<std::uint64_t> TakeProbeTurn(TimePoint aNow);

private:
  ZoneReach mReach = ZoneReach::Unknown;
  std::uint64_t mTurn = 0;
  TimePoint mLastProbe{};
};

/// Combines the observations of the VMs of a zone. Routers keep using all of
/// its VMs while any of them is ready, so all must come to the same result.
class OutboundReachReports
{
public:
  /// Sets the observation of this VM, which has the given name.
  void SetOwn(TimePoint aNow, std::string const& aVm, ZoneReach aReach);
  /// This VM's own observation, which is all that it reports to others.
  ZoneReach Own() const { return mOwn; }
  /// Records the observation of another VM of the zone.
  void RecordZonePeer(TimePoint aNow, std::string const& aVm, ZoneReach aReach);
  /// Records what a VM of another zone has observed of its zone's upstreams.
  void RecordOtherZone(TimePoint aNow, ZoneReach aReach);
  /// Whether the link is at fault: upstreams of another zone answer the VMs
  /// there, and no zone answers most VMs of this one.
  bool IsLost(TimePoint aNow) const;

private:
  ZoneReach mOwn = ZoneReach::Unknown;
  ZoneReachReports mReports; ///< Of all VMs of the zone, including this one.
  TimePoint mOtherZoneAnswering{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_OUTBOUND_REACH_HPP_INCLUDED
