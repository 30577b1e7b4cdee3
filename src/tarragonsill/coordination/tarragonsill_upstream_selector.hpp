#ifndef TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED
#define TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"
#include "tarragonsill/coordination/tarragonsill_relative_answer_time.hpp"
#include "tarragonsill/coordination/tarragonsill_zone_silence_detector.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_routing_view.hpp"
#include "tarragonsill/state/tarragonsill_shared_load.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <vector>

/// Selects the upstream of a new flow: the least loaded one, preferring the
/// VM's own zone. Suspected upstreams come last, and cold upstreams get few
/// flows.
namespace tarragonsill {

/// The load and health of an upstream as observed by this VM.
struct UpstreamLoad
{
  std::uint32_t mFlows = 0;      ///< Flows that pass through this VM.
  std::uint32_t mInProgress = 0; ///< Unanswered requests.
  /// Flows whose handshake is in progress; each sends a request shortly.
  std::uint32_t mOpeningFlows = 0;
  PassiveHealthTracker mPassiveHealth;
  /// Whether no upstream of its zone answered when it was last probed.
  bool mIsInSilentZone = false;
  RelativeAnswerTime mAnswerTime;
  /// When this VM admitted flows to the cold upstream within the last second.
  std::deque<TimePoint> mColdFlowTimes;
  /// Until when it may be cold although its registration does not tell.
  TimePoint mMayBeColdUntil{};
};

/// Detects from answer times whether requests are queued at a service's
/// upstreams in the VM's own zone. The load on these upstreams from other VMs
/// is unknown, but the requests of all VMs wait in the same queues.
class ZoneSaturationDetector
{
public:
  /// Records the time that a request in the own zone took.
  void RecordAnswer(TimePoint aNow, Duration aTime);
  /// Whether answers take much longer than without queueing, and the delay is a
  /// considerable share of the latency target.
  bool IsSaturated(TimePoint aNow, milliseconds aLatencyTarget) const;
  /// The answer time without queueing; 0 while it is unknown.
  std::chrono::duration<double> Baseline() const;

private:
  std::chrono::duration<double> mSmoothed{ 0 }; ///< A moving average.
  std::chrono::duration<double> mBaseline{ 0 }; ///< The recent minimum.
  std::uint32_t mAnswers = 0;
  TimePoint mLastAnswer{};
};

/// The selected upstream, its cost and the number of candidates.
struct UpstreamSelection
{
  std::uint32_t mSlot = 0;
  double mCost = 0.0;
  std::uint32_t mCandidates = 0;
  /// Whether the cost is the expected delay, relative to the usual answer time,
  /// from the loads of all VMs.
  bool mIsByDelay = false;
};

class UpstreamSelector
{
public:
  explicit UpstreamSelector(std::uint64_t aSeed, Mechanisms aMechanisms = {})
    : mRandom(aSeed)
    , mMechanisms(aMechanisms)
  {
  }

  /// Picks one of a route's services at random by weight; the route has at
  /// least one.
  std::uint32_t PickService(ResolvedRoute const& aRoute);
  /// The input of a selection besides the routing view.
  struct SelectionContext
  {
    std::vector<UpstreamLoad>& mLoads;
    /// By zone.
    std::vector<ZoneSilenceDetector>& mZoneSilence;
    /// Whether requests are queued at the own zone's upstreams.
    bool mIsZoneSaturated = false;
    /// An upstream that has already been offered this flow.
    std::optional<std::uint32_t> mAvoid;
    /// What the other VMs of the zone observe; may be null.
    SharedLoads const* mSharedLoads = nullptr;
    /// The mean number of requests of the route's flows.
    double mRequestsPerFlow = 1.0;
  };
  /// Selects the upstream for a new flow.
  std::optional<UpstreamSelection> Pick(TimePoint aNow,
                                        RoutingView const& aView,
                                        ResolvedService const& aService,
                                        SelectionContext const& aContext);

  /// Whether an upstream is cold, or may be.
  static bool IsCold(TimePoint aNow,
                     ResolvedUpstream const& aUpstream,
                     UpstreamLoad const& aLoad)
  {
    return aNow < aUpstream.mColdUntil || aNow < aLoad.mMayBeColdUntil;
  }
  /// Whether an upstream may get new flows.
  static bool CanTakeNewFlows(ResolvedUpstream const& aUpstream);

private:
  /// Whether this VM may admit another flow to a cold upstream.
  bool CanTakeColdFlow(TimePoint aNow,
                       RoutingView const& aView,
                       ResolvedUpstream const& aUpstream,
                       UpstreamLoad& aLoad) const;
  /// The cost of an upstream's load as observed by this VM.
  double LoadCost(TimePoint aNow,
                  RoutingView const& aView,
                  std::uint32_t aSlot,
                  SelectionContext const& aContext) const;
  /// The cost of what goes before the load: health, registration and zone.
  double Rank(TimePoint aNow,
              RoutingView const& aView,
              std::uint32_t aSlot,
              SelectionContext const& aContext) const;
  /// The cost added for the health of an upstream and of its zone.
  double HealthCost(TimePoint aNow,
                    PassiveHealthTracker const& aTracker,
                    ZoneSilenceDetector const& aZoneSilence) const;

  /// Selects one of the candidates of the same rank as that of least cost by
  /// the expected delay, if the loads of other VMs are known.
  std::optional<UpstreamSelection> PickByDelay(
    TimePoint aNow,
    RoutingView const& aView,
    SelectionContext const& aContext,
    UpstreamSelection const& aLeastCost);

  struct Candidate
  {
    std::uint32_t mSlot = 0;
    double mRank = 0.0;
  };

  std::mt19937_64 mRandom;
  Mechanisms mMechanisms;
  std::vector<Candidate> mCandidates; ///< Of the selection in progress.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED
