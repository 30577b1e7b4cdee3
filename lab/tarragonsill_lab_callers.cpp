#include "tarragonsill_lab_callers.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kInitialTimeout{ 250 };
constexpr milliseconds kMaxTimeout{ 1000 };
/// A flow without an answer for this time counts as broken.
constexpr seconds kStallTimeout{ 12 };
constexpr milliseconds kRefusedRetryDelay{ 100 };
/// One flow in this many is short and reopens after each close.
constexpr std::uint32_t kShortFlowInterval = 5;
constexpr std::uint32_t kShortRoundTrips = 3;
constexpr std::uint32_t kFirstCallerAddress = 0x64400001; // 100.64.0.1
constexpr std::uint32_t kPortsPerCaller = 1000;
constexpr std::uint16_t kFirstPort = 20000;

} // namespace

Callers::Callers(Options aOptions, FlowReport& aReport, Send aSend)
  : mOptions(std::move(aOptions))
  , mReport(aReport)
  , mSend(std::move(aSend))
  , mFlows(mOptions.mFlows)
  , mRandom(mOptions.mSeed)
{
}

void
Callers::Start(TimePoint aNow)
{
  std::discrete_distribution<std::uint32_t> service(mOptions.mWeights.begin(),
                                                    mOptions.mWeights.end());
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    mFlows[index].mService = service(mRandom);
    mFlows[index].mIsShort = index % kShortFlowInterval == 0;
    auto const delay = mOptions.mOpenTime * index / mFlows.size();
    Schedule(aNow + delay, index);
  }
}

void
Callers::Schedule(TimePoint aAt, std::uint32_t aFlow)
{
  mTimers.push({ aAt, aFlow, ++mFlows[aFlow].mTimerId });
}

void
Callers::Advance(TimePoint aNow)
{
  while (!mTimers.empty() && mTimers.top().mAt <= aNow) {
    auto const timer = mTimers.top();
    mTimers.pop();
    if (mFlows[timer.mFlow].mTimerId == timer.mTimerId) {
      HandleTimer(aNow, timer.mFlow);
    }
  }
}

void
Callers::HandleTimer(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  switch (flow.mStage) {
    case Stage::Waiting:
      OpenFlow(aNow, aFlow);
      return;
    case Stage::Open:
      if (!flow.mAwaitsAnswer) {
        SendRequest(aNow, aFlow);
        return;
      }
      [[fallthrough]];
    case Stage::Opening:
    case Stage::Closing:
      Retransmit(aNow, aFlow);
      return;
    case Stage::Done:
      return;
  }
}

void
Callers::OpenFlow(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  auto const number = mNextCaller++;
  flow.mCaller = { { kFirstCallerAddress + number / kPortsPerCaller },
                   static_cast<std::uint16_t>(kFirstPort +
                                              number % kPortsPerCaller) };
  flow.mStage = Stage::Opening;
  flow.mRoundTrip = 0;
  flow.mLastProgress = aNow;
  flow.mTimeout = kInitialTimeout;
  SendPacket(aFlow, TcpFlags::kSyn);
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::SendRequest(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  flow.mLastProgress = aNow;
  flow.mTimeout = kInitialTimeout;
  if (flow.mIsShort && flow.mRoundTrip >= kShortRoundTrips && !mIsFinalCheck) {
    flow.mStage = Stage::Closing;
    SendPacket(aFlow, TcpFlags::kFin | TcpFlags::kAck);
  } else {
    flow.mAwaitsAnswer = true;
    ++flow.mRoundTrip;
    SendPacket(aFlow, TcpFlags::kAck);
  }
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::Retransmit(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  if (aNow - flow.mLastProgress > kStallTimeout) {
    if (flow.mStage == Stage::Open) {
      RecordBrokenFlow(flow, "stall");
      EndFlow(aFlow, mReport.mBrokenByStall);
    } else if (flow.mStage == Stage::Opening) {
      EndFlow(aFlow, mReport.mNotOpened);
    } else {
      Settle(aFlow);
      flow.mStage = Stage::Done;
    }
    return;
  }
  ++mReport.mRetransmissions;
  SendPacket(aFlow,
             flow.mStage == Stage::Opening ? TcpFlags::kSyn
             : flow.mStage == Stage::Closing
               ? static_cast<std::uint8_t>(TcpFlags::kFin | TcpFlags::kAck)
               : TcpFlags::kAck);
  flow.mTimeout = std::min(kMaxTimeout, flow.mTimeout * 2);
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::SendPacket(std::uint32_t aFlow, std::uint8_t aFlags)
{
  auto const& flow = mFlows[aFlow];
  Payload const payload{ aFlow, flow.mRoundTrip, flow.mService, 0 };
  mSend(BuildPacket(
    flow.mCaller, mOptions.mServices[flow.mService], aFlags, payload));
}

void
Callers::EndFlow(std::uint32_t aFlow, std::uint64_t& aCounter)
{
  ++aCounter;
  Settle(aFlow);
  mFlows[aFlow].mStage = Stage::Done;
}

void
Callers::RecordBrokenFlow(Flow const& aFlow, std::string const& aCause)
{
  constexpr std::size_t kMaxBrokenFlows = 20;
  if (mReport.mBrokenFlows.size() == kMaxBrokenFlows) {
    return;
  }
  mReport.mBrokenFlows.push_back(
    aCause + " flow=" + ToText(aFlow.mCaller) +
    " upstream=" + std::to_string(aFlow.mUpstream) +
    " round=" + std::to_string(aFlow.mRoundTrip));
}

void
Callers::Settle(std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  if (mIsFinalCheck && !flow.mIsSettled) {
    --mUnsettled;
  }
  flow.mIsSettled = true;
}

void
Callers::Handle(TimePoint aNow, PacketView const& aPacket)
{
  auto const payload = ReadPayload(aPacket);
  if (!payload || payload->mFlow >= mFlows.size()) {
    ++mReport.mBadChecksums;
    return;
  }
  auto const index = payload->mFlow;
  auto& flow = mFlows[index];
  bool const isCurrent = aPacket.Destination() == flow.mCaller &&
                         aPacket.Source() == mOptions.mServices[flow.mService];
  if (!isCurrent || flow.mStage == Stage::Done) {
    return; // A late answer to an earlier connection of the flow.
  }
  if ((aPacket.Flags() & TcpFlags::kRst) != 0) {
    HandleReset(aNow, index, *payload);
    return;
  }
  HandleAnswer(aNow, index, *payload);
}

void
Callers::HandleReset(TimePoint aNow,
                     std::uint32_t aFlow,
                     Payload const& aPayload)
{
  auto& flow = mFlows[aFlow];
  if (flow.mStage == Stage::Opening) {
    Schedule(aNow + kRefusedRetryDelay, aFlow);
    return;
  }
  if (flow.mStage == Stage::Open) {
    RecordBrokenFlow(flow,
                     "reset from upstream " +
                       std::to_string(aPayload.mUpstream) + " to request " +
                       std::to_string(aPayload.mRoundTrip));
    EndFlow(aFlow, mReport.mBrokenByReset);
  }
}

void
Callers::HandleAnswer(TimePoint aNow,
                      std::uint32_t aFlow,
                      Payload const& aPayload)
{
  auto& flow = mFlows[aFlow];
  if (flow.mStage == Stage::Opening) {
    flow.mStage = Stage::Open;
    flow.mUpstream = aPayload.mUpstream;
    flow.mAwaitsAnswer = false;
    ++mReport.mOpened;
    SendRequest(aNow, aFlow);
    return;
  }
  if (flow.mStage == Stage::Closing) {
    SendPacket(aFlow, TcpFlags::kAck);
    flow.mRoundTrip = 0;
    flow.mStage = mIsFinalCheck ? Stage::Done : Stage::Waiting;
    Settle(aFlow);
    flow.mIsSettled = mIsFinalCheck;
    if (!mIsFinalCheck) {
      Schedule(aNow + mOptions.mDataInterval, aFlow);
    }
    return;
  }
  bool const answered = flow.mStage == Stage::Open && flow.mAwaitsAnswer &&
                        aPayload.mRoundTrip == flow.mRoundTrip;
  if (!answered) {
    return;
  }
  flow.mAwaitsAnswer = false;
  flow.mLastProgress = aNow;
  if (mIsFinalCheck) {
    Settle(aFlow);
    return;
  }
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  auto const interval = std::chrono::duration_cast<Duration>(
    mOptions.mDataInterval * factor(mRandom));
  Schedule(aNow + interval, aFlow);
}

void
Callers::AbandonFlows(std::set<std::uint32_t> const& aUpstreams)
{
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto& flow = mFlows[index];
    bool const isAffected =
      (flow.mStage == Stage::Open || flow.mStage == Stage::Closing) &&
      aUpstreams.count(flow.mUpstream) > 0;
    if (isAffected) {
      EndFlow(index, mReport.mAbandonedInEvacuatedZone);
    }
  }
}

void
Callers::BeginFinalCheck(TimePoint aNow)
{
  mIsFinalCheck = true;
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto& flow = mFlows[index];
    flow.mIsSettled = false;
    if (flow.mStage == Stage::Waiting || flow.mStage == Stage::Done) {
      flow.mStage = Stage::Done;
      flow.mIsSettled = true;
      continue;
    }
    ++mUnsettled;
    if (flow.mStage == Stage::Open && !flow.mAwaitsAnswer) {
      SendRequest(aNow, index);
    }
  }
}

void
Callers::EndFinalCheck()
{
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto const& flow = mFlows[index];
    if (flow.mIsSettled || flow.mStage != Stage::Open) {
      continue;
    }
    RecordBrokenFlow(flow, "unsettled");
    EndFlow(index, mReport.mBrokenByStall);
  }
}

} // namespace tarragonsill::Lab
