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
  /// Something it should have answered is overdue: no new flows while others
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
  /// A handshake is overdue after this time: several times the way to a caller
  /// and back in the operators' deployments (7 ms).
  static constexpr milliseconds kHandshakeTimeout{ 60 };
  /// Bytes are repeated 200 ms after they were sent (platform). With fewer
  /// repeated flows or less time than this, lost packets explain the silence.
  static constexpr milliseconds kSilentAfter{ 350 };
  static constexpr milliseconds kSilentAloneAfter{ 900 };
  /// Repeated data may have waited on its way and come all at once. It counts
  /// once there was time for a check whether the upstream takes connections.
  static constexpr milliseconds kCheckTime{ 200 };
  /// An upstream that takes connections lives. Its callers have repeated
  /// themselves three times by then (0.2, 0.6 and 1.4 s, platform).
  static constexpr milliseconds kSilentThoughInReach{ 1500 };
  static constexpr std::uint32_t kSilentFlows = 2;
  static constexpr std::uint32_t kSilentAloneCopies = 3;
  /// A caller repeats itself after 1.6 s at the latest (platform). What was
  /// repeated longer ago has ended, or passes other VMs.
  static constexpr milliseconds kRepeatsCountFor{ 2000 };
  /// Flows are given up on a failed check of at most this age; less than the
  /// time for which the platform holds a disruption of an upstream against it
  /// (4 s). Later packets have it checked again.
  static constexpr milliseconds kFailedCheckCountsFor{ 3000 };
  /// A doubtful upstream gets one new flow in this time, to find out. Until it
  /// answers, each such flow waits for a copy of its opening packet.
  static constexpr milliseconds kProbation{ 2000 };

  PassiveHealthTracker() = default;
  /// With evidence that does not age, what was found out holds until the
  /// upstream answers.
  explicit PassiveHealthTracker(bool aEvidenceAges)
    : mEvidenceAges(aEvidenceAges)
  {
  }

  /// An opening packet was forwarded.
  void OpeningSent(TimePoint aNow);
  /// A caller repeated data that was forwarded first at `aFirstSent`.
  void DataRepeated(TimePoint aNow,
                    TimePoint aFirstSent,
                    bool aIsFirstCopyOfFlow);
  /// A caller's packet shows that the upstream answered.
  void Answered(TimePoint aNow);
  /// A connection to it failed, or was accepted.
  void OutOfReach(TimePoint aNow)
  {
    mIsOutOfReach = true;
    mOutOfReachAt = aNow;
  }
  void InReach(TimePoint aNow)
  {
    mIsOutOfReach = false;
    mInReachAt = aNow;
  }
  /// This VM stood still: what seems overdue may be waiting in its own queue.
  void HandleLocalPause(TimePoint aNow);

  UpstreamHealth Health(TimePoint aNow) const;
  /// Whether a check failed lately enough to give up flows on it.
  bool IsProvenOutOfReach(TimePoint aNow) const
  {
    bool const isFresh = aNow < mOutOfReachAt + kFailedCheckCountsFor;
    return mIsOutOfReach && (isFresh || !mEvidenceAges);
  }
  /// Whether a doubtful upstream is to be tried once more.
  bool IsProbeDue(TimePoint aNow) const;
  void ProbeSent(TimePoint aNow) { mLastProbe = aNow; }
  TimePoint LastAnswer() const { return mLastAnswer; }
  /// Flows that repeated data since the last answer.
  std::uint32_t RepeatingFlows() const { return mRepeatingFlows; }

private:
  TimePoint mLastAnswer{};
  TimePoint mLastProbe{};
  /// The first opening packet since the last answer.
  TimePoint mOpeningSince{};
  /// When the oldest data that was repeated since then was sent first.
  TimePoint mRepeatingSince{};
  TimePoint mFirstCopyAt{};
  TimePoint mLastCopyAt{};
  TimePoint mOutOfReachAt{};
  TimePoint mInReachAt{};
  std::uint32_t mRepeatingFlows = 0;
  std::uint32_t mCopies = 0;
  bool mIsOutOfReach = false;
  bool mEvidenceAges = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PASSIVE_HEALTH_TRACKER_HPP_INCLUDED
