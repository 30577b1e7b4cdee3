#ifndef TARRAGONSILL_LAB_UPSTREAMS_HPP_INCLUDED
#define TARRAGONSILL_LAB_UPSTREAMS_HPP_INCLUDED

#include "tarragonsill_lab_packets.hpp"
#include "tarragonsill_lab_report.hpp"

#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// The flow side of the upstream stand-ins.
namespace tarragonsill::Lab {

/// How long entry VMs may take to act on an accepted change.
constexpr seconds kChangeAllowance{ 3 };
/// How long work that was on its way may still arrive after an unannounced
/// cold start showed its first sign.
constexpr milliseconds kColdSignalAllowance{ 200 };

/// What an upstream bears while it warms up, as it counts itself.
class WarmUp
{
public:
  WarmUp(std::uint32_t aCold, std::uint32_t aWarm, std::uint32_t aPerStep)
    : mCold(aCold)
    , mWarm(aWarm)
    , mPerStep(aPerStep)
  {
  }
  void TurnCold()
  {
    mAnswers = 0;
    mOpen = 0;
  }
  bool HasRoom() const { return !IsCold() || mOpen < Bound(); }
  bool IsCold() const { return Bound() < mWarm; }
  void Start() { ++mOpen; }
  void Answer() { ++mAnswers; }
  void End() { mOpen -= mOpen > 0 ? 1 : 0; }

private:
  std::uint32_t Bound() const { return mCold + mAnswers / mPerStep; }

  std::uint32_t mCold;
  std::uint32_t mWarm;
  std::uint32_t mPerStep;
  std::uint32_t mAnswers = 0;
  std::uint32_t mOpen = 0;
};

/// One upstream's connections.
class FlowUpstream
{
public:
  FlowUpstream(Upstream aUpstream,
               std::uint32_t aService,
               std::uint32_t aIndex,
               FlowReport& aReport);

  Upstream const& Declared() const { return mUpstream; }
  std::uint32_t ServiceIndex() const { return mService; }
  std::uint64_t Accepted() const { return mAccepted; }
  bool WasDisturbed() const { return mDisturbed; }

  /// Handles a packet; the answer is empty if none is due.
  std::optional<std::vector<std::byte>> Handle(TimePoint aNow,
                                               PacketView const& aPacket);

  void DrainFrom(TimePoint aAccepted);
  void ZoneOutFrom(TimePoint aAccepted) { mZoneOutSince = aAccepted; }
  void ZoneIn() { mZoneOutSince.reset(); }
  void TurnCold();

private:
  struct Connection
  {
    bool mSinceCold = true;
  };

  /// Says whether a new connection is taken in.
  bool Accept(TimePoint aNow, Endpoint aCaller);
  std::vector<std::byte> Answer(PacketView const& aPacket,
                                std::uint8_t aFlags,
                                Payload aPayload) const;

  Upstream mUpstream;
  std::uint32_t mService;
  std::uint32_t mIndex;
  FlowReport& mReport;
  WarmUp mWarmUp;
  std::unordered_map<std::uint64_t, Connection> mConnections;
  /// Callers whose connection has ended; their last packets are still due.
  std::unordered_set<std::uint64_t> mClosed;
  std::optional<TimePoint> mDrainSince;
  std::optional<TimePoint> mZoneOutSince;
  std::optional<TimePoint> mFirstShed;
  bool mUnannounced = false;
  bool mDisturbed = false;
  std::uint64_t mAccepted = 0;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_UPSTREAMS_HPP_INCLUDED
