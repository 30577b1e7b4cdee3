#ifndef TARRAGONSILL_OPENING_HEDGER_HPP_INCLUDED
#define TARRAGONSILL_OPENING_HEDGER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_passive_health_tracker.hpp"
#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

/// Decides which late opening packets are offered to a second upstream.
///
/// The first upstream must not answer afterwards, or its cookie could mislead
/// a VM that never carried the flow. So an opening is hedged only if nothing
/// shows that its upstream is alive, while others are.
namespace tarragonsill {

/// An opening packet that may have to be offered again.
struct PendingOpening
{
  FlowPacket mPacket;
  std::vector<std::byte> mBytes;
  std::uint32_t mSlot = 0; ///< The upstream that it was offered to.
  /// Whether that upstream was suspected already.
  bool mWasSuspected = false;
  TimePoint mOpenedAt{};
  TimePoint mDue{}; ///< Set by `OpeningHedger::Keep`.
};

/// What is known when an opening packet is due to be offered again.
struct HedgeEvidence
{
  TimePoint mLastAnswer{}; ///< Of its upstream, to any flow.
  UpstreamHealth mHealth = UpstreamHealth::Answering; ///< Of its upstream.
  /// The upstreams of its service that may get new flows, and those of them
  /// that are suspected.
  std::uint32_t mUpstreams = 0;
  std::uint32_t mSuspectedUpstreams = 0;
};

class OpeningHedger
{
public:
  /// An upstream is suspected after the shorter time. Callers send a copy after
  /// 200 ms (operators' platform), which needs no hedge.
  static constexpr milliseconds kMinWait =
    PassiveHealthTracker::kHandshakeTimeout;
  static constexpr milliseconds kMaxWait{ 150 };
  /// If this VM was too busy to hedge in time, the caller's copy is near.
  static constexpr milliseconds kLatest{ 180 };
  static constexpr std::size_t kMinHandshakes = 32;
  /// An upstream that answered a handshake within this time usually answers.
  static constexpr milliseconds kHandshakeMaxAge{ 10'000 };
  /// Openings at an upstream that answered a hedged opening late are not hedged
  /// for this time.
  static constexpr milliseconds kLateAnswerMaxAge{ 30'000 };
  /// Nothing is hedged if more than one in this many upstreams is suspected.
  static constexpr std::uint32_t kSuspectedDivisor = 3;
  /// Hedges that may be saved up.
  static constexpr double kBurst = 5.0;
  static constexpr std::size_t kMaxPending = 1024;
  /// Opening packets carry no data. Longer ones are not kept.
  static constexpr std::size_t kMaxPacketBytes = 128;

  /// Sets the maximum of hedges per kept opening packet; 0 switches hedging
  /// off.
  void SetMaxShare(double aShare);
  bool IsEnabled() const { return mMaxShare > 0.0; }

  /// Records a handshake that was not hedged.
  void RecordHandshake(TimePoint aNow, std::uint32_t aSlot, Duration aTime);
  /// Records an answer of any upstream.
  void RecordAnswer(TimePoint aNow) { mLastAnswer = aNow; }
  /// Records that an upstream answered an opening that had been hedged.
  void RecordLateAnswer(TimePoint aNow, std::uint32_t aSlot);
  /// Forgets the upstream that was in a slot before.
  void ForgetUpstream(std::uint32_t aSlot);
  /// Discards what is pending: the age of all packets is unknown.
  void HandleLocalPause() { mPending.clear(); }

  /// How long handshakes may usually take; nothing if that is unknown, or too
  /// long to be told from a failure before the caller's copy comes.
  std::optional<milliseconds> Wait() const;
  /// Adds an opening packet to the openings of which a share may be hedged,
  /// and keeps it if there is room.
  void Keep(PendingOpening aOpening);
  /// The opening packet that is due next; null if there is none.
  PendingOpening const* Next() const
  {
    return mPending.empty() ? nullptr : &mPending.front();
  }
  void DropNext() { mPending.pop_front(); }
  /// Removes and returns the opening packets that are due.
  std::vector<PendingOpening> TakeDue(TimePoint aNow);

  /// Whether an unanswered opening that is due may be offered to a second
  /// upstream.
  bool IsJustified(TimePoint aNow,
                   PendingOpening const& aOpening,
                   HedgeEvidence const& aEvidence) const;
  /// Counts a hedge; returns false if the share is used up.
  bool TakeShare(TimePoint aNow) { return mShare.Take(aNow); }

private:
  struct UpstreamRecord
  {
    std::optional<TimePoint> mHandshakeAt;
    Duration mHandshakeTime{}; ///< Of the last handshake.
    std::optional<TimePoint> mLateAnswerAt;
  };

  UpstreamRecord& RecordOf(std::uint32_t aSlot);
  /// Whether an upstream has lately completed handshakes well within the time.
  bool UsuallyAnswers(TimePoint aOpenedAt, UpstreamRecord const& aRecord) const;

  double mMaxShare = 0.0;
  TokenBucket mShare{ 0.0, kBurst };
  std::vector<Duration> mHandshakes; ///< The most recent ones, as a ring.
  std::size_t mNextHandshake = 0;
  Duration mUsualHandshake{};
  std::vector<UpstreamRecord> mRecords; ///< By slot.
  std::deque<PendingOpening> mPending;
  TimePoint mLastAnswer{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_OPENING_HEDGER_HPP_INCLUDED
