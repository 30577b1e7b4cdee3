#ifndef TARRAGONSILL_LAB_FLOW_UPSTREAM_HPP_INCLUDED
#define TARRAGONSILL_LAB_FLOW_UPSTREAM_HPP_INCLUDED

#include "tarragonsill_lab_packets.hpp"
#include "tarragonsill_lab_report.hpp"

#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Stand-ins for the upstreams of flows.
namespace tarragonsill::Lab {

/// The time within which entry VMs must act on an accepted change.
constexpr seconds kChangeAllowance{ 3 };
/// After an unannounced cold start, work above the cold limit counts as a
/// violation only this long after the first refusal, since entry VMs can't
/// react earlier and packets are already in flight.
constexpr milliseconds kColdSignalAllowance{ 200 };

/// Counts the open work of an upstream and its limit during slow start.
class SlowStart
{
public:
  SlowStart(std::uint32_t aColdLimit,
            std::uint32_t aLimit,
            std::uint32_t aAnswersPerStep)
    : mColdLimit(aColdLimit)
    , mLimit(aLimit)
    , mAnswersPerStep(aAnswersPerStep)
  {
  }
  void BecomeCold()
  {
    mAnswers = 0;
    mOpenWork = 0;
  }
  bool HasCapacity() const { return !IsCold() || mOpenWork < CurrentLimit(); }
  bool IsCold() const { return CurrentLimit() < mLimit; }
  void RecordStart() { ++mOpenWork; }
  void RecordAnswer() { ++mAnswers; }
  void RecordEnd() { mOpenWork -= mOpenWork > 0 ? 1 : 0; }

private:
  std::uint32_t CurrentLimit() const
  {
    return mColdLimit + mAnswers / mAnswersPerStep;
  }

  std::uint32_t mColdLimit;
  std::uint32_t mLimit;
  std::uint32_t mAnswersPerStep;
  std::uint32_t mAnswers = 0;
  std::uint32_t mOpenWork = 0;
};

/// The connections of one upstream.
class FlowUpstream
{
public:
  FlowUpstream(Upstream aUpstream,
               std::uint32_t aService,
               std::uint32_t aIndex,
               FlowReport& aReport);

  Upstream const& Declaration() const { return mUpstream; }
  std::uint32_t ServiceIndex() const { return mService; }
  std::uint64_t AcceptedConnections() const { return mAcceptedConnections; }
  bool IsAffectedByEvent() const { return mIsAffectedByEvent; }

  /// Handles a packet. Returns the answer, or nothing if no answer is sent.
  std::optional<std::vector<std::byte>> Handle(TimePoint aNow,
                                               PacketView const& aPacket);

  void RecordDrain(TimePoint aAcceptedAt);
  void RecordZoneOut(TimePoint aAcceptedAt)
  {
    mZoneOutAcceptedAt = aAcceptedAt;
  }
  void RecordZoneIn() { mZoneOutAcceptedAt.reset(); }
  void BecomeCold();

private:
  struct Connection
  {
    bool mOpenedAfterColdStart = true;
  };

  /// Accepts a new connection, or returns false if the limit is reached.
  bool Accept(TimePoint aNow, Endpoint aCaller);
  std::vector<std::byte> Answer(PacketView const& aPacket,
                                std::uint8_t aFlags,
                                Payload aPayload) const;

  Upstream mUpstream;
  std::uint32_t mService;
  std::uint32_t mIndex;
  FlowReport& mReport;
  SlowStart mSlowStart;
  std::unordered_map<std::uint64_t, Connection> mConnections;
  /// Callers whose connection has closed. Their last packets may still arrive.
  std::unordered_set<std::uint64_t> mClosed;
  std::optional<TimePoint> mDrainAcceptedAt;
  std::optional<TimePoint> mZoneOutAcceptedAt;
  std::optional<TimePoint> mFirstRefusedAt;
  bool mIsColdUnannounced = false;
  bool mIsAffectedByEvent = false;
  std::uint64_t mAcceptedConnections = 0;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_FLOW_UPSTREAM_HPP_INCLUDED
