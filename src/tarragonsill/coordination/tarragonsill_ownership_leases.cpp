#include "tarragonsill/coordination/tarragonsill_ownership.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_lease_items.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

using namespace Detail;

bool
Ownership::CanGrant(TimePoint aNow,
                    LeaseState const& aState,
                    Member const& aFrom) const
{
  if (aState.mDesignatedHolder != aFrom.mName || aState.mGrantor != mSelf) {
    return false;
  }
  // The work that this VM admitted itself must be counted in full first.
  if (aState.HoldsLease() || aState.mStoppedAtRevision != 0) {
    return false;
  }
  return aState.mGrant.mHolder == aFrom.mName || aNow >= aState.mGrant.mUntil;
}

void
Ownership::HandleAsk(TimePoint aNow,
                     Member const& aFrom,
                     wire::LeaseAsk const& aAsk,
                     Outbox& aOutbox)
{
  auto& lastAsk = mLastAsks[aFrom.mName];
  auto const ask = std::pair(aFrom.mIncarnation, aAsk.sequence());
  if (ask <= lastAsk) {
    return; // A delayed or duplicate datagram.
  }
  lastAsk = ask;
  wire::LeaseGrant grant;
  grant.set_sequence(aAsk.sequence());
  for (auto const& item : aAsk.items()) {
    auto const found = mLeaseStates.find(KeyOf(item));
    if (found == mLeaseStates.end() || !CanGrant(aNow, found->second, aFrom)) {
      continue;
    }
    auto& state = found->second;
    auto const previousBound = state.mOpenWorkBound;
    RequireInvariant(!state.HoldsLease(),
                     "a VM does not grant a lease that it holds itself");
    state.mGrant = { aFrom.mName,
                     aNow + mOptions.mLeaseDuration + mOptions.mClockMargin };
    if (item.term() != 0) {
      StoreCeiling(state, { item.term(), LimitOf(item) });
    }
    auto const reported = previousBound.value_or(OpenWorkBound{});
    *grant.add_items() = MakeItem(KeyOf(item),
                                  reported.mMaxOpen,
                                  reported.mTerm,
                                  previousBound.has_value());
    mCounters.Add(Counter::LeaseGrants);
  }
  if (grant.items_size() > 0) {
    *AddMessage(aOutbox, aFrom.mControl).mutable_lease_grant() = grant;
  }
}

void
Ownership::StoreCeiling(LeaseState& aState, OpenWorkBound aAsked)
{
  bool const sameTerm =
    aState.mOpenWorkBound && aState.mOpenWorkBound->mTerm == aAsked.mTerm;
  // The holder may use the ceiling of its previous request until it has applied
  // this one, so the bound is the higher of the two.
  auto const previous = sameTerm ? aState.mLastAskedCeiling : WorkLimit{};
  aState.mLastAskedCeiling = aAsked.mMaxOpen;
  aAsked.mMaxOpen.mConnections =
    std::max(aAsked.mMaxOpen.mConnections, previous.mConnections);
  aAsked.mMaxOpen.mSlots = std::max(aAsked.mMaxOpen.mSlots, previous.mSlots);
  UpdateBound(aState, aAsked);
}

void
Ownership::UpdateBound(LeaseState& aState, OpenWorkBound aBound)
{
  if (!aState.mOpenWorkBound || aBound.mTerm >= aState.mOpenWorkBound->mTerm) {
    aState.mOpenWorkBound = aBound;
    aState.mBoundIsOwnCount = false;
  }
}

void
Ownership::HandleGrant(TimePoint aNow,
                       Member const& aFrom,
                       wire::LeaseGrant const& aGrant)
{
  auto const pending = mPendingAsks.find(aFrom.mName);
  if (pending == mPendingAsks.end() ||
      pending->second.mSequence != aGrant.sequence()) {
    return;
  }
  auto const ask = std::move(pending->second);
  mPendingAsks.erase(pending);
  for (auto const& item : aGrant.items()) {
    auto const found = mLeaseStates.find(KeyOf(item));
    auto const ceiling = ask.mCeilings.find(KeyOf(item));
    if (found == mLeaseStates.end() || ceiling == ask.mCeilings.end()) {
      continue;
    }
    auto& state = found->second;
    bool const isDesignated = state.mDesignatedHolder == mSelf &&
                              !state.mJoinerRanksAhead &&
                              state.mGrantor == aFrom.mName;
    bool const isGrantedToOther =
      state.mGrant.mHolder != mSelf && aNow < state.mGrant.mUntil;
    if (!isDesignated || isGrantedToOther) {
      continue;
    }
    if (state.HoldsLease()) {
      state.mUntil =
        std::max(state.mUntil, ask.mSentAt + mOptions.mLeaseDuration);
      // Only a ceiling that the grantor has stored may be used.
      state.mCeiling = ceiling->second;
      ++mRevision;
      continue;
    }
    // For its own term this VM has the exact count; the grantor has a ceiling.
    bool const hasNewerBound =
      !state.mOpenWorkBound || item.term() > state.mOpenWorkBound->mTerm;
    if (item.known() && hasNewerBound) {
      UpdateBound(state, { item.term(), LimitOf(item) });
    }
    AcquireOrExtend(state, ask.mSentAt + mOptions.mLeaseDuration);
    // The grantor has not stored a ceiling of this term yet.
    state.mCeiling = {};
    mNextAsk = aNow;
    ++mRevision;
  }
}

void
Ownership::AcquireOrExtend(LeaseState& aState, TimePoint aUntil)
{
  aState.mUntil = aUntil;
  if (aState.HoldsLease()) {
    return;
  }
  // Without a bound from an earlier holder, the whole limit may be in use.
  auto const bound =
    aState.mOpenWorkBound.value_or(OpenWorkBound{ 0, aState.mResource.mLimit });
  aState.mTerm = bound.mTerm + 1;
  // This VM's own flows are still in its ledger; only those of other holders
  // are inherited.
  aState.mAdoptedWork = aState.mBoundIsOwnCount ? WorkLimit{} : bound.mMaxOpen;
  aState.mStoppedAtRevision = 0;
  aState.mOpenWorkBound = OpenWorkBound{ aState.mTerm, bound.mMaxOpen };
  mCounters.Add(Counter::LeaseTakeovers);
}

} // namespace tarragonsill
