#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// Zones whose evacuation has ended: for some time their upstreams may be cold
/// without having reported it. The store does not show that an evacuation has
/// ended, so a VM that has not watched it learns of its end from peers or from
/// the store's history.
namespace tarragonsill {

milliseconds
Directory::MaxReturnColdTime() const
{
  auto longest = ReturnColdTime(milliseconds{ 0 });
  if (!mConfiguration) {
    return longest;
  }
  for (auto const& rule : mConfiguration->mServices) {
    longest = std::max(longest, ReturnColdTime(rule.mColdTime));
  }
  return longest;
}

bool
Directory::KnowsReturns(TimePoint aNow) const
{
  return mReturnsKnownSince != TimePoint{} &&
         aNow >= mReturnsKnownSince + MaxReturnColdTime();
}

void
Directory::RecordEvacuationList(TimePoint aNow, bool aHasHistory)
{
  mReturnsKnownSince = aHasHistory ? aNow - MaxReturnColdTime() : aNow;
}

ZoneReturns
Directory::RecentReturns(TimePoint aNow) const
{
  ZoneReturns returns;
  for (auto const& [name, zone] : mZones) {
    bool const isRecent = zone.mReturnedAt != TimePoint{} &&
                          aNow < zone.mReturnedAt + MaxReturnColdTime();
    if (isRecent && !zone.mIsEvacuated) {
      auto const age = aNow - zone.mReturnedAt;
      returns.mZones.push_back(
        { name, std::chrono::duration_cast<milliseconds>(age) });
    }
  }
  bool const isBehind = MissingChanges(ObjectKind::Evacuations).has_value();
  if (mReturnsKnownSince != TimePoint{} && !isBehind) {
    returns.mKnownFor =
      std::chrono::duration_cast<milliseconds>(aNow - mReturnsKnownSince);
  }
  return returns;
}

std::vector<DirectoryChange>
Directory::ApplyReturns(TimePoint aNow, ZoneReturns const& aReturns)
{
  Changes changes;
  for (auto const& returned : aReturns.mZones) {
    auto& zone = mZones[returned.mZone];
    auto const returnedAt = aNow - returned.mAge;
    if (returnedAt <= zone.mReturnedAt) {
      continue;
    }
    zone.mReturnedAt = returnedAt;
    changes.push_back(
      { "zone",
        returned.mZone,
        "was taken back " + std::to_string(returned.mAge.count()) + " ms ago",
        zone.mPosition });
  }
  auto const knownSince = aNow - aReturns.mKnownFor;
  mReturnsKnownSince = mReturnsKnownSince == TimePoint{}
                         ? knownSince
                         : std::min(mReturnsKnownSince, knownSince);
  mIsDirty = mIsDirty || !changes.empty();
  return changes;
}

} // namespace tarragonsill
