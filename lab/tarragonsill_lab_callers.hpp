#ifndef TARRAGONSILL_LAB_CALLERS_HPP_INCLUDED
#define TARRAGONSILL_LAB_CALLERS_HPP_INCLUDED

#include "tarragonsill_lab_packets.hpp"
#include "tarragonsill_lab_report.hpp"

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The caller stand-ins: flows that open, exchange data for long, and close.
namespace tarragonsill::Lab {

class Callers
{
public:
  using Send = std::function<void(std::vector<std::byte>)>;

  struct Options
  {
    std::vector<Endpoint> mServices;
    /// Share of each service in new flows, by weight.
    std::vector<double> mWeights;
    std::uint64_t mFlows = 1000;
    milliseconds mOpenTime{ 2000 }; ///< Time over which flows are opened.
    milliseconds mDataInterval{ 1000 };
    std::uint64_t mSeed = 1;
  };

  Callers(Options aOptions, FlowReport& aReport, Send aSend);

  void Start(TimePoint aNow);
  /// Count everything that is due.
  void Advance(TimePoint aNow);
  void Handle(TimePoint aNow, PacketView const& aPacket);
  /// Gives up the flows on these upstreams: their zone was taken out.
  void AbandonFlows(std::set<std::uint32_t> const& aUpstreams);
  /// Sends one last request on each open flow and opens no more.
  void BeginFinalCheck(TimePoint aNow);
  /// Says whether every flow has settled.
  bool IsSettled() const { return mIsFinalCheck && mUnsettled == 0; }
  /// Counts flows that never settled as broken.
  void EndFinalCheck();

private:
  enum class Stage : std::uint8_t
  {
    Waiting,
    Opening,
    Open,
    Closing,
    Done,
  };
  struct Flow
  {
    Endpoint mCaller;
    std::uint32_t mService = 0;
    Stage mStage = Stage::Waiting;
    bool mAwaitsAnswer = false; ///< A request is unanswered.
    bool mIsSettled = false;
    bool mIsShort = false; ///< Closes after some round trips, then reopens.
    std::uint32_t mRoundTrip = 0;
    std::uint32_t mUpstream = 0;
    TimePoint mLastProgress{}; ///< Last progress.
    milliseconds mTimeout{};
    std::uint32_t mTimerId = 0; ///< Invalidates older timers.
  };
  struct Timer
  {
    TimePoint mAt{};
    std::uint32_t mFlow = 0;
    std::uint32_t mTimerId = 0;
    bool operator>(Timer const& aOther) const { return mAt > aOther.mAt; }
  };

  void Schedule(TimePoint aAt, std::uint32_t aFlow);
  void HandleTimer(TimePoint aNow, std::uint32_t aFlow);
  void SendPacket(std::uint32_t aFlow, std::uint8_t aFlags);
  void SendRequest(TimePoint aNow, std::uint32_t aFlow);
  void Retransmit(TimePoint aNow, std::uint32_t aFlow);
  void EndFlow(std::uint32_t aFlow, std::uint64_t& aCounter);
  void RecordBrokenFlow(Flow const& aFlow, std::string const& aCause);
  void OpenFlow(TimePoint aNow, std::uint32_t aFlow);
  void HandleAnswer(TimePoint aNow,
                    std::uint32_t aFlow,
                    Payload const& aPayload);
  void HandleReset(TimePoint aNow,
                   std::uint32_t aFlow,
                   Payload const& aPayload);
  void Settle(std::uint32_t aFlow);

  Options mOptions;
  FlowReport& mReport;
  Send mSend;
  std::vector<Flow> mFlows;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> mTimers;
  std::mt19937_64 mRandom;
  std::uint32_t mNextCaller = 0;
  bool mIsFinalCheck = false;
  std::uint64_t mUnsettled = 0;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_CALLERS_HPP_INCLUDED
