#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// How far knowledge goes, and what a peer lacks of it.
namespace tarragonsill {

namespace {

milliseconds
TimeLeft(TimePoint aEnd, TimePoint aNow)
{
  return std::max(milliseconds{ 0 },
                  std::chrono::duration_cast<milliseconds>(aEnd - aNow));
}

} // namespace

StorePosition
Directory::LastChange(ObjectKind aKind) const
{
  auto const listed = mListed.find(aKind);
  if (listed == mListed.end()) {
    return {};
  }
  auto const& complete = listed->second.mComplete;
  auto const last = mLastChange.at(aKind);
  if (last.mEra > complete.mEra) {
    return complete; // Some change of the new era; its list is missing.
  }
  // A list without any object is knowledge, too, hence the 1.
  return std::max(StorePosition{ complete.mEra, 1 }, last);
}

KnowledgeDigest
Directory::Digest() const
{
  return { ConfigurationVersion(),
           LastChange(ObjectKind::Upstreams),
           LastChange(ObjectKind::Evacuations) };
}

StorePosition
Directory::HeldOf(ObjectKind aKind) const
{
  auto const listed = mListed.find(aKind);
  if (listed == mListed.end()) {
    return {};
  }
  auto const& reach = listed->second;
  bool const hasGap = reach.mComplete < reach.mMissedUpTo;
  return hasGap ? reach.mComplete
                : std::max(reach.mComplete, LastChange(aKind));
}

KnowledgeDigest
Directory::Held() const
{
  return { ConfigurationVersion(),
           HeldOf(ObjectKind::Upstreams),
           HeldOf(ObjectKind::Evacuations) };
}

StorePosition
Directory::CompleteTo(ObjectKind aKind) const
{
  auto const listed = mListed.find(aKind);
  bool const isKnown =
    listed != mListed.end() && listed->second.mComplete.mEra == mEra;
  return isKnown ? listed->second.mComplete : StorePosition{};
}

StorePosition
Directory::CompleteTo() const
{
  return std::min({ CompleteTo(ObjectKind::Configuration),
                    CompleteTo(ObjectKind::Upstreams),
                    CompleteTo(ObjectKind::Evacuations) });
}

void
Directory::NoteComplete(KnowledgeDigest const& aLastChanges,
                        StorePosition aUpTo)
{
  auto const held = Held();
  auto const note = [&](ObjectKind aKind, bool aHasLastChange) {
    auto const listed = mListed.find(aKind);
    if (listed != mListed.end() && aHasLastChange) {
      auto& complete = listed->second.mComplete;
      complete =
        complete.mEra == aUpTo.mEra ? std::max(complete, aUpTo) : complete;
    }
  };
  note(ObjectKind::Configuration,
       held.mConfiguration >= aLastChanges.mConfiguration);
  note(ObjectKind::Upstreams, held.mUpstreams >= aLastChanges.mUpstreams);
  note(ObjectKind::Evacuations, held.mEvacuations >= aLastChanges.mEvacuations);
}

StoreLists
Directory::NewerThan(KnowledgeDigest const& aHeld, TimePoint aNow) const
{
  auto const own = Digest();
  StoreLists lists;
  if (own.mConfiguration > aHeld.mConfiguration) {
    lists.mConfiguration.mPosition = mConfigurationPosition;
    lists.mConfiguration.mChanges.push_back(
      { "configuration", mConfigurationPosition, false, *mConfiguration });
  }
  // Lists of an older era are not handed on: the store knows less than they.
  bool const isCurrent = own.mUpstreams.mEra == mEra;
  if (isCurrent && own.mUpstreams > aHeld.mUpstreams) {
    bool const knowsRemovals =
      aHeld.mUpstreams > mForgottenUpTo && aHeld.mUpstreams.mEra == mEra;
    lists.mUpstreamsAfter = knowsRemovals ? aHeld.mUpstreams : StorePosition{};
    lists.mUpstreams = knowsRemovals ? UpstreamsAfter(aHeld.mUpstreams, aNow)
                                     : AllUpstreams(aNow);
  }
  if (own.mEvacuations.mEra == mEra && own.mEvacuations > aHeld.mEvacuations) {
    lists.mEvacuations = EvacuationList(aNow);
  }
  return lists;
}

ObjectChange
Directory::ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const
{
  auto registration = aUpstream.mRegistration;
  registration.mRemainingColdTime = TimeLeft(aUpstream.mColdUntil, aNow);
  return { registration.mName,
           aUpstream.mPosition,
           !aUpstream.mIsRegistered,
           registration,
           TimeLeft(aUpstream.mDoubtedUntil, aNow) };
}

ObjectPage
Directory::AllUpstreams(TimePoint aNow) const
{
  ObjectPage list;
  list.mPosition = CompleteTo(ObjectKind::Upstreams);
  for (auto const& upstream : mUpstreams) {
    if (upstream.mIsRegistered) {
      list.mChanges.push_back(ToChange(upstream, aNow));
    }
  }
  return list;
}

ObjectPage
Directory::UpstreamsAfter(StorePosition aPosition, TimePoint aNow) const
{
  ObjectPage changes;
  changes.mPosition = CompleteTo(ObjectKind::Upstreams);
  for (auto const& upstream : mUpstreams) {
    if (upstream.mChangedBy > aPosition) {
      changes.mChanges.push_back(ToChange(upstream, aNow));
    }
  }
  return changes;
}

ObjectPage
Directory::EvacuationList(TimePoint aNow) const
{
  ObjectPage list;
  list.mPosition = CompleteTo(ObjectKind::Evacuations);
  for (auto const& [name, zone] : mZones) {
    if (!zone.mIsEvacuated) {
      continue;
    }
    list.mChanges.push_back({ name,
                              zone.mPosition,
                              false,
                              EvacuationRecord{},
                              TimeLeft(zone.mDoubtedUntil, aNow) });
  }
  return list;
}

void
Directory::NoteChanged(Changes const& aChanges, StorePosition aUpTo)
{
  for (auto const& change : aChanges) {
    auto const known = mSlots.find(change.mSubject);
    if (known == mSlots.end()) {
      continue;
    }
    auto& upstream = mUpstreams[known->second];
    upstream.mChangedBy =
      std::max({ upstream.mChangedBy, upstream.mPosition, aUpTo });
  }
}

void
Directory::NoteReach(StoreUpdate const& aUpdate)
{
  auto& last = mLastChange[aUpdate.mKind];
  for (auto const& change : aUpdate.mChanges) {
    last = std::max(last, change.mPosition);
  }
  bool const isFirst = mListed.count(aUpdate.mKind) == 0;
  if (isFirst && !aUpdate.mIsWholeList) {
    return;
  }
  mIsDirty = mIsDirty || isFirst;
  auto& reach = mListed[aUpdate.mKind];
  if (aUpdate.mIsWholeList || aUpdate.mAfter <= reach.mComplete) {
    reach.mComplete = std::max(reach.mComplete, aUpdate.mUpTo);
    return;
  }
  reach.mMissedUpTo = std::max(reach.mMissedUpTo, aUpdate.mAfter);
}

} // namespace tarragonsill
