#ifndef TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED
#define TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string_view>

/// Judges from the packets that callers send whether an upstream answers.
///
/// A VM sees only the way from callers to upstreams. What a caller sends still
/// tells what it received: the end of a handshake, a higher acknowledgement, or
/// the same bytes once more.
namespace tarragonsill {

enum class UpstreamHealth : std::uint8_t
{
  Answering,
  /// Something it should have answered is isOverdue: no new flows while others
  /// can take them.
  Doubtful,
  /// Several flows repeat themselves and nothing at all comes back: its flows
  /// are lost to their callers.
  Silent,
  /// It takes no connection, while another upstream does.
  Unreachable,
};

std::string_view ToText(UpstreamHealth aHealth);

class PassiveHealthTracker
{
public:
  /// A handshake is isOverdue after this time: severalFlows times the way to a
  /// caller and back in the operators' deployments (7 ms).
  static constexpr milliseconds kHandshakeTimeout{ 60 };
  /// Bytes are repeated 200 ms after they were sent (platform). With fewer
  /// repeated flows or less time than this, lost packets explain the silence.
  static constexpr milliseconds kSilentAfter{ 350 };
  static constexpr milliseconds kSingleFlowSilentAfter{ 900 };
  /// Repeated data may have waited on its way and come all at once. It counts
  /// once there was time for a check whether the upstream takes connections.
  static constexpr milliseconds kProbeTime{ 200 };
  /// An upstream that takes connections isReachable. Its callers have repeated
  /// themselves three times by then (0.2, 0.6 and 1.4 s, platform).
  static constexpr milliseconds kReachableSilentAfter{ 1500 };
  static constexpr std::uint32_t kMinSilentFlows = 2;
  static constexpr std::uint32_t kSingleFlowRetransmissions = 3;
  /// A caller repeats itself after 1.6 s at the latest (platform). What was
  /// repeated longer ago has ended, or passes other VMs.
  static constexpr milliseconds kRetransmissionMaxAge{ 2000 };
  /// Flows are given up on a failed check of at most this age; less than the
  /// time for which the platform holds a disruption of an upstream against it
  /// (4 s). Later packets have it checked again.
  static constexpr milliseconds kFailedProbeMaxAge{ 3000 };
  /// A doubtful upstream gets one new flow in this time, to find out. Until it
  /// answers, each such flow waits for a copy of its opening packet.
  static constexpr milliseconds kProbationInterval{ 2000 };

  PassiveHealthTracker() = default;
  /// With evidence that does not age, what was found out holds until the
  /// upstream answers.
  explicit PassiveHealthTracker(bool aEvidenceExpires)
    : mEvidenceExpires(aEvidenceExpires)
  {
  }

  /// An opening packet was forwarded.
  void RecordOpening(TimePoint aNow);
  /// A caller repeated data that was forwarded first at `aFirstSent`.
  void RecordRetransmission(TimePoint aNow,
                            TimePoint aFirstSent,
                            bool aIsFirstOfFlow);
  /// A caller's packet shows that the upstream answered.
  void RecordAnswer(TimePoint aNow);
  /// A connection to it failed, or was accepted.
  void RecordUnreachable(TimePoint aNow)
  {
    mIsUnreachable = true;
    mUnreachableAt = aNow;
  }
  void RecordReachable(TimePoint aNow)
  {
    mIsUnreachable = false;
    mReachableAt = aNow;
  }
  /// This VM stood still: what seems isOverdue may be waiting in its own queue.
  void HandleLocalPause(TimePoint aNow);

  UpstreamHealth Health(TimePoint aNow) const;
  /// Whether a check failed lately enough to give up flows on it.
  bool HasRecentFailedProbe(TimePoint aNow) const
  {
    bool const isFresh = aNow < mUnreachableAt + kFailedProbeMaxAge;
    return mIsUnreachable && (isFresh || !mEvidenceExpires);
  }
  /// Whether a doubtful upstream is to be tried once more.
  bool IsTrialFlowDue(TimePoint aNow) const;
  void RecordTrialFlow(TimePoint aNow) { mLastTrialFlow = aNow; }
  TimePoint LastAnswer() const { return mLastAnswer; }
  /// Flows that repeated data since the last answer.
  std::uint32_t RetransmittingFlows() const { return mRetransmittingFlows; }

private:
  TimePoint mLastAnswer{};
  TimePoint mLastTrialFlow{};
  /// The first opening packet since the last answer.
  TimePoint mUnansweredOpeningSince{};
  /// When the oldest data that was repeated since then was sent first.
  TimePoint mUnansweredDataSince{};
  TimePoint mFirstRetransmissionAt{};
  TimePoint mLastRetransmissionAt{};
  TimePoint mUnreachableAt{};
  TimePoint mReachableAt{};
  std::uint32_t mRetransmittingFlows = 0;
  std::uint32_t mRetransmissions = 0;
  bool mIsUnreachable = false;
  bool mEvidenceExpires = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED
