#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// How far knowledge goes, and what a peer lacks of it.
namespace tarragonsill {

std::uint64_t
Directory::LastChange(ObjectKind aKind) const
{
  if (mListed.count(aKind) == 0) {
    return 0;
  }
  // A list without any object is knowledge, too, hence the 1.
  return std::max<std::uint64_t>(1, mLastChange.at(aKind));
}

KnowledgeDigest
Directory::Digest() const
{
  return { ConfigurationVersion(),
           LastChange(ObjectKind::Upstreams),
           LastChange(ObjectKind::Evacuations) };
}

std::uint64_t
Directory::HeldOf(ObjectKind aKind) const
{
  auto const listed = mListed.find(aKind);
  if (listed == mListed.end()) {
    return 0;
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

std::uint64_t
Directory::CompleteTo(ObjectKind aKind) const
{
  auto const listed = mListed.find(aKind);
  return listed == mListed.end() ? 0 : listed->second.mComplete;
}

std::uint64_t
Directory::CompleteTo() const
{
  return std::min({ CompleteTo(ObjectKind::Configuration),
                    CompleteTo(ObjectKind::Upstreams),
                    CompleteTo(ObjectKind::Evacuations) });
}

void
Directory::NoteComplete(KnowledgeDigest const& aLastChanges,
                        std::uint64_t aRevision)
{
  auto const held = Held();
  auto const note = [&](ObjectKind aKind, bool aHasLastChange) {
    auto const listed = mListed.find(aKind);
    if (listed != mListed.end() && aHasLastChange) {
      auto& complete = listed->second.mComplete;
      complete = std::max(complete, aRevision);
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
    lists.mConfiguration.mRevision = mConfigurationRevision;
    lists.mConfiguration.mChanges.push_back(
      { "configuration", mConfigurationRevision, false, *mConfiguration });
  }
  if (own.mUpstreams > aHeld.mUpstreams) {
    bool const knowsRemovals = aHeld.mUpstreams > mForgottenUpTo;
    lists.mUpstreamsAfter = knowsRemovals ? aHeld.mUpstreams : 0;
    lists.mUpstreams = knowsRemovals ? UpstreamsAfter(aHeld.mUpstreams, aNow)
                                     : AllUpstreams(aNow);
  }
  if (own.mEvacuations > aHeld.mEvacuations) {
    lists.mEvacuations = EvacuationList();
  }
  return lists;
}

ObjectChange
Directory::ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const
{
  auto record = aUpstream.mRecord;
  record.mColdLeft = std::max(
    milliseconds{ 0 },
    std::chrono::duration_cast<milliseconds>(aUpstream.mColdUntil - aNow));
  return {
    record.mName, aUpstream.mRevision, !aUpstream.mIsRegistered, record
  };
}

ObjectPage
Directory::AllUpstreams(TimePoint aNow) const
{
  ObjectPage list;
  list.mRevision = CompleteTo(ObjectKind::Upstreams);
  for (auto const& upstream : mUpstreams) {
    if (upstream.mIsRegistered) {
      list.mChanges.push_back(ToChange(upstream, aNow));
    }
  }
  return list;
}

ObjectPage
Directory::UpstreamsAfter(std::uint64_t aRevision, TimePoint aNow) const
{
  ObjectPage changes;
  changes.mRevision = CompleteTo(ObjectKind::Upstreams);
  for (auto const& upstream : mUpstreams) {
    if (upstream.mChangedBy > aRevision) {
      changes.mChanges.push_back(ToChange(upstream, aNow));
    }
  }
  return changes;
}

ObjectPage
Directory::EvacuationList() const
{
  ObjectPage list;
  list.mRevision = CompleteTo(ObjectKind::Evacuations);
  for (auto const& [name, zone] : mZones) {
    if (!zone.mIsEvacuated) {
      continue;
    }
    list.mChanges.push_back(
      { name, zone.mRevision, false, EvacuationRecord{} });
  }
  return list;
}

void
Directory::NoteChanged(Changes const& aChanges, std::uint64_t aRevision)
{
  for (auto const& change : aChanges) {
    auto const known = mSlots.find(change.mSubject);
    if (known == mSlots.end()) {
      continue;
    }
    auto& upstream = mUpstreams[known->second];
    upstream.mChangedBy =
      std::max({ upstream.mChangedBy, upstream.mRevision, aRevision });
  }
}

void
Directory::NoteReach(StoreNews const& aNews)
{
  auto& last = mLastChange[aNews.mKind];
  for (auto const& change : aNews.mChanges) {
    last = std::max(last, change.mRevision);
  }
  bool const isFirst = mListed.count(aNews.mKind) == 0;
  if (isFirst && !aNews.mIsWholeList) {
    return;
  }
  mIsDirty = mIsDirty || isFirst;
  auto& reach = mListed[aNews.mKind];
  if (aNews.mIsWholeList || aNews.mAfter <= reach.mComplete) {
    reach.mComplete = std::max(reach.mComplete, aNews.mRevision);
    return;
  }
  reach.mMissedUpTo = std::max(reach.mMissedUpTo, aNews.mAfter);
}

} // namespace tarragonsill
