#include "tarragonsill/coordination/tarragonsill_service_admission.hpp"

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

/// The weight of each new answer in the moving averages.
constexpr double kSmoothing = 1.0 / 16;
/// Without newer answers, nothing is known about a zone.
constexpr milliseconds kAnswerMaxAge{ 2000 };
/// Older shared loads are not used.
constexpr milliseconds kSharedLoadMaxAge{ 2000 };
/// The state of a service without new flows for this time is discarded.
constexpr seconds kServiceTimeout{ 60 };
/// Zones with a smaller share of the slots make no difference.
constexpr double kMinZoneShare = 0.1;
/// Further events are dropped.
constexpr std::size_t kMaxEvents = 64;

bool
IsInReach(TimePoint aNow,
          ResolvedUpstream const& aUpstream,
          UpstreamLoad const& aLoad)
{
  auto const health = aLoad.mPassiveHealth.Health(aNow);
  return UpstreamSelector::CanTakeNewFlows(aUpstream) &&
         aUpstream.mAvailability == UpstreamAvailability::Serving &&
         !UpstreamSelector::IsCold(aNow, aUpstream, aLoad) &&
         health != UpstreamHealth::Silent &&
         health != UpstreamHealth::Unreachable;
}

} // namespace

ServiceAdmission::ServiceState&
ServiceAdmission::StateOf(ResolvedService const& aService)
{
  auto& state = mServices[HashText(aService.mName)];
  if (state.mName.empty()) {
    state.mName = aService.mName;
  }
  return state;
}

void
ServiceAdmission::RecordAnswer(TimePoint aNow,
                               RoutingView const& aView,
                               ResolvedUpstream const& aUpstream,
                               double aRelativeTime,
                               std::chrono::duration<double> aUsualTime)
{
  auto& state = StateOf(aView.mServices[aUpstream.mService]);
  state.mZones.resize(std::max(state.mZones.size(), aView.mZones.size() + 1));
  auto& zone = state.mZones[aUpstream.mZone];
  if (aNow >= zone.mLastAnswer + kAnswerMaxAge) {
    zone.mRelativeTime = 1.0;
  }
  zone.mRelativeTime += kSmoothing * (aRelativeTime - zone.mRelativeTime);
  zone.mLastAnswer = aNow;
  bool const isFirst = state.mUsualTime.count() == 0.0;
  state.mUsualTime +=
    (isFirst ? 1.0 : kSmoothing) * (aUsualTime - state.mUsualTime);
}

bool
ServiceAdmission::Admit(TimePoint aNow,
                        RoutingView const& aView,
                        std::uint32_t aService,
                        Opening const& aOpening)
{
  auto& state = StateOf(aView.mServices[aService]);
  state.mLastOpening = aNow;
  bool const isTrusted =
    mResumedAt == TimePoint{} || aNow >= mResumedAt + kTrustAfterPause;
  auto const severity = isTrusted ? state.mDetector.Severity() : 0.0;
  bool const isAdmitted = state.mAdmission.Admit(aNow, aOpening, severity);
  state.mHasRejected = state.mHasRejected || !isAdmitted;
  return isAdmitted;
}

ServiceLoad
ServiceAdmission::LoadOf(TimePoint aNow,
                         RoutingView const& aView,
                         ResolvedService const& aService,
                         std::vector<UpstreamLoad> const& aLoads,
                         SharedLoads const* aShared,
                         ServiceState const& aState)
{
  std::vector<ZoneSum> zones(aView.mZones.size() + 1);
  ServiceLoad load;
  load.mUsualTime = aState.mUsualTime;
  for (auto const slot : aService.mUpstreams) {
    auto const& upstream = aView.mUpstreams[slot];
    if (!IsInReach(aNow, upstream, aLoads[slot])) {
      continue;
    }
    auto& zone = zones[upstream.mZone];
    zone.mSlots += upstream.mRegistration.mSlots;
    zone.mInProgress += aLoads[slot].mInProgress;
    if (aShared == nullptr) {
      continue;
    }
    auto const shared =
      aShared->mByProcess.find(ProcessKey(upstream.mRegistration));
    if (shared == aShared->mByProcess.end() ||
        aNow >= shared->second.mAsOf + kSharedLoadMaxAge) {
      continue;
    }
    zone.mInProgress += shared->second.mInProgress;
    load.mIsShared = true;
  }
  SumUp(aNow, aView.mOwnZone, zones, aState, load);
  return load;
}

void
ServiceAdmission::SumUp(TimePoint aNow,
                        std::uint32_t aOwnZone,
                        std::vector<ZoneSum> const& aZones,
                        ServiceState const& aState,
                        ServiceLoad& aLoad)
{
  double slots = 0.0;
  for (auto const& zone : aZones) {
    slots += zone.mSlots;
  }
  if (slots == 0.0) {
    return;
  }
  double relativeTime = 0.0;
  std::optional<double> least;
  for (std::size_t index = 0; index < aZones.size(); ++index) {
    auto const& zone = aZones[index];
    bool const hasAnswers =
      index < aState.mZones.size() &&
      aNow < aState.mZones[index].mLastAnswer + kAnswerMaxAge;
    // A zone whose answers are unknown may have room.
    auto const zoneTime = hasAnswers ? aState.mZones[index].mRelativeTime : 1.0;
    // The VMs of another zone do not report here what they have in progress in
    // it. A request takes longer by one usual time for each one ahead of it in
    // its slot.
    auto const byTime =
      hasAnswers && index != aOwnZone ? zoneTime * zone.mSlots : 0.0;
    aLoad.mUtilisation += std::max(zone.mInProgress, byTime) / slots;
    relativeTime += zoneTime * zone.mSlots / slots;
    if (zone.mSlots >= kMinZoneShare * slots) {
      least = std::min(least.value_or(zoneTime), zoneTime);
    }
  }
  aLoad.mRelativeTime = relativeTime;
  aLoad.mLeastRelativeTime = least.value_or(1.0);
}

void
ServiceAdmission::Review(TimePoint aNow,
                         RoutingView const& aView,
                         std::vector<UpstreamLoad> const& aLoads,
                         SharedLoads const* aShared)
{
  for (auto const& service : aView.mServices) {
    auto const found = mServices.find(HashText(service.mName));
    if (found == mServices.end()) {
      continue;
    }
    auto& state = found->second;
    auto const load = LoadOf(aNow, aView, service, aLoads, aShared, state);
    state.mIsShared = load.mIsShared;
    ReviewService(aNow, load, state);
  }
  std::erase_if(mServices, [&](auto const& aEntry) {
    auto const& state = aEntry.second;
    return !state.mDetector.IsShort() &&
           aNow >= state.mLastOpening + kServiceTimeout;
  });
}

void
ServiceAdmission::ReviewService(TimePoint aNow,
                                ServiceLoad const& aLoad,
                                ServiceState& aState)
{
  bool const wasShort = aState.mDetector.IsShort();
  auto const target = aState.mAdmission.LatencyTarget(aNow);
  // Without openings there is nothing to decide, and no target to judge by.
  auto const load = target == milliseconds{ 0 } ? ServiceLoad{} : aLoad;
  aState.mDetector.Record(aNow, load, std::max(target, milliseconds{ 1 }));
  bool const isShort = aState.mDetector.IsShort();
  if (isShort && !wasShort) {
    (void)aState.mAdmission.TakeCounts();
    AddEvent(ShortageEvent::Kind::Began, aState);
  }
  if (aState.mHasRejected && aNow >= aState.mNextReport) {
    AddEvent(ShortageEvent::Kind::Decided, aState);
    aState.mHasRejected = false;
    aState.mNextReport = aNow + kReportPeriod;
  }
  if (wasShort && !isShort) {
    AddEvent(ShortageEvent::Kind::Ended, aState);
    aState.mAdmission.ForgetCallers();
  }
}

void
ServiceAdmission::AddEvent(ShortageEvent::Kind aKind, ServiceState& aState)
{
  if (mEvents.size() >= kMaxEvents) {
    return;
  }
  auto const& detector = aState.mDetector;
  mEvents.push_back(
    { aKind,
      aState.mName,
      detector.Utilisation(),
      std::chrono::duration_cast<milliseconds>(detector.ExpectedWait()),
      aState.mIsShared,
      aState.mAdmission.TakeCounts() });
}

std::vector<ShortageEvent>
ServiceAdmission::TakeEvents()
{
  return std::exchange(mEvents, {});
}

std::uint32_t
ServiceAdmission::ServicesShort() const
{
  return static_cast<std::uint32_t>(
    std::count_if(mServices.begin(), mServices.end(), [](auto const& aEntry) {
      return aEntry.second.mDetector.IsShort();
    }));
}

} // namespace tarragonsill
