#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

/// The positions up to which state is known, and the state that peers lack.
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
  auto const listed = mCompleteTo.find(aKind);
  if (listed == mCompleteTo.end()) {
    return {};
  }
  auto const complete = listed->second;
  auto const last = mLastChange.at(aKind);
  if (last.mEra > complete.mEra) {
    return complete; // A change of a new era arrived before its list.
  }
  // Revision 1 distinguishes an empty list from a kind that was never listed.
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
Directory::GaplessPosition(ObjectKind aKind) const
{
  // The last change says nothing of those before it: peers may send changes
  // that follow one that they miss themselves.
  auto const listed = mCompleteTo.find(aKind);
  return listed == mCompleteTo.end() ? StorePosition{} : listed->second;
}

KnowledgeDigest
Directory::GaplessDigest() const
{
  return { ConfigurationVersion(),
           GaplessPosition(ObjectKind::Upstreams),
           GaplessPosition(ObjectKind::Evacuations) };
}

std::optional<PositionRange>
Directory::MissingChanges(ObjectKind aKind) const
{
  PositionRange const missing{ GaplessPosition(aKind), LastChange(aKind) };
  return missing.mAfter < missing.mUpTo ? std::optional(missing) : std::nullopt;
}

StorePosition
Directory::CompleteTo(ObjectKind aKind) const
{
  auto const position = GaplessPosition(aKind);
  return position.mEra == mEra ? position : StorePosition{};
}

StorePosition
Directory::CompleteTo() const
{
  return std::min({ CompleteTo(ObjectKind::Configuration),
                    CompleteTo(ObjectKind::Upstreams),
                    CompleteTo(ObjectKind::Evacuations) });
}

void
Directory::AdvanceCompleteTo(KnowledgeDigest const& aLastChanges,
                             StorePosition aUpTo)
{
  auto const held = GaplessDigest();
  auto const advance = [&](ObjectKind aKind, bool aHasLastChange) {
    auto const listed = mCompleteTo.find(aKind);
    if (listed != mCompleteTo.end() && aHasLastChange) {
      auto& complete = listed->second;
      complete =
        complete.mEra == aUpTo.mEra ? std::max(complete, aUpTo) : complete;
    }
  };
  advance(ObjectKind::Configuration,
          held.mConfiguration >= aLastChanges.mConfiguration);
  advance(ObjectKind::Upstreams, held.mUpstreams >= aLastChanges.mUpstreams);
  advance(ObjectKind::Evacuations,
          held.mEvacuations >= aLastChanges.mEvacuations);
}

KnowledgeLists
Directory::NewerThan(KnowledgeDigest const& aHeld, TimePoint aNow) const
{
  auto const own = Digest();
  KnowledgeLists lists;
  if (own.mConfiguration > aHeld.mConfiguration) {
    lists.mConfiguration.mPosition = mConfigurationPosition;
    lists.mConfiguration.mChanges.push_back(
      { "configuration", mConfigurationPosition, false, *mConfiguration });
  }
  // Lists of an older era are not sent: the store has lost a part of them.
  bool const isCurrent = own.mUpstreams.mEra == mEra;
  if (isCurrent && own.mUpstreams > aHeld.mUpstreams) {
    bool const hasAllRemovals =
      aHeld.mUpstreams > mForgottenRemovalsTo && aHeld.mUpstreams.mEra == mEra;
    lists.mUpstreamsAfter = hasAllRemovals ? aHeld.mUpstreams : StorePosition{};
    lists.mUpstreams = hasAllRemovals ? UpstreamsAfter(aHeld.mUpstreams, aNow)
                                      : AllUpstreams(aNow);
  }
  if (own.mEvacuations.mEra == mEra && own.mEvacuations > aHeld.mEvacuations) {
    lists.mEvacuations = EvacuationList(aNow);
  }
  lists.mReturns = RecentReturns(aNow);
  return lists;
}

ObjectChange
Directory::ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const
{
  auto registration = aUpstream.mRegistration;
  registration.mRemainingColdTime =
    TimeLeft(std::max(aUpstream.mColdUntil, aUpstream.mRestartColdUntil), aNow);
  return { registration.mName,
           aUpstream.mPosition,
           !aUpstream.mIsRegistered,
           registration,
           TimeLeft(aUpstream.mUnconfirmedUntil, aNow) };
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
    if (upstream.mMaxChangePosition > aPosition) {
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
                              TimeLeft(zone.mUnconfirmedUntil, aNow) });
  }
  return list;
}

void
Directory::UpdateMaxChangePositions(Changes const& aChanges,
                                    StorePosition aUpTo)
{
  for (auto const& change : aChanges) {
    auto const known = mSlots.find(change.mSubject);
    if (known == mSlots.end()) {
      continue;
    }
    auto& upstream = mUpstreams[known->second];
    upstream.mMaxChangePosition =
      std::max({ upstream.mMaxChangePosition, upstream.mPosition, aUpTo });
  }
}

void
Directory::UpdatePositions(StoreUpdate const& aUpdate, Changes const& aChanges)
{
  auto& last = mLastChange[aUpdate.mKind];
  for (auto const& change : aUpdate.mChanges) {
    // A removal may carry the revision of the change before it.
    last = std::max(last, change.mRemoved ? aUpdate.mUpTo : change.mPosition);
  }
  for (auto const& change : aChanges) {
    // Objects that a list lacks were removed at an unknown position before it.
    last = std::max(last, change.mPosition);
  }
  bool const isFirst = mCompleteTo.count(aUpdate.mKind) == 0;
  if (isFirst && !aUpdate.mIsWholeList) {
    return;
  }
  mIsDirty = mIsDirty || isFirst;
  auto& complete = mCompleteTo[aUpdate.mKind];
  if (aUpdate.mIsWholeList || aUpdate.mAfter <= complete) {
    complete = std::max(complete, aUpdate.mUpTo);
  }
}

} // namespace tarragonsill
