#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// Store rollbacks: merges the restored copy with the newer state that was
/// known before, until objects are written again.
namespace tarragonsill {

std::optional<StoreRollback>
Directory::ObserveEra(std::uint64_t aEra)
{
  if (aEra <= mEra) {
    return std::nullopt;
  }
  if (mCompleteTo.empty()) {
    mEra = aEra; // Nothing was listed that a rollback could lose.
    return std::nullopt;
  }
  StoreRollback rollback;
  rollback.mFrom = mEra;
  rollback.mTo = aEra;
  rollback.mKnownTo = GaplessPosition(ObjectKind::Upstreams);
  rollback.mUpstreams = static_cast<std::size_t>(
    std::count_if(mUpstreams.begin(), mUpstreams.end(), [](auto const& aKnown) {
      return aKnown.mIsRegistered;
    }));
  rollback.mEvacuatedZones = static_cast<std::size_t>(
    std::count_if(mZones.begin(), mZones.end(), [](auto const& aZone) {
      return aZone.second.mIsEvacuated;
    }));
  mEra = aEra;
  return rollback;
}

bool
Directory::IsFirstListAfterRollback(StoreUpdate const& aUpdate) const
{
  auto const listed = mCompleteTo.find(aUpdate.mKind);
  return aUpdate.mIsWholeList && listed != mCompleteTo.end() &&
         listed->second.mEra < aUpdate.mUpTo.mEra;
}

void
Directory::MergeRestored(TimePoint aNow,
                         KnownUpstream& aKnown,
                         ObjectChange const& aRestored,
                         Changes& aChanges)
{
  auto const& restored = std::get<UpstreamRegistration>(aRestored.mContent);
  auto const& known = aKnown.mRegistration;
  aKnown.mPosition = aRestored.mPosition;
  if (restored.mStartMark < known.mStartMark) {
    return; // The restored registration is of a process that has ended.
  }
  bool const isSameStart = restored.mStartMark == known.mStartMark;
  bool const wasRemoved = isSameStart && !aKnown.mIsRegistered;
  // A process that drains never serves again.
  bool const isDraining =
    restored.mDraining || (isSameStart && known.mDraining);
  auto const coldUntil = std::max(isSameStart ? aKnown.mColdUntil : TimePoint{},
                                  EndOf(aNow, restored.mRemainingColdTime));
  aKnown.mRegistration = restored;
  aKnown.mRegistration.mDraining = isDraining;
  aKnown.mColdUntil = coldUntil;
  aKnown.mIsRegistered = true;
  aKnown.mUnconfirmedUntil =
    wasRemoved ? aNow + kHeartbeatsToLapse * mSettings.mHeartbeat : TimePoint{};
  AddUpstreamChange(aRestored, aKnown.mRegistration, aChanges);
  if (wasRemoved) {
    aChanges.back().mOutcome += ", doubted as it had gone";
    aChanges.back().mIsOrdinary = false;
  }
}

void
Directory::KeepEvacuated(TimePoint aNow,
                         StorePosition aUpTo,
                         std::string const& aName,
                         KnownZone& aZone,
                         Changes& aChanges)
{
  aZone.mPosition = aUpTo;
  aZone.mUnconfirmedUntil = aNow + kEvacuationRewriteTimeout;
  aChanges.push_back(
    { "zone", aName, "kept out, the store's copy does not say so", aUpTo });
}

std::vector<DirectoryChange>
Directory::ExpireUnconfirmedEvacuations(TimePoint aNow)
{
  Changes changes;
  for (auto& [name, zone] : mZones) {
    bool const hasEnded =
      zone.mUnconfirmedUntil != TimePoint{} && aNow >= zone.mUnconfirmedUntil;
    if (!hasEnded) {
      continue;
    }
    zone.mUnconfirmedUntil = {};
    zone.mIsEvacuated = false;
    zone.mReturnedAt = aNow;
    changes.push_back({ "zone",
                        name,
                        "taken back, its evacuation was not said again",
                        zone.mPosition });
    mIsDirty = true;
  }
  return changes;
}

} // namespace tarragonsill
