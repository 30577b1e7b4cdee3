#include "tarragonsill/coordination/tarragonsill_slot_ledger.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"

#include <algorithm>
#include <set>

namespace tarragonsill {

namespace {

/// A slot serves many calls, so a warming upstream proves itself by several
/// answers before it is given one more slot.
constexpr std::uint32_t kCallAnswersPerStep = 8;

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
      auto const [entry, added] = mAccounts.try_emplace(upstream.mAddress);
      auto& account = entry->second;
      if (added) {
        account.mColdStart = ColdStart(upstream.mColdLimit.mSlots,
                                       upstream.mLimit.mSlots,
                                       kCallAnswersPerStep);
      }
      account.mLimit = upstream.mLimit;
      account.mColdStart.Configure(upstream.mColdLimit.mSlots,
                                   upstream.mLimit.mSlots);
      auto const* const zone = aConfiguration.FindZone(upstream.mZone);
      account.mServing = upstream.mState == UpstreamAdminState::Serving &&
                         zone != nullptr && zone->mState == ZoneState::In;
      account.mUntil = TimePoint{};
    }
  }
  std::erase_if(mAccounts, [&](auto const& aItem) {
    return present.count(aItem.first) == 0;
  });
  for (auto const& lease : aLeases) {
    auto const found = mAccounts.find(lease.mUpstream);
    if (found == mAccounts.end()) {
      continue;
    }
    auto& account = found->second;
    account.mUntil = lease.mUntil;
    if (account.mTerm != lease.mTerm) {
      account.mTerm = lease.mTerm;
      TurnCold(account);
      account.mHeld.insert(account.mHeld.end(),
                           lease.mAdopted.mSlots,
                           aNow + mOptions.mMaxCallTime +
                             mOptions.mCancelGrace);
    }
    // A ceiling of zero: the second one does not know of this term yet.
    if (lease.mCeiling.mSlots == 0) {
      account.mUntil = TimePoint{};
    }
  }
}

void
SlotLedger::TurnCold(Account& aAccount)
{
  aAccount.mColdStart.TurnCold();
  for (std::uint32_t call = 0; call < aAccount.mInProgress; ++call) {
    aAccount.mColdStart.Start();
  }
}

void
SlotLedger::ExpireHeld(TimePoint aNow, Account& aAccount)
{
  std::erase_if(aAccount.mHeld,
                [&](TimePoint aUntil) { return aUntil <= aNow; });
}

SlotAdmission
SlotLedger::Admit(TimePoint aNow, Endpoint aUpstream, std::uint32_t aPriority)
{
  auto const found = mAccounts.find(aUpstream);
  if (found == mAccounts.end()) {
    return SlotAdmission::NotServing;
  }
  auto& account = found->second;
  if (aNow >= account.mUntil) {
    return SlotAdmission::NoLease;
  }
  if (!account.mServing) {
    return SlotAdmission::NotServing;
  }
  ExpireHeld(aNow, account);
  auto const slots = account.mLimit.mSlots;
  auto const kept = aPriority > 0 && slots > 1 ? 1U : 0U;
  if (account.mInProgress + account.mHeld.size() + kept >= slots) {
    return SlotAdmission::NoSlot;
  }
  if (!account.mColdStart.HasRoom()) {
    return SlotAdmission::Cold;
  }
  ++account.mInProgress;
  account.mColdStart.Start();
  RequireInvariant(account.mInProgress + account.mHeld.size() <= slots,
                   "calls in progress stay within the slots");
  return SlotAdmission::Admitted;
}

void
SlotLedger::Free(Endpoint aUpstream, bool aAnswered)
{
  auto const found = mAccounts.find(aUpstream);
  if (found == mAccounts.end() || found->second.mInProgress == 0) {
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
  Free(aUpstream, true);
}

void
SlotLedger::Unsent(Endpoint aUpstream)
{
  Free(aUpstream, false);
}

void
SlotLedger::Refused(Endpoint aUpstream)
{
  Free(aUpstream, false);
  auto const found = mAccounts.find(aUpstream);
  if (found != mAccounts.end()) {
    TurnCold(found->second);
  }
}

void
SlotLedger::Cancelled(TimePoint aNow, Endpoint aUpstream)
{
  Free(aUpstream, false);
  auto const found = mAccounts.find(aUpstream);
  if (found != mAccounts.end()) {
    found->second.mHeld.push_back(aNow + mOptions.mCancelGrace);
  }
}

std::uint32_t
SlotLedger::Used(TimePoint aNow, Endpoint aUpstream)
{
  auto const found = mAccounts.find(aUpstream);
  if (found == mAccounts.end()) {
    return 0;
  }
  ExpireHeld(aNow, found->second);
  return found->second.mInProgress +
         static_cast<std::uint32_t>(found->second.mHeld.size());
}

} // namespace tarragonsill
