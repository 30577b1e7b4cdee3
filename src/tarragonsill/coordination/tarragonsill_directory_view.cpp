#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

/// Upstreams report changes up to a heartbeat plus this time late (platform
/// documentation). All upstreams of a returning zone count as cold for that
/// long.
constexpr milliseconds kReportDelay{ 800 };

} // namespace

TimePoint
Directory::ColdUntil(KnownUpstream const& aUpstream) const
{
  auto const coldUntil =
    std::max(aUpstream.mColdUntil, aUpstream.mRestartColdUntil);
  auto const zone = mZones.find(aUpstream.mRegistration.mZone);
  if (zone == mZones.end() || zone->second.mReturnedAt == TimePoint{}) {
    return coldUntil;
  }
  // The zone's upstreams may have become cold shortly before its return, and
  // may not have reported it yet.
  auto const* rule = FindRule(aUpstream.mRegistration.mService);
  auto const cold = rule != nullptr ? rule->mColdTime : milliseconds{ 0 };
  return std::max(coldUntil, zone->second.mReturnedAt + ReturnColdTime(cold));
}

milliseconds
Directory::ReturnColdTime(milliseconds aColdTime) const
{
  return std::max(aColdTime, mSettings.mHeartbeat + kReportDelay);
}

RoutingViewPointer
Directory::BuildView(TimePoint aNow)
{
  auto view = std::make_shared<RoutingView>();
  mIsDirty = false;
  mNextRebuild = {};
  view->mZones = mSettings.mZones;
  auto const own =
    std::find(view->mZones.begin(), view->mZones.end(), mSettings.mZone);
  view->mOwnZone = static_cast<std::uint32_t>(own - view->mZones.begin());
  view->mMaxFlowTime = mSettings.mBounds.mMaxFlowTime;
  view->mDrainTime = mSettings.mBounds.mDrain;
  view->mAdmittingVms = mAdmittingVms;
  view->mSelf = mSelf;
  if (!mConfiguration) {
    return view;
  }
  view->mVersion = mConfiguration->mVersion;
  view->mIsComplete = IsComplete();
  view->mIdleTimeout = mConfiguration->mIdleTimeout;
  AddRoutes(*view);
  AddUpstreams(aNow, *view);
  return view;
}

void
Directory::AddRoutes(RoutingView& aView) const
{
  std::map<std::string, std::uint32_t> indices;
  for (auto const& rule : mConfiguration->mServices) {
    indices[rule.mName] = static_cast<std::uint32_t>(aView.mServices.size());
    aView.mServices.push_back({ rule.mName, {} });
  }
  aView.mRoutes = mRemovedRoutes;
  for (auto const& route : mConfiguration->mRoutes) {
    ResolvedRoute resolved;
    resolved.mName = route.mName;
    resolved.mKind = route.mKind;
    resolved.mLatencyTarget = route.mLatencyTarget;
    resolved.mPriority = route.mPriority;
    for (auto const& share : route.mShares) {
      auto const service = indices.find(share.mService);
      if (service == indices.end()) {
        continue;
      }
      resolved.mShares.push_back({ service->second, share.mWeight });
    }
    aView.mRoutes[route.mAddress] = std::move(resolved);
  }
}

void
Directory::ScheduleRebuild(TimePoint aAt)
{
  mNextRebuild =
    mNextRebuild == TimePoint{} ? aAt : std::min(mNextRebuild, aAt);
}

void
Directory::AddUpstreams(TimePoint aNow, RoutingView& aView)
{
  for (std::uint32_t slot = 0; slot < mUpstreams.size(); ++slot) {
    auto const& known = mUpstreams[slot];
    ResolvedUpstream upstream;
    upstream.mRegistration = known.mRegistration;
    upstream.mCookie = CookieOf(known.mRegistration.mName);
    upstream.mPosition = known.mPosition;
    upstream.mAvailability = AvailabilityOf(aNow, known);
    auto const zone = std::find(
      aView.mZones.begin(), aView.mZones.end(), known.mRegistration.mZone);
    upstream.mZone = static_cast<std::uint32_t>(zone - aView.mZones.begin());
    auto const evacuation = mZones.find(known.mRegistration.mZone);
    upstream.mEvacuated =
      evacuation != mZones.end() && evacuation->second.mIsEvacuated;
    upstream.mColdUntil = ColdUntil(known);
    if (auto const* rule = FindRule(known.mRegistration.mService)) {
      upstream.mColdLimit =
        rule->mColdFlowsPerSecond * mSettings.mBounds.mColdFactor +
        mSettings.mBounds.mColdAllowance;
      upstream.mColdTime = rule->mColdTime;
    }
    auto const [owner, isNew] =
      aView.mSlotByCookie.try_emplace(upstream.mCookie, slot);
    if (!isNew) {
      // If two names have the same cookie, the upstream that started earlier
      // keeps it, on every VM, and the other one gets no flows at all.
      auto& other = aView.mUpstreams[owner->second];
      bool const otherIsOlder =
        std::pair(other.mRegistration.mStartMark, other.mRegistration.mName) <
        std::pair(known.mRegistration.mStartMark, known.mRegistration.mName);
      (otherIsOlder ? upstream : other).mAvailability =
        UpstreamAvailability::Gone;
      owner->second = otherIsOlder ? owner->second : slot;
    }
    if (upstream.mAvailability == UpstreamAvailability::Missing) {
      bool const isUnconfirmed = aNow < known.mUnconfirmedUntil;
      ScheduleRebuild(isUnconfirmed ? known.mUnconfirmedUntil
                                    : aNow + kReregistrationTimeout);
    }
    auto const service =
      std::find_if(aView.mServices.begin(),
                   aView.mServices.end(),
                   [&](auto const& aService) {
                     return aService.mName == known.mRegistration.mService;
                   });
    upstream.mService =
      static_cast<std::uint32_t>(service - aView.mServices.begin());
    if (service != aView.mServices.end()) {
      service->mUpstreams.push_back(slot);
    }
    aView.mUpstreams.push_back(std::move(upstream));
  }
}

} // namespace tarragonsill
