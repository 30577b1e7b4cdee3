#include "tarragonsill/coordination/tarragonsill_expected_delay.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonsill {

namespace {

/// The weight of a flow that has ended in the mean.
constexpr double kFlowSmoothing = 1.0 / 16;
/// The variance of the logarithm of a single relative answer time, for work
/// that varies by half and of which a few percent take several times as long.
constexpr double kAnswerVariance = 0.5;
/// An upstream that answers faster than this share of the mean time rejects
/// requests rather than running them faster than all others.
constexpr double kMinShareOfMean = 0.3;
/// Limits the estimated wait at an upstream whose slots are all in use.
constexpr double kMaxUtilization = 0.95;
/// The share of the slots that counts as free at an upstream without room.
constexpr double kMinRoomShare = 0.05;
/// Delays that differ less, as a share of the longer one, count as equal.
constexpr double kEqualDelayShare = 0.2;

/// The mean and the variance of the logarithms of the upstreams' true relative
/// answer times.
struct RelativeTimeSpread
{
  double mMean = 0.0;
  double mVariance = 0.0;
};

/// The mean of the logarithms; `aVariance` is that between upstreams.
double
MeanLog(std::span<UpstreamDemand const> aDemands, double aVariance)
{
  double weights = 0.0;
  double sum = 0.0;
  for (auto const& demand : aDemands) {
    if (demand.mAnswers <= 0.0) {
      continue;
    }
    auto const weight = 1.0 / (aVariance + kAnswerVariance / demand.mAnswers);
    weights += weight;
    sum += weight * std::log(demand.mRelativeTime);
  }
  return weights > 0.0 ? sum / weights : 0.0;
}

/// Estimates the spread by the method of DerSimonian and Laird (1986), which
/// separates it from the variance that the number of answers explains.
RelativeTimeSpread
EstimateSpread(std::span<UpstreamDemand const> aDemands)
{
  auto const mean = MeanLog(aDemands, 0.0);
  double weights = 0.0;
  double squaredWeights = 0.0;
  double heterogeneity = 0.0;
  double known = 0.0;
  for (auto const& demand : aDemands) {
    auto const weight = demand.mAnswers / kAnswerVariance;
    auto const difference = std::log(demand.mRelativeTime) - mean;
    weights += weight;
    squaredWeights += weight * weight;
    heterogeneity += weight * difference * difference;
    known += weight > 0.0 ? 1.0 : 0.0;
  }
  if (known < 2.0) {
    return { mean, 0.0 };
  }
  auto const excess = std::max(0.0, heterogeneity - (known - 1.0));
  auto const variance = excess / (weights - squaredWeights / weights);
  return { MeanLog(aDemands, variance), variance };
}

/// The mean wait for one of several slots as a multiple of the service time, by
/// Sakasegawa's approximation (1977).
double
MeanWait(double aUtilization, double aSlots)
{
  auto const utilization = std::min(aUtilization, kMaxUtilization);
  auto const exponent = std::sqrt(2.0 * (aSlots + 1.0)) - 1.0;
  return std::pow(utilization, exponent) / (aSlots * (1.0 - utilization));
}

/// Discards what is known of upstreams that seem to reject requests: their
/// answers do not show their speed, nor do the few flows that are left.
void
DiscardRejections(std::span<UpstreamDemand> aDemands)
{
  auto const mean = std::exp(EstimateSpread(aDemands).mMean);
  for (auto& demand : aDemands) {
    if (demand.mRelativeTime >= kMinShareOfMean * mean) {
      continue;
    }
    demand.mAnswers = 0.0;
    demand.mIsShared = false;
  }
}

/// Gives upstreams of unknown load the mean load of a slot of the others.
void
AssumeUsualLoad(std::span<UpstreamDemand> aDemands)
{
  double slots = 0.0;
  double flows = 0.0;
  double inProgress = 0.0;
  for (auto const& demand : aDemands) {
    if (!demand.mIsShared) {
      continue;
    }
    slots += demand.mSlots;
    flows += demand.mFlows;
    inProgress += demand.mInProgress;
  }
  for (auto& demand : aDemands) {
    if (demand.mIsShared || slots <= 0.0) {
      continue;
    }
    auto const share = demand.mSlots / slots;
    demand.mFlows = std::max(demand.mFlows, share * flows);
    demand.mInProgress = std::max(demand.mInProgress, share * inProgress);
  }
}

/// The slots that an open flow keeps busy at an upstream of usual speed, from
/// all upstreams together: the requests in progress at a single one are few,
/// and change faster than they are reported.
double
BusySlotsPerFlow(std::span<UpstreamDemand const> aDemands,
                 std::span<double const> aRelativeTimes)
{
  double busy = 0.0;
  double flows = 0.0;
  for (std::size_t index = 0; index < aDemands.size(); ++index) {
    auto const& demand = aDemands[index];
    busy += std::min(demand.mInProgress, demand.mSlots);
    flows += demand.mFlows * aRelativeTimes[index];
  }
  return flows > 0.0 ? busy / flows : 0.0;
}

/// Draws an index in proportion to the room; `aTotal` is the room of all.
std::size_t
DrawByRoom(std::span<DelayEstimate const> aEstimates,
           double aTotal,
           std::mt19937_64& aRandom)
{
  std::uniform_real_distribution<double> draw(0.0, aTotal);
  auto point = draw(aRandom);
  for (std::size_t index = 0; index + 1 < aEstimates.size(); ++index) {
    point -= aEstimates[index].mRoom;
    if (point < 0.0) {
      return index;
    }
  }
  return aEstimates.size() - 1;
}

bool
IsBetter(DelayEstimate const& aLeft, DelayEstimate const& aRight)
{
  auto const longer = std::max(aLeft.mDelay, aRight.mDelay);
  bool const isEqual =
    std::abs(aLeft.mDelay - aRight.mDelay) < kEqualDelayShare * longer;
  return isEqual ? aLeft.mUtilization < aRight.mUtilization
                 : aLeft.mDelay < aRight.mDelay;
}

} // namespace

void
RequestsPerFlow::RecordFlow(std::uint32_t aRequests)
{
  ++mFlows;
  auto const weight = std::max(1.0 / mFlows, kFlowSmoothing);
  mMean += weight * (std::max(1U, aRequests) - mMean);
}

std::vector<double>
ShrunkRelativeTimes(std::span<UpstreamDemand const> aDemands)
{
  auto const spread = EstimateSpread(aDemands);
  std::vector<double> times;
  times.reserve(aDemands.size());
  for (auto const& demand : aDemands) {
    auto const certainty = demand.mAnswers * spread.mVariance;
    auto const trust = certainty / (certainty + kAnswerVariance);
    auto const difference = std::log(demand.mRelativeTime) - spread.mMean;
    times.push_back(std::exp(spread.mMean + trust * difference));
  }
  return times;
}

std::vector<DelayEstimate>
EstimateDelays(std::span<UpstreamDemand const> aDemands,
               double aRequestsPerFlow)
{
  std::vector<UpstreamDemand> demands(aDemands.begin(), aDemands.end());
  DiscardRejections(demands);
  AssumeUsualLoad(demands);
  auto const times = ShrunkRelativeTimes(demands);
  auto const busyPerFlow = BusySlotsPerFlow(demands, times);
  std::vector<DelayEstimate> estimates;
  estimates.reserve(demands.size());
  for (std::size_t index = 0; index < demands.size(); ++index) {
    auto const& demand = demands[index];
    auto const time = times[index];
    auto const slots = demand.mSlots;
    auto const busy = busyPerFlow * demand.mFlows * time;
    auto const queued = std::max(0.0, demand.mInProgress - slots);
    auto const laterWait = MeanWait(busy / slots, slots);
    auto const waitNow =
      std::max(0.0, demand.mInProgress + 1.0 - slots) / slots;
    auto const firstWait = std::max(laterWait, waitNow);
    auto const wait =
      laterWait + (firstWait - laterWait) / std::max(1.0, aRequestsPerFlow);
    auto const freeSlots = std::max(kMinRoomShare * slots, slots - queued);
    estimates.push_back(
      { time * (1.0 + wait), busy / slots, freeSlots / time });
  }
  return estimates;
}

std::size_t
ChooseByDelay(std::span<DelayEstimate const> aEstimates,
              std::mt19937_64& aRandom)
{
  if (std::bernoulli_distribution(kTrialShare)(aRandom)) {
    std::uniform_int_distribution<std::size_t> any(0, aEstimates.size() - 1);
    return any(aRandom);
  }
  double total = 0.0;
  for (auto const& estimate : aEstimates) {
    total += estimate.mRoom;
  }
  auto best = DrawByRoom(aEstimates, total, aRandom);
  for (int draw = 1; draw < kDraws; ++draw) {
    auto const other = DrawByRoom(aEstimates, total, aRandom);
    if (IsBetter(aEstimates[other], aEstimates[best])) {
      best = other;
    }
  }
  return best;
}

} // namespace tarragonsill
