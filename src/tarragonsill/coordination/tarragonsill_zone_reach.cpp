#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"

namespace tarragonsill {

void
ZoneReachReports::RecordReport(TimePoint aNow,
                               std::string const& aVm,
                               ZoneReach aReach)
{
  std::erase_if(mReports, [&](auto const& aEntry) {
    return aNow >= aEntry.second.mAt + kReportMaxAge;
  });
  if (aReach != ZoneReach::Unknown) {
    mReports[aVm] = { aReach, aNow };
  }
}

bool
ZoneReachReports::IsSilent(TimePoint aNow) const
{
  if (mOwn != ZoneReach::Unknown) {
    return mOwn == ZoneReach::Silent;
  }
  std::size_t silent = 0;
  std::size_t answering = 0;
  for (auto const& [name, report] : mReports) {
    if (aNow >= report.mAt + kReportMaxAge) {
      continue;
    }
    ++(report.mReach == ZoneReach::Silent ? silent : answering);
  }
  return silent > answering;
}

} // namespace tarragonsill
