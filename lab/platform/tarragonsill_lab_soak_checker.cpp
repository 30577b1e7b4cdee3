#include "tarragonsill_lab_soak_checker.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

void
SoakChecker::AddUpstream(std::uint32_t aCookie, Upstream aUpstream)
{
  mUpstreams[aCookie] = std::move(aUpstream);
}

void
SoakChecker::SetRoute(TimePoint aNow, Endpoint aRoute, bool aIsPresent)
{
  mRoutes[aRoute] = { aNow, aIsPresent };
}

void
SoakChecker::SetEvacuated(TimePoint aNow,
                          std::string const& aZone,
                          bool aIsEvacuated)
{
  mEvacuated[aZone] = { aNow, aIsEvacuated };
}

void
SoakChecker::RecordVmFault(Endpoint aVm, TimePoint aUntil)
{
  mInjectedFaultEnd = std::max(mInjectedFaultEnd, aUntil);
  RecordVmDown(aVm, aUntil);
}

void
SoakChecker::RecordVmDown(Endpoint aVm, TimePoint aNow)
{
  auto& until = mVmFaultEnd[aVm];
  until = std::max(until, aNow);
  mAnyVmFaultEnd = std::max(mAnyVmFaultEnd, aNow);
}

void
SoakChecker::RecordStoreFault(TimePoint aUntil)
{
  mStoreFaultEnd = std::max(mStoreFaultEnd, aUntil);
}

void
SoakChecker::RecordAllVmsKilled(TimePoint aNow)
{
  mAllKilledAt = aNow;
}

bool
SoakChecker::MustBeInForce(Endpoint aVm,
                           TimePoint aChanged,
                           milliseconds aBound,
                           TimePoint aSentAt) const
{
  auto const vm = mVmFaultEnd.find(aVm);
  auto const vmFaultEnd = vm == mVmFaultEnd.end() ? TimePoint{} : vm->second;
  auto const settled = std::max(vmFaultEnd, mStoreFaultEnd) + kSettleTime;
  return aSentAt > std::max(aChanged, settled) + aBound;
}

std::optional<std::string>
SoakChecker::CheckOpened(FlowEvent const& aEvent)
{
  mAllKilledAt =
    aEvent.mFirstSentAt > mAllKilledAt ? TimePoint{} : mAllKilledAt;
  auto const found = mUpstreams.find(aEvent.mCookie);
  if (found == mUpstreams.end()) {
    return "a flow was opened at an unknown upstream";
  }
  auto const& upstream = found->second;
  if (upstream.mRoute != aEvent.mRoute) {
    return "a flow was opened at " + upstream.mName + " of another service";
  }
  if (aEvent.mReachedOtherVms) {
    return std::nullopt;
  }
  if (upstream.mDrainedAt != TimePoint{} &&
      MustBeInForce(aEvent.mFirstVm,
                    upstream.mDrainedAt,
                    kDrainBound,
                    aEvent.mFirstSentAt)) {
    return "a flow was opened at " + upstream.mName + ", which is draining";
  }
  auto const& zone = mEvacuated[upstream.mZone];
  if (zone.mIsActive &&
      MustBeInForce(
        aEvent.mFirstVm, zone.mSince, kEvacuationBound, aEvent.mFirstSentAt)) {
    return "a flow was opened in the evacuated zone " + upstream.mZone;
  }
  auto const& route = mRoutes[aEvent.mRoute];
  if (!route.mIsActive && MustBeInForce(aEvent.mFirstVm,
                                        route.mSince,
                                        kConfigurationBound,
                                        aEvent.mFirstSentAt)) {
    return "a flow was opened on a removed route";
  }
  return std::nullopt;
}

std::optional<std::string>
SoakChecker::CheckReset(FlowEvent const& aEvent) const
{
  auto const upstream = mUpstreams.find(aEvent.mCookie);
  auto const route = mRoutes.find(aEvent.mRoute);
  bool const isGone =
    upstream == mUpstreams.end() || upstream->second.mHasCrashed;
  // A VM may not have received a restored route yet.
  bool const isNewRoute =
    route != mRoutes.end() &&
    aEvent.mFirstSentAt < route->second.mSince + kSettleTime;
  bool const isRemoved = route != mRoutes.end() && !route->second.mIsActive;
  if (isGone || isRemoved || isNewRoute) {
    return std::nullopt;
  }
  return "a flow was reset while " + upstream->second.mName + " is alive";
}

std::optional<std::string>
SoakChecker::Check(FlowEvent const& aEvent)
{
  auto const via = [&] {
    return " (" + ToText(aEvent.mCaller) + " through " +
           ToText(aEvent.mFirstVm) + ")";
  };
  std::optional<std::string> violation;
  switch (aEvent.mKind) {
    case FlowEvent::Kind::Opened:
      violation = CheckOpened(aEvent);
      break;
    case FlowEvent::Kind::Reset:
      violation = CheckReset(aEvent);
      break;
    case FlowEvent::Kind::Refused: {
      auto const& route = mRoutes[aEvent.mRoute];
      if (route.mIsActive && MustBeInForce(aEvent.mFirstVm,
                                           route.mSince,
                                           kConfigurationBound,
                                           aEvent.mFirstSentAt)) {
        violation = "a flow was refused although its route exists";
      }
      break;
    }
    case FlowEvent::Kind::Stalled: {
      auto const upstream = mUpstreams.find(aEvent.mCookie);
      bool const isGone =
        upstream == mUpstreams.end() || upstream->second.mHasCrashed;
      if (!isGone && aEvent.mFirstSentAt > mAnyVmFaultEnd + kSettleTime) {
        violation = "a request got no answer although no VM had a fault";
      }
      break;
    }
  }
  return violation ? std::optional(*violation + via()) : std::nullopt;
}

std::optional<std::string>
SoakChecker::CheckRecovery(TimePoint aNow)
{
  bool const isOverdue =
    mAllKilledAt != TimePoint{} &&
    aNow > std::max({ mAllKilledAt, mStoreFaultEnd, mInjectedFaultEnd }) +
             kRecoveryBound;
  if (!isOverdue) {
    return std::nullopt;
  }
  mAllKilledAt = TimePoint{};
  return "no flow could be opened in time after all VMs were killed";
}

} // namespace tarragonsill::Lab
