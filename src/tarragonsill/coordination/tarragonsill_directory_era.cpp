#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// What holds after the store came back from an older copy of itself: what was
/// known from later, the copy, and what is written again.
namespace tarragonsill {

std::optional<StoreRollback>
Directory::NoteEra(std::uint64_t aEra)
{
  if (aEra <= mEra) {
    return std::nullopt;
  }
  if (mListed.empty()) {
    mEra = aEra; // Nothing is known that could be lost.
    return std::nullopt;
  }
  StoreRollback rollback;
  rollback.mFrom = mEra;
  rollback.mTo = aEra;
  rollback.mHeld = HeldOf(ObjectKind::Upstreams);
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
Directory::IsOfCopy(StoreUpdate const& aUpdate) const
{
  auto const listed = mListed.find(aUpdate.mKind);
  return aUpdate.mIsWholeList && listed != mListed.end() &&
         listed->second.mComplete.mEra < aUpdate.mUpTo.mEra;
}

void
Directory::MergeCopied(TimePoint aNow,
                       KnownUpstream& aHeld,
                       ObjectChange const& aCopied,
                       Changes& aChanges)
{
  auto const& copied = std::get<UpstreamRegistration>(aCopied.mContent);
  auto const& held = aHeld.mRegistration;
  aHeld.mPosition = aCopied.mPosition;
  if (copied.mStartMark < held.mStartMark) {
    return; // The copy tells of a process that has ended since.
  }
  bool const isSameStart = copied.mStartMark == held.mStartMark;
  bool const wasGone = isSameStart && !aHeld.mIsRegistered;
  // A process that drains never serves again.
  bool const drains = copied.mDraining || (isSameStart && held.mDraining);
  auto const coldUntil = std::max(isSameStart ? aHeld.mColdUntil : TimePoint{},
                                  EndOf(aNow, copied.mRemainingColdTime));
  aHeld.mRegistration = copied;
  aHeld.mRegistration.mDraining = drains;
  aHeld.mColdUntil = coldUntil;
  aHeld.mIsRegistered = true;
  aHeld.mDoubtedUntil =
    wasGone ? aNow + kHeartbeatsToLapse * mSettings.mHeartbeat : TimePoint{};
  NoteUpstream(aCopied, aHeld.mRegistration, aChanges);
  if (wasGone) {
    aChanges.back().mOutcome += ", doubted as it had gone";
    aChanges.back().mIsOrdinary = false;
  }
}

void
Directory::KeepOut(TimePoint aNow,
                   StorePosition aUpTo,
                   std::string const& aName,
                   KnownZone& aZone,
                   Changes& aChanges)
{
  aZone.mPosition = aUpTo;
  aZone.mDoubtedUntil = aNow + kRewriteTime;
  aChanges.push_back(
    { "zone", aName, "kept out, the store's copy does not say so", aUpTo });
}

std::vector<DirectoryChange>
Directory::EndDoubts(TimePoint aNow)
{
  Changes changes;
  for (auto& [name, zone] : mZones) {
    bool const hasEnded =
      zone.mDoubtedUntil != TimePoint{} && aNow >= zone.mDoubtedUntil;
    if (!hasEnded) {
      continue;
    }
    zone.mDoubtedUntil = {};
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
