#ifndef TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED
#define TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string_view>

/// Derives the health of an upstream from the packets that callers send.
///
/// A VM sees only the packets from callers to upstreams. They still show what
/// the caller received: a completed handshake, a higher acknowledgement number,
/// or a retransmission when no answer arrived.
namespace tarragonsill {

enum class UpstreamHealth : std::uint8_t
{
  Answering,
  /// An answer is overdue. New flows go to other upstreams if possible.
  Doubtful,
  /// Flows retransmit and no answer arrives for any flow: it has crashed, is
  /// cut off or stands still.
  Silent,
  /// It accepts no connections, while another upstream does.
  Unreachable,
};

std::string_view ToText(UpstreamHealth aHealth);

class PassiveHealthTracker
{
public:
  /// A handshake is overdue after this time, which is several times the round
  /// trip to a caller in the operators' deployments (7 ms).
  static constexpr milliseconds kHandshakeTimeout{ 60 };
  /// Callers retransmit data after 200 ms (operators' platform). Packet loss
  /// can explain a shorter silence, or fewer retransmitting flows.
  static constexpr milliseconds kSilentAfter{ 350 };
  static constexpr milliseconds kSingleFlowSilentAfter{ 900 };
  /// Retransmissions may be delayed on their way and arrive all at once. They
  /// count only after there was time to probe whether the upstream accepts
  /// connections.
  static constexpr milliseconds kProbeTime{ 200 };
  /// The interval between probes after an accepted connection.
  static constexpr milliseconds kAcceptedInterval{ 2000 };
  /// An upstream that accepts connections is alive, so this limit is longer.
  /// Callers have retransmitted three times by then (after 0.2, 0.6 and 1.4 s,
  /// operators' platform).
  static constexpr milliseconds kReachableSilentAfter{ 1500 };
  static constexpr std::uint32_t kMinSilentFlows = 2;
  static constexpr std::uint32_t kSingleFlowRetransmissions = 3;
  /// Callers retransmit at intervals of at most 1.6 s (operators' platform).
  /// Flows whose last retransmission is older have ended or pass through other
  /// VMs.
  static constexpr milliseconds kRetransmissionMaxAge{ 2000 };
  /// An upstream on probation gets one trial flow per interval. As long as the
  /// upstream does not answer, each trial flow is delayed until its opening
  /// packet is retransmitted.
  static constexpr milliseconds kProbationInterval{ 2000 };

  PassiveHealthTracker() = default;
  /// If evidence does not expire, the observed health persists until the
  /// upstream answers.
  explicit PassiveHealthTracker(bool aEvidenceExpires)
    : mEvidenceExpires(aEvidenceExpires)
  {
  }

  /// Records that an opening packet was forwarded.
  void RecordOpening(TimePoint aNow);
  /// Records that a caller retransmitted data that was first forwarded at
  /// `aFirstSent`.
  void RecordRetransmission(TimePoint aNow,
                            TimePoint aFirstSent,
                            bool aIsFirstOfFlow);
  /// Records that a caller's packet shows an answer of the upstream.
  void RecordAnswer(TimePoint aNow);
  /// Records a failed probe of the upstream.
  void RecordUnreachable() { mIsUnreachable = true; }
  /// Records an accepted connection.
  void RecordReachable(TimePoint aNow)
  {
    mIsUnreachable = false;
    mReachableAt = aNow;
  }
  /// Records an accepted connection that was reset: the upstream runs but takes
  /// no new flows.
  void RecordTurnedAway(TimePoint aNow)
  {
    RecordReachable(aNow);
    mIsUnreachable = true;
  }
  /// Restarts the timeouts after this VM was paused: overdue answers may be in
  /// its receive queue.
  void HandleLocalPause(TimePoint aNow);

  UpstreamHealth Health(TimePoint aNow) const;
  /// Whether a connection was accepted since the unanswered data was sent.
  bool IsReachable() const { return mReachableAt > mUnansweredDataSince; }
  /// Whether a suspected upstream should get a trial flow.
  bool IsTrialFlowDue(TimePoint aNow) const;
  void RecordTrialFlow(TimePoint aNow) { mLastTrialFlow = aNow; }
  TimePoint LastAnswer() const { return mLastAnswer; }
  /// The number of flows that retransmitted data since the last answer.
  std::uint32_t RetransmittingFlows() const { return mRetransmittingFlows; }
  /// The number of retransmissions by all flows since the last answer.
  std::uint32_t Retransmissions() const { return mRetransmissions; }

private:
  bool AreRetransmissionsExpired(TimePoint aNow) const
  {
    return mEvidenceExpires &&
           aNow >= mLastRetransmissionAt + kRetransmissionMaxAge;
  }

  TimePoint mLastAnswer{};
  TimePoint mLastTrialFlow{};
  /// When the first opening packet since the last answer was forwarded.
  TimePoint mUnansweredOpeningSince{};
  /// When the oldest data retransmitted since the last answer was first
  /// forwarded.
  TimePoint mUnansweredDataSince{};
  TimePoint mFirstRetransmissionAt{};
  TimePoint mLastRetransmissionAt{};
  TimePoint mReachableAt{};
  std::uint32_t mRetransmittingFlows = 0;
  std::uint32_t mRetransmissions = 0;
  bool mIsUnreachable = false;
  bool mEvidenceExpires = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED
