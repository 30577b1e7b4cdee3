#ifndef TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
#define TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// Selects the upstreams to probe with a connection, and evaluates the results.
///
/// Passive health checks suspect an upstream when callers retransmit, but a
/// single flow has to retransmit for more than a second before that proves a
/// crash. A refused or unanswered connection, while another upstream accepts
/// one, keeps new flows away much sooner. Upstreams often become unreachable in
/// groups, so once one is found, other silent upstreams are probed before their
/// callers notice.
namespace tarragonsill {

/// The outcome of a connection attempt to an upstream.
enum class ConnectResult : std::uint8_t
{
  Accepted,
  Refused, ///< No process listens on the port.
  /// Accepted and then reset, as by an upstream at its connection limit. It
  /// runs, and serves the flows that it has.
  Reset,
  /// Not answered before the timeout, but not shown that its host is silent:
  /// its queue of new connections may be full.
  Stalled,
  NoAnswer, ///< Neither the upstream nor its host answered.
};

std::string_view ToText(ConnectResult aResult);
/// Whether the result shows that the upstream's process runs.
bool IsRunning(ConnectResult aResult);

class ActiveHealthChecker
{
public:
  /// Limits of the interval between two probes of an upstream, which doubles
  /// with each failed probe.
  static constexpr milliseconds kMinBackoff{ 500 };
  static constexpr milliseconds kMaxBackoff{ 4000 };
  /// Without a caller's packet as evidence, an unanswered probe is confirmed by
  /// another one after `kMinBackoff` and within this time. Many VMs may probe
  /// an upstream at once, and a full queue of new connections drops all probes
  /// of that moment.
  static constexpr milliseconds kConfirmationTime{ 4000 };
  /// The interval after an accepted connection.
  static constexpr milliseconds kAcceptedInterval =
    PassiveHealthTracker::kAcceptedInterval;
  /// One event can make many upstreams unreachable at once. Upstreams that
  /// accepted a connection within this time are exempt from follow-up probes.
  static constexpr milliseconds kFollowUpInterval{ 6000 };
  /// Limits simultaneous connections, which are costly on the operators'
  /// platform.
  static constexpr std::size_t kMaxProbesPerRound = 16;
  /// For this period after an upstream is found unreachable, other upstreams
  /// that carry flows and have not answered for `kFollowUpSilence` are probed.
  static constexpr milliseconds kFollowUpPeriod{ 1500 };
  static constexpr milliseconds kFollowUpSilence{ 150 };
  /// An upstream that answered within this time is reachable, unless this VM's
  /// own link has failed.
  static constexpr milliseconds kReferenceMaxAge{ 2000 };

  /// Requests a probe of an upstream whose answer is overdue.
  void RequestProbe(std::uint32_t aSlot) { mProbeRequests.insert(aSlot); }
  /// Requests probes of suspected upstreams, of silent ones whose registration
  /// is missing, and follow-up probes. Must be called several times a second.
  void ReviewUpstreams(TimePoint aNow,
                       RoutingView const& aView,
                       std::vector<UpstreamLoad> const& aLoads);
  /// Starts a round of probes if any are due and no round is in progress.
  /// Returns the slots to probe, including that of a reference upstream.
  std::vector<std::uint32_t> StartRound(
    TimePoint aNow,
    std::vector<UpstreamLoad> const& aLoads);
  /// Records the result of a probe. The last result of a round returns all
  /// unreachable upstreams of the round, including those that were unreachable
  /// before.
  std::vector<std::uint32_t> HandleResult(
    TimePoint aNow,
    std::uint32_t aSlot,
    ConnectResult aResult,
    std::vector<UpstreamLoad> const& aLoads);
  /// When the current round was started, or the last one.
  TimePoint RoundStarted() const { return mRoundStarted; }
  /// The slot of the reference upstream of the current round, if there is any.
  std::optional<std::uint32_t> Reference() const
  {
    bool const hasReference = !mRound.empty() && mRound.back().mIsReference;
    return hasReference ? std::optional(mRound.back().mSlot) : std::nullopt;
  }
  /// Whether the current round probes the process that a slot stands for now,
  /// and not as the reference.
  bool IsProbing(std::uint32_t aSlot) const;
  /// Ignores pending results for a slot that another process has taken over.
  void ForgetUpstream(std::uint32_t aSlot);
  /// Discards the current round after this VM was paused: answers may still be
  /// in its receive queue.
  void HandleLocalPause();

private:
  struct Probe
  {
    std::uint32_t mSlot = 0;
    bool mIsReference = false;
    std::optional<ConnectResult> mResult;
    bool mIsObsolete = false; ///< Of a process that was replaced meanwhile.
  };

  bool IsFollowUpDue(TimePoint aNow, std::uint32_t aSlot) const;
  /// Records an unanswered probe. Returns whether it proves that the upstream
  /// is unreachable; otherwise requests another probe.
  bool RecordUnansweredProbe(TimePoint aNow,
                             std::uint32_t aSlot,
                             UpstreamLoad const& aLoad);
  std::optional<std::uint32_t> FindReference(
    TimePoint aNow,
    std::vector<UpstreamLoad> const& aLoads) const;
  std::vector<std::uint32_t> EvaluateRound(
    TimePoint aNow,
    std::vector<UpstreamLoad> const& aLoads);

  std::set<std::uint32_t> mProbeRequests;
  std::vector<Probe> mRound;
  TimePoint mRoundStarted{};
  TimePoint mFollowUpUntil{};
  struct ProbeState
  {
    TimePoint mNextProbe{};
    milliseconds mBackoff{ 0 };
    TimePoint mLastAccepted{}; ///< When the last connection was accepted.
    /// When the first of the unconfirmed probes was not answered.
    TimePoint mFirstUnanswered{};
  };
  std::vector<ProbeState> mProbeStates; ///< By slot.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
