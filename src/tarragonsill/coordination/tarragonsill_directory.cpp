#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// A slot is reused after this many times the maximum lifetime of a flow, when
/// all flows of the removed upstream have ended.
constexpr int kSlotReuseFactor = 2;

} // namespace

std::uint32_t
CookieOf(std::string const& aUpstream)
{
  auto const hash = HashText(aUpstream);
  auto const cookie = static_cast<std::uint32_t>(hash ^ (hash >> 32));
  return cookie == 0 ? 1 : cookie;
}

Directory::Directory(NodeSettings const& aSettings)
  : mSettings(aSettings)
{
}

std::uint64_t
Directory::ConfigurationVersion() const
{
  return mConfiguration ? mConfiguration->mVersion : 0;
}

void
Directory::ApplySettings(NodeSettings const& aSettings)
{
  mSettings.mBounds = aSettings.mBounds;
  mSettings.mHeartbeat = aSettings.mHeartbeat;
  mIsDirty = true;
}

bool
Directory::IsComplete() const
{
  return mConfiguration && mCompleteTo.size() == kObjectKinds.size();
}

bool
Directory::OwnZoneServes(TimePoint aNow) const
{
  auto const zone = mZones.find(mSettings.mZone);
  if (zone != mZones.end() && zone->second.mIsEvacuated) {
    return false;
  }
  return std::any_of(
    mUpstreams.begin(), mUpstreams.end(), [&](auto const& aUpstream) {
      auto const availability = AvailabilityOf(aNow, aUpstream);
      return aUpstream.mRegistration.mZone == mSettings.mZone &&
             (availability == UpstreamAvailability::Serving ||
              availability == UpstreamAvailability::Missing);
    });
}

bool
Directory::HasChanged(TimePoint aNow) const
{
  return mIsDirty || (mNextRebuild != TimePoint{} && aNow >= mNextRebuild);
}

void
Directory::RecordStoreAvailability(TimePoint aNow, bool aAnswers)
{
  if (aAnswers && !mStoreAnswers) {
    mStoreRecoveredAt = aNow;
    mIsDirty = true;
  }
  mStoreAnswers = aAnswers;
}

void
Directory::SetAdmittingVms(std::vector<std::uint64_t> aAdmittingVms,
                           std::uint64_t aSelf)
{
  mIsDirty = mIsDirty || aAdmittingVms != mAdmittingVms;
  mAdmittingVms = std::move(aAdmittingVms);
  mSelf = aSelf;
}

std::vector<DirectoryChange>
Directory::Apply(TimePoint aNow, StoreUpdate const& aUpdate)
{
  Changes changes;
  if (aUpdate.mUpTo.mEra < mEra) {
    return changes; // The update precedes a store rollback.
  }
  (void)ObserveEra(aUpdate.mUpTo.mEra);
  bool const isAfterRollback = IsFirstListAfterRollback(aUpdate);
  for (auto const& change : aUpdate.mChanges) {
    switch (aUpdate.mKind) {
      case ObjectKind::Configuration:
        ApplyConfiguration(change, changes);
        break;
      case ObjectKind::Upstreams:
        ApplyUpstream(aNow, change, isAfterRollback, changes);
        break;
      case ObjectKind::Evacuations:
        ApplyEvacuation(aNow, change, changes);
        break;
    }
  }
  if (aUpdate.mIsWholeList) {
    RemoveUnlisted(aNow, aUpdate, changes);
  }
  if (aUpdate.mKind == ObjectKind::Upstreams) {
    UpdateMaxChangePositions(changes, aUpdate.mUpTo);
  }
  UpdatePositions(aUpdate, changes);
  mIsDirty = mIsDirty || !changes.empty();
  return changes;
}

void
Directory::ApplyConfiguration(ObjectChange const& aChange, Changes& aChanges)
{
  if (auto const* invalid = std::get_if<InvalidRecord>(&aChange.mContent)) {
    aChanges.push_back({ "configuration",
                         aChange.mName,
                         "refused: " + invalid->mReason,
                         aChange.mPosition });
    return;
  }
  auto const* next = std::get_if<RoutingConfiguration>(&aChange.mContent);
  if (next == nullptr || aChange.mRemoved ||
      next->mVersion <= ConfigurationVersion()) {
    return;
  }
  if (mConfiguration) {
    for (auto const& route : mConfiguration->mRoutes) {
      auto& removed = mRemovedRoutes[route.mAddress];
      removed.mName = route.mName;
      removed.mKind = route.mKind;
      removed.mRemoved = true;
    }
  }
  for (auto const& route : next->mRoutes) {
    mRemovedRoutes.erase(route.mAddress);
  }
  mConfiguration = *next;
  mConfigurationPosition = aChange.mPosition;
  aChanges.push_back({ "configuration",
                       "version " + std::to_string(next->mVersion),
                       "in force",
                       aChange.mPosition });
}

void
Directory::ApplyUpstream(TimePoint aNow,
                         ObjectChange const& aChange,
                         bool aIsAfterRollback,
                         Changes& aChanges)
{
  auto const slot = mSlots.find(aChange.mName);
  auto* const known =
    slot == mSlots.end() ? nullptr : &mUpstreams[slot->second];
  if (known != nullptr && aChange.mPosition <= known->mPosition) {
    // A removal may carry the revision of the change before it.
    if (aChange.mRemoved && aChange.mPosition == known->mPosition) {
      RemoveUpstream(aNow, aChange.mName, aChange.mPosition, aChanges);
    }
    return;
  }
  auto const removal = mEarlyRemovals.find(aChange.mName);
  if (removal != mEarlyRemovals.end() && aChange.mPosition <= removal->second) {
    return;
  }
  auto const* registration =
    std::get_if<UpstreamRegistration>(&aChange.mContent);
  if (aChange.mRemoved || registration == nullptr) {
    RemoveUpstream(aNow, aChange.mName, aChange.mPosition, aChanges);
    if (auto const* invalid = std::get_if<InvalidRecord>(&aChange.mContent);
        invalid != nullptr && !aChange.mRemoved) {
      aChanges.push_back({ "upstream",
                           aChange.mName,
                           "ignored: " + invalid->mReason,
                           aChange.mPosition });
    }
    return;
  }
  if (aIsAfterRollback && known != nullptr) {
    MergeRestored(aNow, *known, aChange, aChanges);
    return;
  }
  mEarlyRemovals.erase(aChange.mName);
  auto& upstream = mUpstreams[SlotFor(aNow, aChange.mName)];
  bool const isSameProcess =
    upstream.mRegistration.mStartMark == registration->mStartMark;
  upstream.mRegistration = *registration;
  upstream.mPosition = aChange.mPosition;
  upstream.mIsRegistered = true;
  upstream.mUnconfirmedUntil = EndOf(aNow, aChange.mUnconfirmedFor);
  upstream.mColdUntil = EndOf(aNow, registration->mRemainingColdTime);
  upstream.mRestartColdUntil =
    isSameProcess ? upstream.mRestartColdUntil : TimePoint{};
  AddUpstreamChange(aChange, *registration, aChanges);
}

void
Directory::AddUpstreamChange(ObjectChange const& aChange,
                             UpstreamRegistration const& aRegistration,
                             Changes& aChanges)
{
  auto const cold =
    aRegistration.mRemainingColdTime > milliseconds{ 0 }
      ? " cold for " +
          std::to_string(aRegistration.mRemainingColdTime.count()) + " ms"
      : std::string();
  aChanges.push_back(
    { "upstream",
      aChange.mName,
      (aRegistration.mDraining ? "draining" : "serving") + cold,
      aChange.mPosition,
      !aRegistration.mDraining && cold.empty() });
}

void
Directory::RemoveUpstream(TimePoint aNow,
                          std::string const& aName,
                          StorePosition aPosition,
                          Changes& aChanges)
{
  auto const known = mSlots.find(aName);
  if (known == mSlots.end()) {
    RecordEarlyRemoval(aName, aPosition);
    return;
  }
  auto& upstream = mUpstreams[known->second];
  upstream.mPosition = std::max(upstream.mPosition, aPosition);
  upstream.mUnconfirmedUntil = {};
  if (!upstream.mIsRegistered) {
    return;
  }
  upstream.mIsRegistered = false;
  upstream.mRemovedAt = aNow;
  aChanges.push_back({ "upstream", aName, "registration removed", aPosition });
}

void
Directory::RecordEarlyRemoval(std::string const& aName, StorePosition aPosition)
{
  auto& position = mEarlyRemovals[aName];
  position = std::max(position, aPosition);
  if (mEarlyRemovals.size() <= kMaxEarlyRemovals) {
    return;
  }
  mEarlyRemovals.erase(std::min_element(
    mEarlyRemovals.begin(),
    mEarlyRemovals.end(),
    [](auto& aLeft, auto& aRight) { return aLeft.second < aRight.second; }));
}

void
Directory::ApplyEvacuation(TimePoint aNow,
                           ObjectChange const& aChange,
                           Changes& aChanges)
{
  bool const evacuated = !aChange.mRemoved;
  auto const [entry, isNew] = mZones.try_emplace(aChange.mName);
  auto& zone = entry->second;
  if (isNew && !evacuated) {
    // The evacuation began and ended before this VM had listed any.
    zone.mReturnedAt = aNow;
    aChanges.push_back(
      { "zone", aChange.mName, "was taken back before", aChange.mPosition });
  }
  // A removal may carry the revision of the change before it.
  bool const isBeforeRemoval =
    aChange.mPosition == zone.mPosition && evacuated && !zone.mIsEvacuated;
  if (aChange.mPosition < zone.mPosition || isBeforeRemoval) {
    return;
  }
  bool const isUnconfirmed = zone.mUnconfirmedUntil != TimePoint{};
  zone.mUnconfirmedUntil = EndOf(aNow, aChange.mUnconfirmedFor);
  zone.mPosition = aChange.mPosition;
  if (zone.mIsEvacuated == evacuated && !isUnconfirmed) {
    return;
  }
  zone.mIsEvacuated = evacuated;
  if (!evacuated) {
    zone.mReturnedAt = aNow;
  }
  aChanges.push_back({ "zone",
                       aChange.mName,
                       evacuated ? "evacuated" : "taken back",
                       aChange.mPosition });
}

void
Directory::RemoveUnlisted(TimePoint aNow,
                          StoreUpdate const& aUpdate,
                          Changes& aChanges)
{
  std::set<std::string> listed;
  for (auto const& change : aUpdate.mChanges) {
    listed.insert(change.mName);
  }
  if (aUpdate.mKind == ObjectKind::Upstreams) {
    for (auto const& [name, slot] : mSlots) {
      // A list that is older than the last change of an upstream does not show
      // whether the upstream was removed.
      if (listed.count(name) > 0 ||
          mUpstreams[slot].mPosition > aUpdate.mUpTo) {
        continue;
      }
      RemoveUpstream(aNow, name, aUpdate.mUpTo, aChanges);
    }
  }
  if (aUpdate.mKind == ObjectKind::Evacuations) {
    for (auto& [name, zone] : mZones) {
      bool const isUnconfirmed = zone.mUnconfirmedUntil != TimePoint{};
      if (listed.count(name) > 0 || zone.mPosition > aUpdate.mUpTo ||
          isUnconfirmed) {
        continue;
      }
      if (IsFirstListAfterRollback(aUpdate) && zone.mIsEvacuated) {
        KeepEvacuated(aNow, aUpdate.mUpTo, name, zone, aChanges);
        continue;
      }
      ObjectChange removal;
      removal.mName = name;
      removal.mPosition = aUpdate.mUpTo;
      removal.mRemoved = true;
      ApplyEvacuation(aNow, removal, aChanges);
    }
  }
}

std::uint32_t
Directory::SlotFor(TimePoint aNow, std::string const& aName)
{
  auto const known = mSlots.find(aName);
  if (known != mSlots.end()) {
    return known->second;
  }
  auto const reuseAfter = mSettings.mBounds.mMaxFlowTime * kSlotReuseFactor;
  for (std::uint32_t slot = 0; slot < mUpstreams.size(); ++slot) {
    auto& upstream = mUpstreams[slot];
    if (upstream.mIsRegistered || aNow < upstream.mRemovedAt + reuseAfter) {
      continue;
    }
    mSlots.erase(upstream.mRegistration.mName);
    mForgottenRemovalsTo =
      std::max(mForgottenRemovalsTo, upstream.mMaxChangePosition);
    upstream = {};
    mSlots[aName] = slot;
    return slot;
  }
  auto const slot = static_cast<std::uint32_t>(mUpstreams.size());
  mUpstreams.emplace_back();
  mSlots[aName] = slot;
  return slot;
}

UpstreamAvailability
Directory::AvailabilityOf(TimePoint aNow, KnownUpstream const& aUpstream) const
{
  if (aUpstream.mIsRegistered) {
    return aUpstream.mRegistration.mDraining    ? UpstreamAvailability::Draining
           : aNow < aUpstream.mUnconfirmedUntil ? UpstreamAvailability::Missing
                                                : UpstreamAvailability::Serving;
  }
  if (aUpstream.mRegistration.mDraining) {
    return UpstreamAvailability::Gone;
  }
  if (!mSettings.mMechanisms.Uses(Mechanism::MissingPatience)) {
    return UpstreamAvailability::Gone;
  }
  // While the store does not answer, no new state arrives; shortly after its
  // recovery, not all upstreams have registered again.
  auto const missingUntil =
    std::max(aUpstream.mRemovedAt, mStoreRecoveredAt) + kReregistrationTimeout;
  return !mStoreAnswers || aNow < missingUntil ? UpstreamAvailability::Missing
                                               : UpstreamAvailability::Gone;
}

ServiceRule const*
Directory::FindRule(std::string const& aService) const
{
  for (auto const& rule : mConfiguration->mServices) {
    if (rule.mName == aService) {
      return &rule;
    }
  }
  return nullptr;
}

} // namespace tarragonsill
