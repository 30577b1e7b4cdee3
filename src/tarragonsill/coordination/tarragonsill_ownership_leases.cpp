#include "tarragonsill/coordination/tarragonsill_ownership.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_lease_items.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

using namespace Detail;

bool
Ownership::MayGrant(TimePoint aNow,
                    Seat const& aSeat,
                    Member const& aFrom) const
{
  if (aSeat.mFirst != aFrom.mName || aSeat.mSecond != mSelf) {
    return false;
  }
  // What this VM admitted itself must be counted in full before.
  if (aSeat.Holds() || aSeat.mStoppedAt != 0) {
    return false;
  }
  return aSeat.mPromise.mTo == aFrom.mName || aNow >= aSeat.mPromise.mUntil;
}

void
Ownership::HandleAsk(TimePoint aNow,
                     Member const& aFrom,
                     wire::LeaseAsk const& aAsk,
                     Outbox& aOutbox)
{
  auto& last = mLastAsks[aFrom.mName];
  auto const position = std::pair(aFrom.mIncarnation, aAsk.sequence());
  if (position <= last) {
    return; // A late or repeated datagram.
  }
  last = position;
  wire::LeaseGrant grant;
  grant.set_sequence(aAsk.sequence());
  for (auto const& item : aAsk.items()) {
    auto const found = mSeats.find(KeyOf(item));
    if (found == mSeats.end() || !MayGrant(aNow, found->second, aFrom)) {
      continue;
    }
    auto& seat = found->second;
    auto const before = seat.mKnowledge;
    RequireInvariant(!seat.Holds(), "nobody promises what it owns itself");
    seat.mPromise = { aFrom.mName, aNow + mOptions.mLease + mOptions.mMargin };
    if (item.term() != 0) {
      StoreCeiling(seat, { item.term(), LimitOf(item) });
    }
    auto const reported = before.value_or(Knowledge{});
    *grant.add_items() =
      MakeItem(KeyOf(item), reported.mOpen, reported.mTerm, before.has_value());
    mCounters.Add(Counter::LeaseGrants);
  }
  if (grant.items_size() > 0) {
    *AddMessage(aOutbox, aFrom.mControl).mutable_lease_grant() = grant;
  }
}

void
Ownership::StoreCeiling(Seat& aSeat, Knowledge aAsked)
{
  bool const sameTerm =
    aSeat.mKnowledge && aSeat.mKnowledge->mTerm == aAsked.mTerm;
  // The owner may use the ceiling of its previous ask until it has applied
  // this one, so the higher of the two counts.
  auto const previous = sameTerm ? aSeat.mLastAsked : WorkLimit{};
  aSeat.mLastAsked = aAsked.mOpen;
  aAsked.mOpen.mConnections =
    std::max(aAsked.mOpen.mConnections, previous.mConnections);
  aAsked.mOpen.mSlots = std::max(aAsked.mOpen.mSlots, previous.mSlots);
  Learn(aSeat, aAsked);
}

void
Ownership::Learn(Seat& aSeat, Knowledge aKnowledge)
{
  if (!aSeat.mKnowledge || aKnowledge.mTerm >= aSeat.mKnowledge->mTerm) {
    aSeat.mKnowledge = aKnowledge;
    aSeat.mKnowledgeIsOwn = false;
  }
}

void
Ownership::HandleGrant(TimePoint aNow,
                       Member const& aFrom,
                       wire::LeaseGrant const& aGrant)
{
  auto const pending = mPending.find(aFrom.mName);
  if (pending == mPending.end() ||
      pending->second.mSequence != aGrant.sequence()) {
    return;
  }
  auto const ask = std::move(pending->second);
  mPending.erase(pending);
  for (auto const& item : aGrant.items()) {
    auto const found = mSeats.find(KeyOf(item));
    auto const ceiling = ask.mCeilings.find(KeyOf(item));
    if (found == mSeats.end() || ceiling == ask.mCeilings.end()) {
      continue;
    }
    auto& seat = found->second;
    bool const current =
      seat.mFirst == mSelf && !seat.mContested && seat.mSecond == aFrom.mName;
    bool const promised =
      seat.mPromise.mTo != mSelf && aNow < seat.mPromise.mUntil;
    if (!current || promised) {
      continue;
    }
    if (seat.Holds()) {
      seat.mUntil = std::max(seat.mUntil, ask.mSentAt + mOptions.mLease);
      // Only a ceiling that the second one stored may be used.
      seat.mCeiling = ceiling->second;
      ++mRevision;
      continue;
    }
    // At its own term this VM's count is exact; the other holds a ceiling.
    bool const newer = !seat.mKnowledge || item.term() > seat.mKnowledge->mTerm;
    if (item.known() && newer) {
      Learn(seat, { item.term(), LimitOf(item) });
    }
    Begin(seat, ask.mSentAt + mOptions.mLease);
    // The second one has not stored a ceiling of this term yet.
    seat.mCeiling = {};
    mNextAsk = aNow;
    ++mRevision;
  }
}

void
Ownership::Begin(Seat& aSeat, TimePoint aUntil)
{
  aSeat.mUntil = aUntil;
  if (aSeat.Holds()) {
    return;
  }
  // Without any word of an earlier owner the whole limit may be in use.
  auto const knowledge =
    aSeat.mKnowledge.value_or(Knowledge{ 0, aSeat.mResource.mLimit });
  aSeat.mTerm = knowledge.mTerm + 1;
  // Its own flows are still in the ledger; only those of others are adopted.
  aSeat.mAdopted = aSeat.mKnowledgeIsOwn ? WorkLimit{} : knowledge.mOpen;
  aSeat.mStoppedAt = 0;
  aSeat.mKnowledge = Knowledge{ aSeat.mTerm, knowledge.mOpen };
  mCounters.Add(Counter::LeaseTakeovers);
}

} // namespace tarragonsill
