#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// The weight of a request in progress relative to an open flow, as most flows
/// are idle most of the time.
constexpr double kInProgressWeight = 2.0;
/// Added for an upstream in another zone. Flows within one zone are not
/// affected by a cut between zones.
constexpr double kOtherZoneCost = 1e3;
/// Requests are queued if their answers take this many times the baseline. The
/// answers of a cold upstream take 1.6 times the baseline (operators'
/// deployments).
constexpr double kSaturationRatio = 2.5;
/// A delay below this share of the latency target is acceptable.
constexpr double kMinDelayShareOfTarget = 0.2;
/// The weight of each new answer in the moving average.
constexpr double kSmoothing = 1.0 / 32;
constexpr std::uint32_t kMinAnswers = 64;
/// The share by which the baseline rises per second, so that it follows lasting
/// changes of the answer time.
constexpr double kBaselineDriftPerSecond = 0.01;
/// Without answers for this time, the saturation is unknown.
constexpr milliseconds kEstimateMaxAge{ 2000 };
/// Added for an upstream in the zone of one that did not answer the same flow:
/// upstreams of a zone often fail together. Exceeds `kOtherZoneCost`.
constexpr double kAvoidedZoneCost = 3e3;
/// Added for an upstream whose registration is missing.
constexpr double kMissingCost = 1e5;
/// Added for suspected upstreams, and for silent and unreachable ones, which
/// come last.
constexpr double kDoubtfulCost = 1e6;
constexpr double kSilentCost = 1e7;
/// While views differ, two VMs may both admit flows to a cold upstream; each
/// uses this share of the limit.
constexpr double kColdShare = 0.5;

} // namespace

void
ZoneSaturationDetector::RecordAnswer(TimePoint aNow, Duration aTime)
{
  std::chrono::duration<double> const time = aTime;
  std::chrono::duration<double> const elapsed =
    mAnswers == 0 ? Duration{ 0 } : aNow - mLastAnswer;
  mSmoothed += (mAnswers == 0 ? 1.0 : kSmoothing) * (time - mSmoothed);
  mLastAnswer = aNow;
  if (++mAnswers < kMinAnswers) {
    mBaseline = mSmoothed;
    return;
  }
  mBaseline = std::min(
    mBaseline * (1.0 + kBaselineDriftPerSecond * elapsed.count()), mSmoothed);
}

bool
ZoneSaturationDetector::IsSaturated(TimePoint aNow,
                                    milliseconds aLatencyTarget) const
{
  bool const isKnown =
    mAnswers >= kMinAnswers && aNow < mLastAnswer + kEstimateMaxAge;
  return isKnown && mSmoothed > kSaturationRatio * mBaseline &&
         mSmoothed - mBaseline > kMinDelayShareOfTarget * aLatencyTarget;
}

std::chrono::duration<double>
ZoneSaturationDetector::Baseline() const
{
  return mAnswers >= kMinAnswers ? mBaseline : mBaseline.zero();
}

std::uint32_t
UpstreamSelector::PickService(ResolvedRoute const& aRoute)
{
  std::uint32_t total = 0;
  for (auto const& share : aRoute.mShares) {
    total += share.mWeight;
  }
  if (total == 0) {
    return aRoute.mShares.front().mService;
  }
  std::uniform_int_distribution<std::uint32_t> draw(0, total - 1);
  auto point = draw(mRandom);
  for (auto const& share : aRoute.mShares) {
    if (point < share.mWeight) {
      return share.mService;
    }
    point -= share.mWeight;
  }
  return aRoute.mShares.back().mService;
}

bool
UpstreamSelector::CanTakeNewFlows(ResolvedUpstream const& aUpstream)
{
  bool const isAvailable =
    aUpstream.mAvailability == UpstreamAvailability::Serving ||
    aUpstream.mAvailability == UpstreamAvailability::Missing;
  return isAvailable && !aUpstream.mEvacuated;
}

bool
UpstreamSelector::CanTakeColdFlow(TimePoint aNow,
                                  RoutingView const& aView,
                                  ResolvedUpstream const& aUpstream,
                                  UpstreamLoad& aLoad) const
{
  if (aView.mAdmittingVms.empty()) {
    return false;
  }
  auto const first = RankCandidates(aUpstream.mCookie, aView.mAdmittingVms, 1);
  if (aView.mAdmittingVms[first.front()] != aView.mSelf) {
    return false;
  }
  auto& flowTimes = aLoad.mColdFlowTimes;
  while (!flowTimes.empty() && aNow >= flowTimes.front() + seconds{ 1 }) {
    flowTimes.pop_front();
  }
  auto const share = mMechanisms.Uses(Mechanism::ColdShare) ? kColdShare : 1.0;
  return static_cast<double>(flowTimes.size() + 1) <=
         aUpstream.mColdLimit * share;
}

double
UpstreamSelector::LoadCost(TimePoint aNow,
                           RoutingView const& aView,
                           std::uint32_t aSlot,
                           SelectionContext const& aContext) const
{
  auto const& upstream = aView.mUpstreams[aSlot];
  auto const& load = aContext.mLoads[aSlot];
  auto const slots = static_cast<double>(upstream.mRegistration.mSlots);
  // Include the new flow, or a slow upstream without flows would cost nothing.
  auto const work = load.mFlows + 1 + kInProgressWeight * load.mInProgress;
  auto const slowness = mMechanisms.Uses(Mechanism::AnswerPace)
                          ? load.mAnswerTime.Slowness(aNow)
                          : 1.0;
  return work * slowness / slots;
}

double
UpstreamSelector::Rank(TimePoint aNow,
                       RoutingView const& aView,
                       std::uint32_t aSlot,
                       SelectionContext const& aContext) const
{
  auto const& upstream = aView.mUpstreams[aSlot];
  auto const& load = aContext.mLoads[aSlot];
  double cost = 0.0;
  // If this VM alone has filled every slot, the next request is queued, while
  // the round trip to another zone takes only a millisecond.
  bool const isFull =
    mMechanisms.Uses(Mechanism::SlotSpill) &&
    load.mInProgress + load.mOpeningFlows >= upstream.mRegistration.mSlots;
  bool const isOtherZone =
    mMechanisms.Uses(Mechanism::ZoneFirst) && upstream.mZone != aView.mOwnZone;
  bool const spillsOver =
    aContext.mIsZoneSaturated && mMechanisms.Uses(Mechanism::ZoneSpill);
  if ((isOtherZone || isFull) && !spillsOver) {
    cost += kOtherZoneCost;
  }
  if (upstream.mAvailability == UpstreamAvailability::Missing) {
    cost += kMissingCost;
  }
  if (aContext.mAvoid == aSlot) {
    cost += kSilentCost;
  }
  bool const isInAvoidedZone =
    aContext.mAvoid &&
    aView.mUpstreams[*aContext.mAvoid].mZone == upstream.mZone;
  if (isInAvoidedZone) {
    cost += kAvoidedZoneCost;
  }
  return cost + HealthCost(aNow,
                           load.mPassiveHealth,
                           aContext.mZoneSilence[upstream.mZone]);
}

double
UpstreamSelector::HealthCost(TimePoint aNow,
                             PassiveHealthTracker const& aTracker,
                             ZoneSilenceDetector const& aZoneSilence) const
{
  bool const isZoneSilent =
    mMechanisms.Uses(Mechanism::SilentZones) && aZoneSilence.IsSilent(aNow);
  // A trial flow of a silent zone stands for all of the zone's upstreams.
  bool const isTrialFlow = mMechanisms.Uses(Mechanism::Probation) &&
                           aTracker.IsTrialFlowDue(aNow) &&
                           (!isZoneSilent || aZoneSilence.IsTrialFlowDue(aNow));
  if (isTrialFlow || !mMechanisms.Uses(Mechanism::DoubtfulLast)) {
    return 0.0;
  }
  switch (aTracker.Health(aNow)) {
    case UpstreamHealth::Answering:
      return isZoneSilent ? kDoubtfulCost : 0.0;
    case UpstreamHealth::Doubtful:
      return kDoubtfulCost;
    case UpstreamHealth::Silent:
    case UpstreamHealth::Unreachable:
      return kSilentCost;
  }
  return 0.0;
}

std::optional<UpstreamSelection>
UpstreamSelector::Pick(TimePoint aNow,
                       RoutingView const& aView,
                       ResolvedService const& aService,
                       SelectionContext const& aContext)
{
  auto& loads = aContext.mLoads;
  std::optional<UpstreamSelection> best;
  mCandidates.clear();
  std::uint32_t ties = 0;
  for (auto const slot : aService.mUpstreams) {
    auto const& upstream = aView.mUpstreams[slot];
    bool const isCold = IsCold(aNow, upstream, loads[slot]);
    if (!CanTakeNewFlows(upstream) ||
        (isCold && !CanTakeColdFlow(aNow, aView, upstream, loads[slot]))) {
      continue;
    }
    auto const rank = Rank(aNow, aView, slot, aContext);
    auto const cost = LoadCost(aNow, aView, slot, aContext) + rank;
    mCandidates.push_back({ slot, rank });
    if (best && cost > best->mCost) {
      continue;
    }
    ties = best && cost == best->mCost ? ties + 1 : 1;
    // Reservoir sampling selects one of the candidates of equal cost.
    std::uniform_int_distribution<std::uint32_t> draw(1, ties);
    if (draw(mRandom) == 1) {
      best = UpstreamSelection{ slot, cost, 0 };
    }
  }
  if (!best) {
    return std::nullopt;
  }
  best->mCandidates = static_cast<std::uint32_t>(mCandidates.size());
  if (auto const byDelay = PickByDelay(aNow, aView, aContext, *best)) {
    best = byDelay;
  }
  auto& chosen = loads[best->mSlot];
  auto& zoneSilence =
    aContext.mZoneSilence[aView.mUpstreams[best->mSlot].mZone];
  if (zoneSilence.IsTrialFlowDue(aNow)) {
    zoneSilence.RecordTrialFlow(aNow);
  }
  if (IsCold(aNow, aView.mUpstreams[best->mSlot], chosen)) {
    chosen.mColdFlowTimes.push_back(aNow);
  }
  if (chosen.mPassiveHealth.Health(aNow) != UpstreamHealth::Answering) {
    chosen.mPassiveHealth.RecordTrialFlow(aNow);
  }
  return best;
}

} // namespace tarragonsill
