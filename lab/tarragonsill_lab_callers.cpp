#include "tarragonsill_lab_callers.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kFirstTimeout{ 250 };
constexpr milliseconds kLongestTimeout{ 1000 };
/// A caller takes its flow for broken after this time without an answer.
constexpr seconds kStall{ 12 };
constexpr milliseconds kRefusedPause{ 100 };
/// One flow in this many is short and reopens again and again.
constexpr std::uint32_t kShortShare = 5;
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
    mFlows[index].mShort = index % kShortShare == 0;
    auto const delay = mOptions.mOpenOver * index / mFlows.size();
    Schedule(aNow + delay, index);
  }
}

void
Callers::Schedule(TimePoint aAt, std::uint32_t aFlow)
{
  mTimers.push({ aAt, aFlow, ++mFlows[aFlow].mTimer });
}

void
Callers::Advance(TimePoint aNow)
{
  while (!mTimers.empty() && mTimers.top().mAt <= aNow) {
    auto const timer = mTimers.top();
    mTimers.pop();
    if (mFlows[timer.mFlow].mTimer == timer.mTimer) {
      Expire(aNow, timer.mFlow);
    }
  }
}

void
Callers::Expire(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  switch (flow.mStage) {
    case Stage::Waiting:
      Reopen(aNow, aFlow);
      return;
    case Stage::Open:
      if (!flow.mAwaits) {
        Request(aNow, aFlow);
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
Callers::Reopen(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  auto const number = mNextCaller++;
  flow.mCaller = { { kFirstCallerAddress + number / kPortsPerCaller },
                   static_cast<std::uint16_t>(kFirstPort +
                                              number % kPortsPerCaller) };
  flow.mStage = Stage::Opening;
  flow.mNumber = 0;
  flow.mSince = aNow;
  flow.mTimeout = kFirstTimeout;
  SendFlow(aFlow, TcpFlags::kSyn);
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::Request(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  flow.mSince = aNow;
  flow.mTimeout = kFirstTimeout;
  if (flow.mShort && flow.mNumber >= kShortRoundTrips && !mFinal) {
    flow.mStage = Stage::Closing;
    SendFlow(aFlow, TcpFlags::kFin | TcpFlags::kAck);
  } else {
    flow.mAwaits = true;
    ++flow.mNumber;
    SendFlow(aFlow, TcpFlags::kAck);
  }
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::Retransmit(TimePoint aNow, std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  if (aNow - flow.mSince > kStall) {
    if (flow.mStage == Stage::Open) {
      NoteBroken(flow, "stall");
      Break(aFlow, mReport.mBrokenByStall);
    } else if (flow.mStage == Stage::Opening) {
      Break(aFlow, mReport.mNotOpened);
    } else {
      Settle(aFlow);
      flow.mStage = Stage::Done;
    }
    return;
  }
  ++mReport.mRetransmissions;
  SendFlow(aFlow,
           flow.mStage == Stage::Opening ? TcpFlags::kSyn
           : flow.mStage == Stage::Closing
             ? static_cast<std::uint8_t>(TcpFlags::kFin | TcpFlags::kAck)
             : TcpFlags::kAck);
  flow.mTimeout = std::min(kLongestTimeout, flow.mTimeout * 2);
  Schedule(aNow + flow.mTimeout, aFlow);
}

void
Callers::SendFlow(std::uint32_t aFlow, std::uint8_t aFlags)
{
  auto const& flow = mFlows[aFlow];
  Payload const payload{ aFlow, flow.mNumber, flow.mService, 0 };
  mSend(BuildPacket(
    flow.mCaller, mOptions.mServices[flow.mService], aFlags, payload));
}

void
Callers::Break(std::uint32_t aFlow, std::uint64_t& aCounter)
{
  ++aCounter;
  Settle(aFlow);
  mFlows[aFlow].mStage = Stage::Done;
}

void
Callers::NoteBroken(Flow const& aFlow, std::string const& aHow)
{
  constexpr std::size_t kMaxNotes = 20;
  if (mReport.mBrokenFlows.size() == kMaxNotes) {
    return;
  }
  mReport.mBrokenFlows.push_back(
    aHow + " flow=" + ToText(aFlow.mCaller) +
    " upstream=" + std::to_string(aFlow.mUpstream) +
    " round=" + std::to_string(aFlow.mNumber));
}

void
Callers::Settle(std::uint32_t aFlow)
{
  auto& flow = mFlows[aFlow];
  if (mFinal && !flow.mFinalDone) {
    --mUnsettled;
  }
  flow.mFinalDone = true;
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
  bool const current = aPacket.Destination() == flow.mCaller &&
                       aPacket.Source() == mOptions.mServices[flow.mService];
  if (!current || flow.mStage == Stage::Done) {
    return; // A late answer to an earlier connection.
  }
  if ((aPacket.Flags() & TcpFlags::kRst) != 0) {
    HandleReset(aNow, index, *payload);
    return;
  }
  Progress(aNow, index, *payload);
}

void
Callers::HandleReset(TimePoint aNow,
                     std::uint32_t aFlow,
                     Payload const& aPayload)
{
  auto& flow = mFlows[aFlow];
  if (flow.mStage == Stage::Opening) {
    Schedule(aNow + kRefusedPause, aFlow);
    return;
  }
  if (flow.mStage == Stage::Open) {
    NoteBroken(flow,
               "reset from upstream " + std::to_string(aPayload.mUpstream) +
                 " to request " + std::to_string(aPayload.mNumber));
    Break(aFlow, mReport.mBrokenByReset);
  }
}

void
Callers::Progress(TimePoint aNow, std::uint32_t aFlow, Payload const& aPayload)
{
  auto& flow = mFlows[aFlow];
  if (flow.mStage == Stage::Opening) {
    flow.mStage = Stage::Open;
    flow.mUpstream = aPayload.mUpstream;
    flow.mAwaits = false;
    ++mReport.mOpened;
    Request(aNow, aFlow);
    return;
  }
  if (flow.mStage == Stage::Closing) {
    SendFlow(aFlow, TcpFlags::kAck);
    flow.mNumber = 0;
    flow.mStage = mFinal ? Stage::Done : Stage::Waiting;
    Settle(aFlow);
    flow.mFinalDone = mFinal;
    if (!mFinal) {
      Schedule(aNow + mOptions.mDataInterval, aFlow);
    }
    return;
  }
  bool const answered = flow.mStage == Stage::Open && flow.mAwaits &&
                        aPayload.mNumber == flow.mNumber;
  if (!answered) {
    return;
  }
  flow.mAwaits = false;
  flow.mSince = aNow;
  if (mFinal) {
    Settle(aFlow);
    return;
  }
  std::uniform_real_distribution<double> draw(0.5, 1.5);
  auto const pause = std::chrono::duration_cast<Duration>(
    mOptions.mDataInterval * draw(mRandom));
  Schedule(aNow + pause, aFlow);
}

void
Callers::GiveUp(std::set<std::uint32_t> const& aUpstreams)
{
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto& flow = mFlows[index];
    bool const affected =
      (flow.mStage == Stage::Open || flow.mStage == Stage::Closing) &&
      aUpstreams.count(flow.mUpstream) > 0;
    if (affected) {
      Break(index, mReport.mGivenUpInRemovedZone);
    }
  }
}

void
Callers::BeginFinalCheck(TimePoint aNow)
{
  mFinal = true;
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto& flow = mFlows[index];
    flow.mFinalDone = false;
    if (flow.mStage == Stage::Waiting || flow.mStage == Stage::Done) {
      flow.mStage = Stage::Done;
      flow.mFinalDone = true;
      continue;
    }
    ++mUnsettled;
    if (flow.mStage == Stage::Open && !flow.mAwaits) {
      Request(aNow, index);
    }
  }
}

void
Callers::EndFinalCheck()
{
  for (std::uint32_t index = 0; index < mFlows.size(); ++index) {
    auto const& flow = mFlows[index];
    if (flow.mFinalDone || flow.mStage != Stage::Open) {
      continue;
    }
    NoteBroken(flow, "unsettled");
    Break(index, mReport.mBrokenByStall);
  }
}

} // namespace tarragonsill::Lab
