#ifndef TARRAGONSILL_ZONE_SILENCE_DETECTOR_HPP_INCLUDED
#define TARRAGONSILL_ZONE_SILENCE_DETECTOR_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"
#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Detects that a whole availability zone of upstreams has stopped answering.
namespace tarragonsill {

/// Observes the upstreams of one zone together. A power failure or a cut takes
/// all of them at once; judging each by itself costs every caller a timeout at
/// one upstream after the other.
class ZoneSilenceDetector
{
public:
  /// A zone is silent if this many of its upstreams in succession do not
  /// answer.
  static constexpr std::size_t kMinUpstreams = 3;
  /// An answer shows for this time that the zone answers. Routers use all VMs
  /// of a zone as long as one is ready, so a VM with few flows must not hold on
  /// to what it saw long ago.
  static constexpr milliseconds kAnswerMaxAge{ 1000 };

  /// Records that an opening packet or a retransmission was forwarded to an
  /// upstream of the zone.
  void RecordAttempt(TimePoint aNow, std::uint32_t aSlot);
  /// Records an answer of any upstream of the zone.
  void RecordAnswer(TimePoint aNow)
  {
    mUnanswered.clear();
    mLastAnswer = aNow;
  }
  /// Records that an upstream of the zone has registered: the zone may be back.
  void RecordRegistration() { mUnanswered.clear(); }
  /// Discards attempts whose answers may be in this VM's receive queue.
  void HandleLocalPause(TimePoint aNow);

  /// Whether no upstream of the zone answers.
  bool IsSilent(TimePoint aNow) const;
  ZoneReach Reach(TimePoint aNow) const;
  /// Whether an upstream of a silent zone should get a trial flow.
  bool IsTrialFlowDue(TimePoint aNow) const;
  void RecordTrialFlow(TimePoint aNow) { mLastTrialFlow = aNow; }
  /// Returns whether the zone is silent if that differs from the last call.
  std::optional<bool> TakeChange(TimePoint aNow);

private:
  struct Attempt
  {
    std::uint32_t mSlot = 0;
    TimePoint mAt{};
  };

  /// The first attempt at each of at most `kMinUpstreams` upstreams since the
  /// zone's last answer.
  std::vector<Attempt> mUnanswered;
  TimePoint mLastTrialFlow{};
  TimePoint mLastAnswer{};
  bool mWasSilent = false; ///< At the last call of `TakeChange`.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ZONE_SILENCE_DETECTOR_HPP_INCLUDED
