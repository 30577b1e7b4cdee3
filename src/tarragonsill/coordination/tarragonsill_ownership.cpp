#include "tarragonsill/coordination/tarragonsill_ownership.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_lease_items.hpp"
#include "tarragonsill/state/tarragonsill_invariant.hpp"
#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

using namespace Detail;

namespace {

/// A holder asks for a ceiling above its open work, so that it does not have to
/// wait for the next grant: by the limit divided by this, but at least by
/// `kMinHeadroom`.
constexpr std::uint32_t kHeadroomDivisor = 4;
constexpr std::uint32_t kMinHeadroom = 64;

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
  std::map<Endpoint, LeaseState> states;
  for (auto& resource : aResources) {
    auto const key = resource.mKey;
    auto const existing = mLeaseStates.find(key);
    auto& state = states[key];
    if (existing != mLeaseStates.end()) {
      state = std::move(existing->second);
    } else if (resource.mIsNew) {
      state.mOpenWorkBound = OpenWorkBound{};
    }
    state.mResource = std::move(resource);
  }
  mLeaseStates = std::move(states);
  for (auto& [key, state] : mLeaseStates) {
    UpdateRanking(state);
  }
  ++mRevision;
}

void
Ownership::SetMembers(std::vector<Member> const& aZoneMembers)
{
  mMembers.clear();
  mJoiningHashes.clear();
  for (auto const& member : aZoneMembers) {
    if (member.mHealth == MemberHealth::Gone) {
      continue;
    }
    if (member.mStage == MemberStage::Serving) {
      mMembers.push_back(member);
    }
    if (member.mStage == MemberStage::Joining) {
      mJoiningHashes.push_back(member.NameHash());
    }
  }
  for (auto& [key, state] : mLeaseStates) {
    UpdateRanking(state);
  }
}

void
Ownership::UpdateRanking(LeaseState& aState)
{
  std::vector<std::uint64_t> hashes;
  for (auto const& member : mMembers) {
    hashes.push_back(member.NameHash());
  }
  auto const key = PlacementKey(aState.mResource.mKey);
  auto const order = RankCandidates(key, hashes, 2);
  std::string const designatedHolder =
    order.empty() ? std::string() : mMembers[order[0]].mName;
  std::string const grantor =
    order.size() < 2 ? std::string() : mMembers[order[1]].mName;
  auto const score = PlacementScore(key, HashText(mSelf));
  aState.mJoinerRanksAhead = std::any_of(
    mJoiningHashes.begin(), mJoiningHashes.end(), [&](std::uint64_t aHash) {
      return PlacementScore(key, aHash) > score;
    });
  // The previous holder may have held the lease without a grantor until now, so
  // this VM waits as if it had granted that lease itself.
  bool const succeedsOther = designatedHolder == mSelf &&
                             !aState.mDesignatedHolder.empty() &&
                             aState.mDesignatedHolder != mSelf &&
                             aState.mGrant.mHolder != aState.mDesignatedHolder;
  if (succeedsOther) {
    aState.mGrant = { aState.mDesignatedHolder,
                      mLastTick + mOptions.mLeaseDuration +
                        mOptions.mClockMargin };
  }
  bool const staysHolder = designatedHolder == mSelf &&
                           aState.mDesignatedHolder == mSelf &&
                           !aState.mJoinerRanksAhead;
  aState.mDesignatedHolder = designatedHolder;
  aState.mGrantor = grantor;
  // Once another VM may have held the lease, the count of this VM's ledger is
  // only a bound.
  aState.mBoundIsOwnCount =
    aState.mBoundIsOwnCount && designatedHolder == mSelf;
  if (!staysHolder) {
    DropLease(aState);
  }
}

void
Ownership::DropLease(LeaseState& aState)
{
  if (!aState.HoldsLease()) {
    return;
  }
  aState.mTerm = 0;
  aState.mUntil = TimePoint{};
  aState.mStoppedAtRevision = ++mRevision;
}

void
Ownership::DropAllLeases()
{
  for (auto& [key, state] : mLeaseStates) {
    DropLease(state);
  }
}

void
Ownership::ClearOpenWorkBounds()
{
  for (auto& [key, state] : mLeaseStates) {
    state.mOpenWorkBound.reset();
    state.mBoundIsOwnCount = false;
    state.mStoppedAtRevision = 0;
  }
}

void
Ownership::SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                       std::uint64_t aRevision)
{
  for (auto const& openWork : aOpenWork) {
    auto const found = mLeaseStates.find(openWork.mUpstream);
    if (found != mLeaseStates.end()) {
      found->second.mOpenWork = openWork.mWork;
    }
  }
  for (auto& [key, state] : mLeaseStates) {
    bool const isCountFinal = !state.HoldsLease() &&
                              state.mStoppedAtRevision != 0 &&
                              aRevision >= state.mStoppedAtRevision;
    if (!isCountFinal) {
      continue;
    }
    // Admission has stopped, so the count cannot rise any more.
    state.mStoppedAtRevision = 0;
    if (state.mOpenWorkBound) {
      state.mOpenWorkBound->mMaxOpen = state.mOpenWork;
      state.mBoundIsOwnCount = state.mDesignatedHolder == mSelf;
    }
  }
}

void
Ownership::AssumeNoOpenWork()
{
  for (auto& [key, state] : mLeaseStates) {
    // A VM that ranks ahead may have started earlier and used the resource
    // without a grantor.
    bool const mayBeUsed =
      state.mDesignatedHolder != mSelf || state.mJoinerRanksAhead;
    if (!state.mOpenWorkBound && !mayBeUsed) {
      state.mOpenWorkBound = OpenWorkBound{};
    }
  }
}

bool
Ownership::Tick(TimePoint aNow, Outbox& aOutbox)
{
  bool const paused =
    mLastTick != TimePoint{} && aNow - mLastTick > mOptions.mMaxTickInterval;
  mLastTick = aNow;
  if (paused) {
    DropAllLeases();
    mPendingAsks.clear();
    mListedLiveSincePause = false;
  }
  std::map<std::string, PendingAsk> asks;
  for (auto& [key, state] : mLeaseStates) {
    if (state.mDesignatedHolder != mSelf || state.mJoinerRanksAhead) {
      continue;
    }
    if (state.mGrantor.empty()) {
      RenewWithoutGrantor(aNow, state);
      continue;
    }
    asks[state.mGrantor].mCeilings[key] = ProposedCeiling(state);
  }
  if (aNow < mNextAsk) {
    return paused;
  }
  mNextAsk = aNow + mOptions.mAskPeriod;
  LowerCeilings(asks);
  for (auto& [name, ask] : asks) {
    auto const control = ControlEndpointOf(name);
    if (!control) {
      continue;
    }
    ask.mSequence = ++mSequence;
    ask.mSentAt = aNow;
    auto* message = AddMessage(aOutbox, *control).mutable_lease_ask();
    message->set_sequence(ask.mSequence);
    for (auto const& [key, ceiling] : ask.mCeilings) {
      *message->add_items() =
        MakeItem(key, ceiling, mLeaseStates.at(key).mTerm, true);
    }
    mCounters.Add(Counter::LeaseAsks);
    mPendingAsks[name] = std::move(ask);
  }
  return paused;
}

void
Ownership::LowerCeilings(std::map<std::string, PendingAsk> const& aAsks)
{
  for (auto const& [name, ask] : aAsks) {
    for (auto const& [key, proposed] : ask.mCeilings) {
      auto& state = mLeaseStates.at(key);
      if (proposed.mConnections >= state.mCeiling.mConnections) {
        continue;
      }
      state.mCeiling.mConnections = proposed.mConnections;
      ++mRevision;
    }
  }
}

WorkLimit
Ownership::ProposedCeiling(LeaseState const& aState) const
{
  auto const& limit = aState.mResource.mLimit;
  auto const headroom =
    std::max(kMinHeadroom, limit.mConnections / kHeadroomDivisor);
  return { std::min(limit.mConnections,
                    aState.mOpenWork.mConnections + headroom),
           limit.mSlots };
}

void
Ownership::RenewWithoutGrantor(TimePoint aNow, LeaseState& aState)
{
  bool const isGrantedToOther =
    aState.mGrant.mHolder != mSelf && aNow < aState.mGrant.mUntil;
  if (isGrantedToOther || !mListedLiveSincePause || !mAcknowledgedByJoiners) {
    return;
  }
  bool const isNewTerm = !aState.HoldsLease();
  AcquireOrExtend(aState, aNow + mOptions.mLeaseDuration);
  auto const ceiling = aState.mResource.mLimit;
  if (isNewTerm || ceiling != aState.mCeiling) {
    aState.mCeiling = ceiling;
    ++mRevision;
  }
}

AdmissionLeases
Ownership::Leases(TimePoint aNow) const
{
  AdmissionLeases leases;
  for (auto const& [key, state] : mLeaseStates) {
    if (!state.HoldsLease() || state.mUntil <= aNow) {
      continue;
    }
    RequireInvariant(state.mDesignatedHolder == mSelf &&
                       !state.mJoinerRanksAhead,
                     "only the designated holder holds a lease");
    leases.push_back(
      { key, state.mUntil, state.mCeiling, state.mTerm, state.mAdoptedWork });
  }
  return leases;
}

std::optional<Endpoint>
Ownership::ControlEndpointOf(std::string const& aName) const
{
  for (auto const& member : mMembers) {
    if (member.mName == aName) {
      return member.mControl;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill
