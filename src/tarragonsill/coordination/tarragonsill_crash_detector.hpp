#ifndef TARRAGONSILL_CRASH_DETECTOR_HPP_INCLUDED
#define TARRAGONSILL_CRASH_DETECTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

/// Decides from the probes of an upstream whether its flows are lost.
///
/// An upstream that answers nothing may only stand still, and goes on with its
/// flows afterwards. Its host's kernel answers all the same: it refuses no
/// connection to a port that is in use, and refuses those to a closed port.
namespace tarragonsill {

/// The observation by which an open flow counts as lost.
enum class FlowLossProof : std::uint8_t
{
  /// Its upstream refused a probe and was known to be serving; or it was last
  /// known to be serving, and this flow got no answer.
  Crashed,
  Removed, ///< Its upstream was deregistered and refused several probes.
           /// The host of its upstream did not answer several probes, or one
           /// and neither did the upstream answer this flow.
  SilentHost,
};

std::string_view ToText(FlowLossProof aProof);

class CrashDetector
{
public:
  /// A failed probe counts against flows up to this age. It is less than the
  /// time for which the platform counts a disruption against an upstream (4 s).
  /// Later packets of the flows request another probe.
  static constexpr milliseconds kFailedProbeMaxAge{ 3000 };
  /// Probes that were not answered further apart may have been lost for
  /// different reasons.
  static constexpr milliseconds kMaxConfirmationInterval{ 1500 };

  /// What is known of a flow of the upstream.
  struct FlowState
  {
    TimePoint mTrackedSince{}; ///< When this VM saw its first packet.
    UpstreamAvailability mAvailability = UpstreamAvailability::Serving;
    bool mIsRepeating = false; ///< The caller repeats its data in vain.
  };

  /// Records the result of a probe that was sent at `aSent`, and whether the
  /// upstream was known to be serving, not leaving, when it was received.
  void RecordProbe(TimePoint aSent,
                   ConnectResult aResult,
                   bool aIsKnownToServe);
  /// Records that a flow got an answer.
  void RecordAnswer() { *this = {}; }
  /// Discards all results: the time that this VM stood still is unknown.
  void HandleLocalPause() { *this = {}; }

  /// Returns what proves that a flow is lost, if anything does.
  std::optional<FlowLossProof> FindProof(FlowState const& aFlow) const;
  /// Whether the last probe is too old to prove anything.
  bool IsExpired(TimePoint aNow) const
  {
    return aNow >= mLastSent + kFailedProbeMaxAge;
  }
  ConnectResult LastResult() const { return mLastResult; }

private:
  TimePoint mLastSent{};
  ConnectResult mLastResult = ConnectResult::Accepted;
  bool mWasKnownToServe = false;
  /// Whether the probe before the last one failed in the same way.
  bool mIsConfirmed = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CRASH_DETECTOR_HPP_INCLUDED
