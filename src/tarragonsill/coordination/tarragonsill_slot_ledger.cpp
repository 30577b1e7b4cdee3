#include "tarragonsill/coordination/tarragonsill_slot_ledger.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"

#include <algorithm>
#include <set>

namespace tarragonsill {

namespace {

/// A slot serves many calls, so a cold upstream must give several answers
/// before it gets one more slot.
constexpr std::uint32_t kAnswersPerAddedSlot = 8;

} // namespace

void
SlotLedger::Apply(TimePoint aNow,
                  Configuration const& aConfiguration,
                  AdmissionLeases const& aLeases)
{
  std::set<Endpoint> present;
  for (auto const& service : aConfiguration.mServices) {
    for (auto const& upstream : service.mUpstreams) {
      present.insert(upstream.mAddress);
      auto const [entry, added] =
        mWorkByUpstream.try_emplace(upstream.mAddress);
      auto& work = entry->second;
      if (added) {
        work.mColdStart = ColdStart(upstream.mColdLimit.mSlots,
                                    upstream.mLimit.mSlots,
                                    kAnswersPerAddedSlot);
      }
      work.mLimit = upstream.mLimit;
      work.mColdStart.Configure(upstream.mColdLimit.mSlots,
                                upstream.mLimit.mSlots);
      auto const* const zone = aConfiguration.FindZone(upstream.mZone);
      work.mServing = upstream.mState == UpstreamAdminState::Serving &&
                      zone != nullptr && zone->mState == ZoneState::In;
      work.mLeaseUntil = TimePoint{};
    }
  }
  std::erase_if(mWorkByUpstream, [&](auto const& aItem) {
    return present.count(aItem.first) == 0;
  });
  for (auto const& lease : aLeases) {
    auto const found = mWorkByUpstream.find(lease.mUpstream);
    if (found == mWorkByUpstream.end()) {
      continue;
    }
    auto& work = found->second;
    work.mLeaseUntil = lease.mUntil;
    if (work.mTerm != lease.mTerm) {
      work.mTerm = lease.mTerm;
      RestartColdStart(work);
      work.mReservedUntil.insert(work.mReservedUntil.end(),
                                 lease.mAdoptedWork.mSlots,
                                 aNow + mOptions.mMaxCallTime +
                                   mOptions.mCancelGrace);
    }
    // A ceiling of zero means that the grantor has not stored a ceiling of this
    // term yet.
    if (lease.mCeiling.mSlots == 0) {
      work.mLeaseUntil = TimePoint{};
    }
  }
}

void
SlotLedger::RestartColdStart(UpstreamWork& aWork)
{
  aWork.mColdStart.TurnCold();
  for (std::uint32_t call = 0; call < aWork.mInProgress; ++call) {
    aWork.mColdStart.Start();
  }
}

void
SlotLedger::ExpireReservations(TimePoint aNow, UpstreamWork& aWork)
{
  std::erase_if(aWork.mReservedUntil,
                [&](TimePoint aUntil) { return aUntil <= aNow; });
}

SlotAdmission
SlotLedger::Admit(TimePoint aNow, Endpoint aUpstream, std::uint32_t aPriority)
{
  auto const found = mWorkByUpstream.find(aUpstream);
  if (found == mWorkByUpstream.end()) {
    return SlotAdmission::NotServing;
  }
  auto& work = found->second;
  if (aNow >= work.mLeaseUntil) {
    return SlotAdmission::NoLease;
  }
  if (!work.mServing) {
    return SlotAdmission::NotServing;
  }
  ExpireReservations(aNow, work);
  auto const slots = work.mLimit.mSlots;
  auto const reservedSlots = aPriority > 0 && slots > 1 ? 1U : 0U;
  if (work.mInProgress + work.mReservedUntil.size() + reservedSlots >= slots) {
    return SlotAdmission::NoSlot;
  }
  if (!work.mColdStart.HasRoom()) {
    return SlotAdmission::Cold;
  }
  ++work.mInProgress;
  work.mColdStart.Start();
  RequireInvariant(work.mInProgress + work.mReservedUntil.size() <= slots,
                   "calls in progress stay within the slots");
  return SlotAdmission::Admitted;
}

void
SlotLedger::Release(Endpoint aUpstream, bool aAnswered)
{
  auto const found = mWorkByUpstream.find(aUpstream);
  if (found == mWorkByUpstream.end() || found->second.mInProgress == 0) {
    return;
  }
  --found->second.mInProgress;
  found->second.mColdStart.End();
  if (aAnswered) {
    found->second.mColdStart.Answered();
  }
}

void
SlotLedger::Answered(Endpoint aUpstream)
{
  Release(aUpstream, true);
}

void
SlotLedger::Unsent(Endpoint aUpstream)
{
  Release(aUpstream, false);
}

void
SlotLedger::Refused(Endpoint aUpstream)
{
  Release(aUpstream, false);
  auto const found = mWorkByUpstream.find(aUpstream);
  if (found != mWorkByUpstream.end()) {
    RestartColdStart(found->second);
  }
}

void
SlotLedger::Cancelled(TimePoint aNow, Endpoint aUpstream)
{
  Release(aUpstream, false);
  auto const found = mWorkByUpstream.find(aUpstream);
  if (found != mWorkByUpstream.end()) {
    found->second.mReservedUntil.push_back(aNow + mOptions.mCancelGrace);
  }
}

std::uint32_t
SlotLedger::Used(TimePoint aNow, Endpoint aUpstream)
{
  auto const found = mWorkByUpstream.find(aUpstream);
  if (found == mWorkByUpstream.end()) {
    return 0;
  }
  ExpireReservations(aNow, found->second);
  return found->second.mInProgress +
         static_cast<std::uint32_t>(found->second.mReservedUntil.size());
}

} // namespace tarragonsill
