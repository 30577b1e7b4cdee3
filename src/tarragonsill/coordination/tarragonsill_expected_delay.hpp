#ifndef TARRAGONSILL_EXPECTED_DELAY_HPP_INCLUDED
#define TARRAGONSILL_EXPECTED_DELAY_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <vector>

/// Estimates how long work takes at each upstream of a service from what all
/// VMs of a zone observe, and chooses one for a new flow.
namespace tarragonsill {

/// What all VMs of the zone, this one included, have at an upstream.
struct UpstreamDemand
{
  double mSlots = 1.0;
  double mFlows = 0.0;
  double mInProgress = 0.0;
  /// Whether `mFlows` and `mInProgress` include the other VMs.
  bool mIsShared = true;
  /// The answers that `mRelativeTime` rests on.
  double mAnswers = 0.0;
  /// The geometric mean of the answer times relative to the usual time of their
  /// kind of request; above 0.
  double mRelativeTime = 1.0;
};

/// What a new flow may expect at an upstream.
struct DelayEstimate
{
  /// The mean answer time, relative to the usual one.
  double mDelay = 1.0;
  /// The share of the slots that the open flows keep busy.
  double mUtilization = 0.0;
  /// The spare rate of requests, in requests per usual answer time.
  double mRoom = 1.0;
};

/// The mean number of requests of a route's flows.
class RequestsPerFlow
{
public:
  /// Records a flow that has ended.
  void RecordFlow(std::uint32_t aRequests);
  /// 1 while no flow has ended.
  double Mean() const { return mMean; }

private:
  double mMean = 1.0;
  std::uint32_t mFlows = 0;
};

/// Returns the relative answer times, each shrunk towards the mean of all by
/// what its number of answers leaves uncertain. If the differences are not
/// larger than chance explains, all are equal.
std::vector<double> ShrunkRelativeTimes(
  std::span<UpstreamDemand const> aDemands);

/// Estimates the delay of a flow with the given number of requests at each
/// upstream. The first request meets the queue of this moment, later ones the
/// lasting utilization.
std::vector<DelayEstimate> EstimateDelays(
  std::span<UpstreamDemand const> aDemands,
  double aRequestsPerFlow);

/// Chooses an upstream: the better of two that are drawn in proportion to their
/// room. Many VMs with the same estimates do not choose the same upstream, and
/// none is chosen more than `kDraws` times as often as its share of the room,
/// plus its part of the trial flows. Requires at least one estimate.
std::size_t ChooseByDelay(std::span<DelayEstimate const> aEstimates,
                          std::mt19937_64& aRandom);

/// The number of upstreams that `ChooseByDelay` draws.
constexpr int kDraws = 2;
/// The share of new flows that go to any upstream, so that its speed stays
/// known.
constexpr double kTrialShare = 1.0 / 32;

} // namespace tarragonsill

#endif // TARRAGONSILL_EXPECTED_DELAY_HPP_INCLUDED
