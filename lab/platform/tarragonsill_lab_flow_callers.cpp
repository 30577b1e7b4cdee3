#include "tarragonsill_lab_flow_callers.hpp"

#include "tarragonsill_lab_platform_upstreams.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kRequestBytes = 60;
/// The first repetition; each further one waits twice as long.
constexpr milliseconds kRepeat{ 200 };
constexpr unsigned kMaxDoublings = 3;
constexpr milliseconds kPause{ 50 };
constexpr milliseconds kStall{ 3000 };

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
  flow.mAsked = aNow;
  flow.mNextSend = aNow;
  mFlows.push_back(flow);
}

void
FlowCallers::Note(Flow const& aFlow, FlowEvent::Kind aKind)
{
  mEvents.push_back({ aKind,
                      aFlow.mRoute,
                      aFlow.mVm,
                      aFlow.mCookie,
                      aFlow.mAsked,
                      aFlow.mHasMoved });
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
  packet.mOpeningCopies = aFlow.mCopies;
  packet.mDataBytes = aIsRequest && aFlow.mIsOpen ? kRequestBytes : 0;
  FlowKey const key{ aFlow.mCaller, aFlow.mRoute, TransportProtocol::Tcp };
  auto const& vm = mVms[key.Hash() % mVms.size()];
  if (!aFlow.mIsOpen) {
    aFlow.mHasMoved = aFlow.mHasMoved || (aFlow.mCopies > 0 && aFlow.mVm != vm);
    aFlow.mVm = aFlow.mCopies == 0 ? vm : aFlow.mVm;
  }
  (void)mSocket.Send(vm, MakePacket(packet));
}

void
FlowCallers::SendDue(TimePoint aNow, Flow& aFlow)
{
  if (aFlow.mHasEnded || aNow < aFlow.mNextSend) {
    return;
  }
  if (!aFlow.mIsWaiting) {
    aFlow.mIsWaiting = true;
    aFlow.mAsked = aNow;
    aFlow.mCopies = 0;
  }
  if (aNow > aFlow.mAsked + kStall) {
    ++mReport.mStalled;
    Note(aFlow, FlowEvent::Kind::Stalled);
    aFlow.mHasEnded = true;
    return;
  }
  Send(aFlow, true);
  aFlow.mNextSend =
    aNow + kRepeat * (1U << std::min(aFlow.mCopies, kMaxDoublings));
  ++aFlow.mCopies;
}

void
FlowCallers::ForgeReset()
{
  for (auto& flow : mFlows) {
    if (!flow.mIsOpen || flow.mHasEnded) {
      continue;
    }
    FlowPacket reset;
    reset.mResets = true;
    reset.mDestination = flow.mCaller;
    Take(Clock::now(), reset);
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
      Take(aNow, *packet);
    }
  }
}

void
FlowCallers::Take(TimePoint aNow, FlowPacket const& aPacket)
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
    Note(flow,
         flow.mIsOpen ? FlowEvent::Kind::Reset : FlowEvent::Kind::Refused);
    flow.mHasEnded = true;
    return;
  }
  flow.mCookie = aPacket.mCookie;
  if (!flow.mIsOpen) {
    flow.mIsOpen = true;
    ++mReport.mOpened;
    Note(flow, FlowEvent::Kind::Opened);
    ++flow.mSequence;
    flow.mAcknowledged = aPacket.mSequence + 1;
    flow.mIsWaiting = false;
    flow.mNextSend = aNow;
    Send(flow, false);
    return;
  }
  bool const isNew = aPacket.mDataBytes > 0 &&
                     aPacket.mSequence == flow.mAcknowledged && flow.mIsWaiting;
  if (!isNew) {
    return;
  }
  ++mReport.mAnswers;
  flow.mSequence += kRequestBytes;
  flow.mAcknowledged += aPacket.mDataBytes;
  flow.mIsWaiting = false;
  flow.mNextSend = aNow + kPause;
  Send(flow, false);
}

} // namespace tarragonsill::Lab
