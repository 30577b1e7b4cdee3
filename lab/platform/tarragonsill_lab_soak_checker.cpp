#include "tarragonsill_lab_soak_checker.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

void
SoakJudge::AddUpstream(std::uint32_t aCookie, Upstream aUpstream)
{
  mUpstreams[aCookie] = std::move(aUpstream);
}

void
SoakJudge::SetRoute(TimePoint aNow, Endpoint aRoute, bool aIsThere)
{
  mRoutes[aRoute] = { aNow, aIsThere };
}

void
SoakJudge::SetEvacuated(TimePoint aNow, std::string const& aZone, bool aIsOut)
{
  mEvacuated[aZone] = { aNow, aIsOut };
}

void
SoakJudge::DisturbVm(Endpoint aVm, TimePoint aUntil)
{
  mFaultUntil = std::max(mFaultUntil, aUntil);
  NoteDown(aVm, aUntil);
}

void
SoakJudge::NoteDown(Endpoint aVm, TimePoint aNow)
{
  auto& until = mVmUntil[aVm];
  until = std::max(until, aNow);
  mAnyVmUntil = std::max(mAnyVmUntil, aNow);
}

void
SoakJudge::DisturbStore(TimePoint aUntil)
{
  mStoreUntil = std::max(mStoreUntil, aUntil);
}

void
SoakJudge::KilledAll(TimePoint aNow)
{
  mKilledAt = aNow;
}

bool
SoakJudge::Binds(Endpoint aVm,
                 TimePoint aChanged,
                 milliseconds aBound,
                 TimePoint aAsked) const
{
  auto const vm = mVmUntil.find(aVm);
  auto const vmUntil = vm == mVmUntil.end() ? TimePoint{} : vm->second;
  auto const inTouch = std::max(vmUntil, mStoreUntil) + kInTouchAfter;
  return aAsked > std::max(aChanged, inTouch) + aBound;
}

std::optional<std::string>
SoakJudge::JudgeOpened(FlowEvent const& aEvent)
{
  mKilledAt = aEvent.mAsked > mKilledAt ? TimePoint{} : mKilledAt;
  auto const known = mUpstreams.find(aEvent.mCookie);
  if (known == mUpstreams.end()) {
    return "a flow was opened at an upstream that never was";
  }
  auto const& upstream = known->second;
  if (upstream.mRoute != aEvent.mRoute) {
    return "a flow was opened at " + upstream.mName + " of another service";
  }
  if (aEvent.mHasMoved) {
    return std::nullopt;
  }
  if (upstream.mDrainedAt != TimePoint{} &&
      Binds(aEvent.mVm, upstream.mDrainedAt, kDrainBound, aEvent.mAsked)) {
    return "a flow was opened at " + upstream.mName + ", which leaves";
  }
  auto const& zone = mEvacuated[upstream.mZone];
  if (zone.mIsOn &&
      Binds(aEvent.mVm, zone.mSince, kEvacuationBound, aEvent.mAsked)) {
    return "a flow was opened in the evacuated zone " + upstream.mZone;
  }
  auto const& route = mRoutes[aEvent.mRoute];
  if (!route.mIsOn &&
      Binds(aEvent.mVm, route.mSince, kConfigurationBound, aEvent.mAsked)) {
    return "a flow was opened on a removed route";
  }
  return std::nullopt;
}

std::optional<std::string>
SoakJudge::JudgeReset(FlowEvent const& aEvent) const
{
  auto const upstream = mUpstreams.find(aEvent.mCookie);
  auto const route = mRoutes.find(aEvent.mRoute);
  bool const isGone =
    upstream == mUpstreams.end() || upstream->second.mHasCrashed;
  // A route that is back may still be missing at some VM.
  bool const isNew = route != mRoutes.end() &&
                     aEvent.mAsked < route->second.mSince + kInTouchAfter;
  bool const isRemoved = route != mRoutes.end() && !route->second.mIsOn;
  if (isGone || isRemoved || isNew) {
    return std::nullopt;
  }
  return "a flow was reset while " + upstream->second.mName + " lives";
}

std::optional<std::string>
SoakJudge::Judge(FlowEvent const& aEvent)
{
  auto const at = [&] { return " (through " + ToText(aEvent.mVm) + ")"; };
  std::optional<std::string> broken;
  switch (aEvent.mKind) {
    case FlowEvent::Kind::Opened:
      broken = JudgeOpened(aEvent);
      break;
    case FlowEvent::Kind::Reset:
      broken = JudgeReset(aEvent);
      break;
    case FlowEvent::Kind::Refused: {
      auto const& route = mRoutes[aEvent.mRoute];
      if (route.mIsOn &&
          Binds(aEvent.mVm, route.mSince, kConfigurationBound, aEvent.mAsked)) {
        broken = "a flow was refused though its route is there";
      }
      break;
    }
    case FlowEvent::Kind::Stalled: {
      auto const upstream = mUpstreams.find(aEvent.mCookie);
      bool const isGone =
        upstream == mUpstreams.end() || upstream->second.mHasCrashed;
      if (!isGone && aEvent.mAsked > mAnyVmUntil + kInTouchAfter) {
        broken = "a request got no answer though nothing was disturbed";
      }
      break;
    }
  }
  return broken ? std::optional(*broken + at()) : std::nullopt;
}

std::optional<std::string>
SoakJudge::JudgeReturn(TimePoint aNow)
{
  bool const isLate =
    mKilledAt != TimePoint{} &&
    aNow > std::max({ mKilledAt, mStoreUntil, mFaultUntil }) + kBackBound;
  if (!isLate) {
    return std::nullopt;
  }
  mKilledAt = TimePoint{};
  return "no flow could be opened in time after all VMs were killed";
}

} // namespace tarragonsill::Lab
