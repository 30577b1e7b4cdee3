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

/// Stand-ins for callers: TCP flows that open, exchange data and close.
namespace tarragonsill::Lab {

class Callers
{
public:
  using Send = std::function<void(std::vector<std::byte>)>;

  struct Options
  {
    std::vector<Endpoint> mServices;
    /// Relative weights of the services in new flows.
    std::vector<double> mWeights;
    std::uint64_t mFlows = 1000;
    milliseconds mOpenTime{ 2000 }; ///< The opens are spread over this time.
    milliseconds mDataInterval{ 1000 };
    std::uint64_t mSeed = 1;
  };

  Callers(Options aOptions, FlowReport& aReport, Send aSend);

  void Start(TimePoint aNow);
  /// Handles the timers that are due.
  void Advance(TimePoint aNow);
  void Handle(TimePoint aNow, PacketView const& aPacket);
  /// Ends the flows on these upstreams, whose zone was evacuated.
  void AbandonFlows(std::set<std::uint32_t> const& aUpstreams);
  /// Sends one last request on each open flow and opens no new ones.
  void BeginFinalCheck(TimePoint aNow);
  /// Whether every flow has received its last answer or has ended.
  bool IsSettled() const { return mIsFinalCheck && mUnsettled == 0; }
  /// Counts open flows whose last request has no answer as broken.
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
    bool mAwaitsAnswer = false; ///< A request has no answer yet.
    bool mIsSettled = false;
    bool mIsShort = false; ///< Closes after a few round trips, then reopens.
    std::uint32_t mRoundTrip = 0;
    std::uint32_t mUpstream = 0;
    TimePoint mLastProgress{}; ///< Time of the last request or answer.
    milliseconds mTimeout{};
    std::uint32_t mTimerId = 0; ///< Timers with another id are obsolete.
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
