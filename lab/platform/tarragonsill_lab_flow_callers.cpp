#include "tarragonsill_lab_flow_callers.hpp"

#include "tarragonsill_lab_platform_upstreams.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kRequestBytes = 60;
/// Delay of the first retransmission; it doubles for each further one.
constexpr milliseconds kRetransmitInterval{ 200 };
constexpr unsigned kMaxDoublings = 3;
/// Time between an answer and the next request.
constexpr milliseconds kThinkTime{ 50 };
constexpr milliseconds kStallTimeout{ 3000 };

} // namespace

FlowCallers::FlowCallers(UdpSocket aSocket, Endpoint aAddress)
  : mSocket(std::move(aSocket))
  , mAddress(aAddress)
{
}

Result<FlowCallers>
FlowCallers::Start(Endpoint aAddress)
{
  auto socket = UdpSocket::Bind(aAddress);
  if (!socket) {
    return socket.LastReason();
  }
  return FlowCallers(socket.Take(), aAddress);
}

void
FlowCallers::Open(TimePoint aNow, Endpoint aRoute)
{
  Flow flow;
  flow.mCaller = { mAddress.mAddress, mNextPort++ };
  flow.mRoute = aRoute;
  flow.mFirstSentAt = aNow;
  flow.mNextSend = aNow;
  mFlows.push_back(flow);
}

void
FlowCallers::RecordEvent(Flow const& aFlow, FlowEvent::Kind aKind)
{
  mEvents.push_back({ aKind,
                      aFlow.mCaller,
                      aFlow.mRoute,
                      aFlow.mFirstVm,
                      aFlow.mCookie,
                      aFlow.mFirstSentAt,
                      aFlow.mReachedOtherVms });
}

void
FlowCallers::Send(Flow& aFlow, bool aIsRequest)
{
  FlowPacket packet;
  packet.mSource = aFlow.mCaller;
  packet.mDestination = aFlow.mRoute;
  packet.mSequence = aFlow.mSequence;
  packet.mCookie = aFlow.mCookie;
  packet.mOpens = !aFlow.mIsOpen;
  packet.mAcknowledges = aFlow.mIsOpen;
  packet.mAcknowledged = aFlow.mAcknowledged;
  packet.mOpeningRetransmissions = aFlow.mSendCount;
  packet.mDataBytes = aIsRequest && aFlow.mIsOpen ? kRequestBytes : 0;
  FlowKey const key{ aFlow.mCaller, aFlow.mRoute, TransportProtocol::Tcp };
  auto const& vm = mVms[key.Hash() % mVms.size()];
  if (!aFlow.mIsOpen) {
    aFlow.mReachedOtherVms =
      aFlow.mReachedOtherVms || (aFlow.mSendCount > 0 && aFlow.mFirstVm != vm);
    aFlow.mFirstVm = aFlow.mSendCount == 0 ? vm : aFlow.mFirstVm;
  }
  (void)mSocket.Send(vm, MakePacket(packet));
}

void
FlowCallers::SendDue(TimePoint aNow, Flow& aFlow)
{
  if (aFlow.mHasEnded || aNow < aFlow.mNextSend) {
    return;
  }
  if (!aFlow.mIsAwaitingAnswer) {
    aFlow.mIsAwaitingAnswer = true;
    aFlow.mFirstSentAt = aNow;
    aFlow.mSendCount = 0;
  }
  if (aNow > aFlow.mFirstSentAt + kStallTimeout) {
    ++mReport.mStalled;
    RecordEvent(aFlow, FlowEvent::Kind::Stalled);
    aFlow.mHasEnded = true;
    return;
  }
  Send(aFlow, true);
  aFlow.mNextSend = aNow + kRetransmitInterval *
                             (1U << std::min(aFlow.mSendCount, kMaxDoublings));
  ++aFlow.mSendCount;
}

void
FlowCallers::InjectReset()
{
  for (auto& flow : mFlows) {
    if (!flow.mIsOpen || flow.mHasEnded) {
      continue;
    }
    FlowPacket reset;
    reset.mResets = true;
    reset.mDestination = flow.mCaller;
    HandlePacket(Clock::now(), reset);
    return;
  }
}

void
FlowCallers::Poll(TimePoint aNow)
{
  for (auto& flow : mFlows) {
    SendDue(aNow, flow);
  }
  for (auto const& datagram : mSocket.Receive(milliseconds{ 1 })) {
    if (auto const packet = Platform::PacketFormat::Read(datagram.mBytes)) {
      HandlePacket(aNow, *packet);
    }
  }
}

void
FlowCallers::HandlePacket(TimePoint aNow, FlowPacket const& aPacket)
{
  auto const index = aPacket.mDestination.mPort - 10000;
  if (index < 0 || static_cast<std::size_t>(index) >= mFlows.size()) {
    return;
  }
  auto& flow = mFlows[static_cast<std::size_t>(index)];
  if (flow.mHasEnded) {
    return;
  }
  if (aPacket.mResets) {
    ++(flow.mIsOpen ? mReport.mResets : mReport.mRefused);
    RecordEvent(
      flow, flow.mIsOpen ? FlowEvent::Kind::Reset : FlowEvent::Kind::Refused);
    flow.mHasEnded = true;
    return;
  }
  flow.mCookie = aPacket.mCookie;
  if (!flow.mIsOpen) {
    flow.mIsOpen = true;
    ++mReport.mOpened;
    RecordEvent(flow, FlowEvent::Kind::Opened);
    ++flow.mSequence;
    flow.mAcknowledged = aPacket.mSequence + 1;
    flow.mIsAwaitingAnswer = false;
    flow.mNextSend = aNow;
    Send(flow, false);
    return;
  }
  bool const isNew = aPacket.mDataBytes > 0 &&
                     aPacket.mSequence == flow.mAcknowledged &&
                     flow.mIsAwaitingAnswer;
  if (!isNew) {
    return;
  }
  ++mReport.mAnswers;
  flow.mSequence += kRequestBytes;
  flow.mAcknowledged += aPacket.mDataBytes;
  flow.mIsAwaitingAnswer = false;
  flow.mNextSend = aNow + kThinkTime;
  Send(flow, false);
}

} // namespace tarragonsill::Lab
