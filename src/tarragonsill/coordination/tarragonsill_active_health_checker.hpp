#ifndef TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
#define TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// Decides which upstreams to probe for reach, and what the answers mean.
///
/// Callers' packets raise doubts, yet one flow has to repeat itself for more
/// than a second until they prove a crash. A connection that is refused or
/// ignored, while another upstream takes one, proves it in a fraction of that.
/// One upstream out of reach is seldom alone, so the others that are silent are
/// checked, too, before their callers notice.
namespace tarragonsill {

/// What became of a connection to an upstream.
enum class ConnectResult : std::uint8_t
{
  Accepted,
  Refused,  ///< Nothing listens there.
  NoAnswer, ///< No answer in time.
};

std::string_view ToText(ConnectResult aResult);

class ActiveHealthChecker
{
public:
  /// The state between two checks of an upstream. It doubles with each one that
  /// fails.
  static constexpr milliseconds kMinBackoff{ 500 };
  static constexpr milliseconds kMaxBackoff{ 4000 };
  static constexpr milliseconds kAcceptedInterval{ 2000 };
  /// One event strikes many upstreams at once; those that took a connection
  /// this recently are not checked because of others.
  static constexpr milliseconds kFollowUpInterval{ 6000 };
  /// Connections have a price at the operators' platform.
  static constexpr std::size_t kMaxProbesPerRound = 16;
  /// After an upstream was found out of reach, others that carry flows and
  /// were silent for a moment are checked for this long.
  static constexpr milliseconds kFollowUpPeriod{ 1500 };
  static constexpr milliseconds kFollowUpSilence{ 150 };
  /// An upstream that answered this recently is in reach, unless this VM's own
  /// link fails.
  static constexpr milliseconds kReferenceMaxAge{ 2000 };

  /// Something that an upstream owes is overdue.
  void RequestProbe(std::uint32_t aSlot) { mProbeRequests.insert(aSlot); }
  /// Doubts upstreams by what is known of all of them; to be called several
  /// times a second.
  void ReviewUpstreams(TimePoint aNow,
                       RoutingView const& aView,
                       std::vector<UpstreamLoad> const& aLoads);
  /// Starts a round of checks, if one is due and none is on its way; returns
  /// the slots to probe, a reference included.
  std::vector<std::uint32_t> StartRound(
    TimePoint aNow,
    std::vector<UpstreamLoad> const& aLoads);
  /// Takes an answer. The last one of a round returns the upstreams that are
  /// out of reach, also those that were before.
  std::vector<std::uint32_t> HandleResult(
    TimePoint aNow,
    std::uint32_t aSlot,
    ConnectResult aResult,
    std::vector<UpstreamLoad> const& aLoads);
  /// This VM stood still: answers may have waited in its own queue.
  void HandleLocalPause();

private:
  struct Probe
  {
    std::uint32_t mSlot = 0;
    bool mIsReference = false;
    std::optional<ConnectResult> mResult;
  };

  bool IsFollowUpDue(TimePoint aNow, std::uint32_t aSlot) const;
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
    TimePoint mLastAccepted{}; ///< The last connection.
  };
  std::vector<ProbeState> mProbeStates; ///< By slot.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
