#include "tarragonsill/coordination/tarragonsill_ownership.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_lease_items.hpp"
#include "tarragonsill/state/tarragonsill_invariant.hpp"
#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

using namespace Detail;

namespace {

/// Room above the open work that an owner asks for, so that it need not wait
/// for the next grant: a share of the limit, at least a few.
constexpr std::uint32_t kHeadroomShare = 4;
constexpr std::uint32_t kHeadroomMinimum = 64;

} // namespace

Ownership::Ownership(Options aOptions, std::string aSelf, Counters& aCounters)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mCounters(aCounters)
{
}

void
Ownership::Configure(std::vector<LeasedResource> aResources)
{
  std::map<Endpoint, Seat> seats;
  for (auto& resource : aResources) {
    auto const key = resource.mKey;
    auto const held = mSeats.find(key);
    auto& seat = seats[key];
    if (held != mSeats.end()) {
      seat = std::move(held->second);
    } else if (resource.mIsNew) {
      seat.mKnowledge = Knowledge{};
    }
    seat.mResource = std::move(resource);
  }
  mSeats = std::move(seats);
  for (auto& [key, seat] : mSeats) {
    Rank(seat);
  }
  ++mRevision;
}

void
Ownership::SetMembers(std::vector<Member> const& aZoneMembers)
{
  mMembers.clear();
  mJoining.clear();
  for (auto const& member : aZoneMembers) {
    if (member.mHealth == MemberHealth::Gone) {
      continue;
    }
    if (member.mStage == MemberStage::Serving) {
      mMembers.push_back(member);
    }
    if (member.mStage == MemberStage::Joining) {
      mJoining.push_back(member.NameHash());
    }
  }
  for (auto& [key, seat] : mSeats) {
    Rank(seat);
  }
}

void
Ownership::Rank(Seat& aSeat)
{
  std::vector<std::uint64_t> hashes;
  for (auto const& member : mMembers) {
    hashes.push_back(member.NameHash());
  }
  auto const key = PlacementKey(aSeat.mResource.mKey);
  auto const order = RankCandidates(key, hashes, 2);
  std::string const first =
    order.empty() ? std::string() : mMembers[order[0]].mName;
  std::string const second =
    order.size() < 2 ? std::string() : mMembers[order[1]].mName;
  auto const score = PlacementScore(key, HashText(mSelf));
  aSeat.mContested =
    std::any_of(mJoining.begin(), mJoining.end(), [&](std::uint64_t aHash) {
      return PlacementScore(key, aHash) > score;
    });
  // The former first one may have owned the thing alone, by no promise of
  // anybody, until just now.
  bool const succeeds = first == mSelf && !aSeat.mFirst.empty() &&
                        aSeat.mFirst != mSelf &&
                        aSeat.mPromise.mTo != aSeat.mFirst;
  if (succeeds) {
    aSeat.mPromise = { aSeat.mFirst,
                       mLastTick + mOptions.mLease + mOptions.mMargin };
  }
  bool const stays =
    first == mSelf && aSeat.mFirst == mSelf && !aSeat.mContested;
  aSeat.mFirst = first;
  aSeat.mSecond = second;
  // Once another one may have owned it, the own count is a bound only.
  aSeat.mKnowledgeIsOwn = aSeat.mKnowledgeIsOwn && first == mSelf;
  if (!stays) {
    StopActing(aSeat);
  }
}

void
Ownership::StopActing(Seat& aSeat)
{
  if (!aSeat.Holds()) {
    return;
  }
  aSeat.mTerm = 0;
  aSeat.mUntil = TimePoint{};
  aSeat.mStoppedAt = ++mRevision;
}

void
Ownership::DropAll()
{
  for (auto& [key, seat] : mSeats) {
    StopActing(seat);
  }
}

void
Ownership::Forget()
{
  for (auto& [key, seat] : mSeats) {
    seat.mKnowledge.reset();
    seat.mKnowledgeIsOwn = false;
    seat.mStoppedAt = 0;
  }
}

void
Ownership::SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                       std::uint64_t aRevision)
{
  for (auto const& openWork : aOpenWork) {
    auto const found = mSeats.find(openWork.mUpstream);
    if (found != mSeats.end()) {
      found->second.mUsed = openWork.mWork;
    }
  }
  for (auto& [key, seat] : mSeats) {
    bool const settled =
      !seat.Holds() && seat.mStoppedAt != 0 && aRevision >= seat.mStoppedAt;
    if (!settled) {
      continue;
    }
    // Admission has stopped, so the count can only fall from here.
    seat.mStoppedAt = 0;
    if (seat.mKnowledge) {
      seat.mKnowledge->mOpen = seat.mUsed;
      seat.mKnowledgeIsOwn = seat.mFirst == mSelf;
    }
  }
}

void
Ownership::Bootstrap()
{
  for (auto& [key, seat] : mSeats) {
    // A VM that ranks ahead may have started first and used the thing alone.
    bool const mayBeUsed = seat.mFirst != mSelf || seat.mContested;
    if (!seat.mKnowledge && !mayBeUsed) {
      seat.mKnowledge = Knowledge{};
    }
  }
}

bool
Ownership::Tick(TimePoint aNow, Outbox& aOutbox)
{
  bool const paused =
    mLastTick != TimePoint{} && aNow - mLastTick > mOptions.mPauseLimit;
  mLastTick = aNow;
  if (paused) {
    DropAll();
    mPending.clear();
    mAloneConfirmed = false;
  }
  std::map<std::string, PendingAsk> asks;
  for (auto& [key, seat] : mSeats) {
    if (seat.mFirst != mSelf || seat.mContested) {
      continue;
    }
    if (seat.mSecond.empty()) {
      RenewAlone(aNow, seat);
      continue;
    }
    asks[seat.mSecond].mCeilings[key] = ProposedCeiling(seat);
  }
  if (aNow < mNextAsk) {
    return paused;
  }
  mNextAsk = aNow + mOptions.mAskPeriod;
  LowerCeilings(asks);
  for (auto& [name, ask] : asks) {
    auto const control = ControlOf(name);
    if (!control) {
      continue;
    }
    ask.mSequence = ++mSequence;
    ask.mSentAt = aNow;
    auto* message = AddMessage(aOutbox, *control).mutable_lease_ask();
    message->set_sequence(ask.mSequence);
    for (auto const& [key, ceiling] : ask.mCeilings) {
      *message->add_items() =
        MakeItem(key, ceiling, mSeats.at(key).mTerm, true);
    }
    mCounters.Add(Counter::LeaseAsks);
    mPending[name] = std::move(ask);
  }
  return paused;
}

void
Ownership::LowerCeilings(std::map<std::string, PendingAsk> const& aAsks)
{
  for (auto const& [name, ask] : aAsks) {
    for (auto const& [key, proposed] : ask.mCeilings) {
      auto& seat = mSeats.at(key);
      if (proposed.mConnections >= seat.mCeiling.mConnections) {
        continue;
      }
      seat.mCeiling.mConnections = proposed.mConnections;
      ++mRevision;
    }
  }
}

WorkLimit
Ownership::ProposedCeiling(Seat const& aSeat) const
{
  auto const& limit = aSeat.mResource.mLimit;
  auto const headroom =
    std::max(kHeadroomMinimum, limit.mConnections / kHeadroomShare);
  return { std::min(limit.mConnections, aSeat.mUsed.mConnections + headroom),
           limit.mSlots };
}

void
Ownership::RenewAlone(TimePoint aNow, Seat& aSeat)
{
  bool const promised =
    aSeat.mPromise.mTo != mSelf && aNow < aSeat.mPromise.mUntil;
  if (promised || !mAloneConfirmed || !mJoinersKnow) {
    return;
  }
  bool const begins = !aSeat.Holds();
  Begin(aSeat, aNow + mOptions.mLease);
  auto const raised = aSeat.mResource.mLimit;
  if (begins || raised != aSeat.mCeiling) {
    aSeat.mCeiling = raised;
    ++mRevision;
  }
}

AdmissionLeases
Ownership::Leases(TimePoint aNow) const
{
  AdmissionLeases leases;
  for (auto const& [key, seat] : mSeats) {
    if (!seat.Holds() || seat.mUntil <= aNow) {
      continue;
    }
    RequireInvariant(seat.mFirst == mSelf && !seat.mContested,
                     "only the first in line owns");
    leases.push_back(
      { key, seat.mUntil, seat.mCeiling, seat.mTerm, seat.mAdopted });
  }
  return leases;
}

std::optional<Endpoint>
Ownership::ControlOf(std::string const& aName) const
{
  for (auto const& member : mMembers) {
    if (member.mName == aName) {
      return member.mControl;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill
