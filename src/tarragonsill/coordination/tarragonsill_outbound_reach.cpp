#include "tarragonsill/coordination/tarragonsill_outbound_reach.hpp"

#include <algorithm>

namespace tarragonsill {

void
OutboundReachDetector::Update(std::vector<ZoneReach> const& aOtherZones)
{
  auto const count = [&](ZoneReach aReach) {
    return static_cast<std::size_t>(
      std::count(aOtherZones.begin(), aOtherZones.end(), aReach));
  };
  if (count(ZoneReach::Answering) > 0) {
    mReach = ZoneReach::Answering;
    return;
  }
  bool const wasSilent = mReach == ZoneReach::Silent;
  bool const areAllSilent = count(ZoneReach::Silent) == aOtherZones.size();
  mReach = !aOtherZones.empty() && (areAllSilent || wasSilent)
             ? ZoneReach::Silent
             : ZoneReach::Unknown;
}

std::optional<std::uint64_t>
OutboundReachDetector::TakeProbeTurn(TimePoint aNow)
{
  if (mReach != ZoneReach::Silent || aNow < mLastProbe + kProbePeriod) {
    return std::nullopt;
  }
  mLastProbe = aNow;
  return mTurn++;
}

void
OutboundReachReports::SetOwn(TimePoint aNow,
                             std::string const& aVm,
                             ZoneReach aReach)
{
  mOwn = aReach;
  mReports.RecordReport(aNow, aVm, aReach);
}

void
OutboundReachReports::RecordZonePeer(TimePoint aNow,
                                     std::string const& aVm,
                                     ZoneReach aReach)
{
  mReports.RecordReport(aNow, aVm, aReach);
}

void
OutboundReachReports::RecordOtherZone(TimePoint aNow, ZoneReach aReach)
{
  if (aReach == ZoneReach::Answering) {
    mOtherZoneAnswering = aNow;
  }
}

bool
OutboundReachReports::IsLost(TimePoint aNow) const
{
  bool const doesOtherZoneServe =
    mOtherZoneAnswering != TimePoint{} &&
    aNow < mOtherZoneAnswering + ZoneReachReports::kReportMaxAge;
  return doesOtherZoneServe && mReports.IsSilent(aNow);
}

} // namespace tarragonsill
