#ifndef TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED
#define TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"
#include "tarragonsill/coordination/tarragonsill_relative_answer_time.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_routing_view.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <random>
#include <vector>

/// Chooses the upstream of a new flow: its own zone first, then the least
/// loaded, with no work for the overdue and little for the cold.
namespace tarragonsill {

/// What this VM has seen of an upstream.
struct UpstreamLoad
{
  std::uint32_t mFlows = 0;      ///< Flows that pass this VM.
  std::uint32_t mInProgress = 0; ///< Requests without an answer yet.
  /// Flows that open; each brings a request a moment later.
  std::uint32_t mOpeningFlows = 0;
  PassiveHealthTracker mPassiveHealth;
  RelativeAnswerTime mAnswerTime;
  /// When this VM gave it new flows while it was cold; the last second.
  std::deque<TimePoint> mColdFlowTimes;
};

/// Whether the own zone's upstreams of a service let requests wait, judged from
/// the time that answers take. A VM's share of the zone's requests says little
/// about the others' share, but each of its requests waits in the same queues.
class ZoneSaturationDetector
{
public:
  /// A request of the own zone was answered.
  void RecordAnswer(TimePoint aNow, Duration aTime);
  /// Answers take much longer than they do without a queue, by a part of the
  /// time in which callers want them.
  bool IsSaturated(TimePoint aNow, milliseconds aLatencyTarget) const;
  /// What an answer takes without a queue; 0 while it is not known.
  std::chrono::duration<double> Baseline() const;

private:
  std::chrono::duration<double> mSmoothed{ 0 }; ///< Smoothed over some answers.
  std::chrono::duration<double> mBaseline{ 0 }; ///< The least of late.
  std::uint32_t mAnswers = 0;
  TimePoint mLastAnswer{};
};

/// A choice and what decided it.
struct UpstreamSelection
{
  std::uint32_t mSlot = 0;
  double mCost = 0.0;
  std::uint32_t mCandidates = 0;
};

class UpstreamSelector
{
public:
  explicit UpstreamSelector(std::uint64_t aSeed, Mechanisms aMechanisms = {})
    : mRandom(aSeed)
    , mMechanisms(aMechanisms)
  {
  }

  /// Draws one of a route's services by weight; the route has at least one.
  std::uint32_t PickService(ResolvedRoute const& aRoute);
  /// What a choice goes by besides the view.
  struct SelectionContext
  {
    std::vector<UpstreamLoad>& mLoads;
    /// The own zone's upstreams have no room for more.
    bool mIsZoneSaturated = false;
    /// An upstream that was offered this flow already.
    std::optional<std::uint32_t> mAvoid;
  };
  /// Picks the upstream for a new flow.
  std::optional<UpstreamSelection> Pick(TimePoint aNow,
                                        RoutingView const& aView,
                                        ResolvedService const& aService,
                                        SelectionContext const& aContext);

  /// Says whether an upstream may be given any new flow.
  static bool CanTakeNewFlows(ResolvedUpstream const& aUpstream);

private:
  /// Whether a cold upstream may be given one more flow by this VM.
  bool CanTakeColdFlow(TimePoint aNow,
                       RoutingView const& aView,
                       ResolvedUpstream const& aUpstream,
                       UpstreamLoad& aLoad) const;
  double Cost(TimePoint aNow,
              RoutingView const& aView,
              ResolvedUpstream const& aUpstream,
              UpstreamLoad const& aLoad,
              bool aIsZoneSaturated) const;
  /// What an upstream's health adds.
  double HealthCost(TimePoint aNow, PassiveHealthTracker const& aTracker) const;

  std::mt19937_64 mRandom;
  Mechanisms mMechanisms;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_UPSTREAM_SELECTOR_HPP_INCLUDED
