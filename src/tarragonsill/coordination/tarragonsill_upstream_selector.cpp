#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// A request in progress weighs as much as this many open flows, as most flows
/// rest most of the time.
constexpr double kInProgressWeight = 2.0;
/// Added for an upstream of another zone: a cut between zones harms no flow
/// that stays inside one.
constexpr double kOtherZoneCost = 1e3;
/// Answers that take this many times the usual time wait in a queue; a cold
/// upstream takes 1.6 times as long (operators' deployments).
constexpr double kSaturation = 2.5;
/// Waiting for less than this part of the latency target harms no caller.
constexpr double kTargetPart = 0.2;
/// The weight of one more answer.
constexpr double kSmoothing = 1.0 / 32;
constexpr std::uint32_t kMinAnswers = 64;
/// The usual time rises by this part in a second, so that a lasting change of
/// the work becomes usual.
constexpr double kDrift = 0.01;
/// Without any answer for this long nothing is known of a queue.
constexpr milliseconds kPressureFor{ 2000 };
/// Added for an upstream whose registration is missing.
constexpr double kMissingCost = 1e5;
/// Added for an upstream that owes answers; those that go silent come last.
constexpr double kDoubtfulCost = 1e6;
constexpr double kSilentCost = 1e7;
/// Views may differ for a while, so that two VMs take themselves for the one
/// that gives work to a cold upstream; each uses this part of its limit.
constexpr double kColdShare = 0.5;

} // namespace

void
ZonePressure::RecordAnswer(TimePoint aNow, Duration aTime)
{
  std::chrono::duration<double> const time = aTime;
  std::chrono::duration<double> const elapsed =
    mAnswers == 0 ? Duration{ 0 } : aNow - mLast;
  mRecent += (mAnswers == 0 ? 1.0 : kSmoothing) * (time - mRecent);
  mLast = aNow;
  if (++mAnswers < kMinAnswers) {
    mUsual = mRecent;
    return;
  }
  mUsual = std::min(mUsual * (1.0 + kDrift * elapsed.count()), mRecent);
}

bool
ZonePressure::IsSaturated(TimePoint aNow, milliseconds aLatencyTarget) const
{
  bool const isKnown = mAnswers >= kMinAnswers && aNow < mLast + kPressureFor;
  return isKnown && mRecent > kSaturation * mUsual &&
         mRecent - mUsual > kTargetPart * aLatencyTarget;
}

std::chrono::duration<double>
ZonePressure::Usual() const
{
  return mAnswers >= kMinAnswers ? mUsual : mUsual.zero();
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
UpstreamSelector::MayTake(ResolvedUpstream const& aUpstream)
{
  bool const inUse = aUpstream.mAvailability == UpstreamAvailability::Serving ||
                     aUpstream.mAvailability == UpstreamAvailability::Missing;
  return inUse && !aUpstream.mEvacuated;
}

bool
UpstreamSelector::MayTakeCold(TimePoint aNow,
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
  auto& starts = aLoad.mColdStarts;
  while (!starts.empty() && aNow >= starts.front() + seconds{ 1 }) {
    starts.pop_front();
  }
  auto const share = mMechanisms.Uses(Mechanism::ColdShare) ? kColdShare : 1.0;
  return static_cast<double>(starts.size() + 1) <= aUpstream.mColdLimit * share;
}

double
UpstreamSelector::Cost(TimePoint aNow,
                       RoutingView const& aView,
                       ResolvedUpstream const& aUpstream,
                       UpstreamLoad const& aLoad,
                       bool aIsZoneSaturated) const
{
  auto const slots = static_cast<double>(aUpstream.mRegistration.mSlots);
  // The flow to come counts, too, or a slow upstream without any looked free.
  auto const work = aLoad.mFlows + 1 + kInProgressWeight * aLoad.mInProgress;
  auto const slowness = mMechanisms.Uses(Mechanism::AnswerPace)
                          ? aLoad.mAnswerTime.Slowness(aNow)
                          : 1.0;
  double cost = work * slowness / slots;
  // Where this VM alone has filled every slot the next request waits, while
  // another zone is a millisecond away.
  bool const isFull =
    mMechanisms.Uses(Mechanism::SlotSpill) &&
    aLoad.mInProgress + aLoad.mOpening >= aUpstream.mRegistration.mSlots;
  bool const isElsewhere =
    mMechanisms.Uses(Mechanism::ZoneFirst) && aUpstream.mZone != aView.mOwnZone;
  bool const spills =
    aIsZoneSaturated && mMechanisms.Uses(Mechanism::ZoneSpill);
  if ((isElsewhere || isFull) && !spills) {
    cost += kOtherZoneCost;
  }
  if (aUpstream.mAvailability == UpstreamAvailability::Missing) {
    cost += kMissingCost;
  }
  return cost + HealthCost(aNow, aLoad.mPassiveHealth);
}

double
UpstreamSelector::HealthCost(TimePoint aNow,
                             PassiveHealthTracker const& aTracker) const
{
  bool const isTried =
    mMechanisms.Uses(Mechanism::Probation) && aTracker.IsTrialFlowDue(aNow);
  if (isTried || !mMechanisms.Uses(Mechanism::DoubtfulLast)) {
    return 0.0;
  }
  switch (aTracker.Health(aNow)) {
    case UpstreamHealth::Answering:
      return 0.0;
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
                       Situation const& aSituation)
{
  auto& loads = aSituation.mLoads;
  std::optional<UpstreamSelection> best;
  std::uint32_t candidates = 0;
  std::uint32_t ties = 0;
  for (auto const slot : aService.mUpstreams) {
    auto const& upstream = aView.mUpstreams[slot];
    bool const isCold = aNow < upstream.mColdUntil;
    if (!MayTake(upstream) ||
        (isCold && !MayTakeCold(aNow, aView, upstream, loads[slot]))) {
      continue;
    }
    ++candidates;
    auto cost =
      Cost(aNow, aView, upstream, loads[slot], aSituation.mIsZoneSaturated);
    if (aSituation.mAvoid == slot) {
      cost += kSilentCost;
    }
    if (best && cost > best->mCost) {
      continue;
    }
    ties = best && cost == best->mCost ? ties + 1 : 1;
    // Equal candidates get equal chances.
    std::uniform_int_distribution<std::uint32_t> draw(1, ties);
    if (draw(mRandom) == 1) {
      best = UpstreamSelection{ slot, cost, 0 };
    }
  }
  if (!best) {
    return std::nullopt;
  }
  best->mCandidates = candidates;
  auto& chosen = loads[best->mSlot];
  if (aNow < aView.mUpstreams[best->mSlot].mColdUntil) {
    chosen.mColdStarts.push_back(aNow);
  }
  if (chosen.mPassiveHealth.Health(aNow) != UpstreamHealth::Answering) {
    chosen.mPassiveHealth.RecordTrialFlow(aNow);
  }
  return best;
}

} // namespace tarragonsill
