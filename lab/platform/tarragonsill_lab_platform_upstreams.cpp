#include "tarragonsill_lab_platform_upstreams.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill_lab_listener.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::size_t kIdentityBytes = 8;
constexpr unsigned kSyn = 1;
constexpr unsigned kAck = 2;
constexpr unsigned kFin = 16;
constexpr unsigned kRst = 64;

std::uint64_t
ReadIdentity(std::span<std::byte const> aDatagram)
{
  return (std::uint64_t{ LoadU32(aDatagram, 0) } << 32) |
         LoadU32(aDatagram, sizeof(std::uint32_t));
}

} // namespace

std::vector<std::byte>
MakePacket(FlowPacket const& aPacket)
{
  std::vector<std::byte> bytes(Platform::PacketFormat::kHeaderBytes +
                               aPacket.mDataBytes);
  std::span<std::byte> const head(bytes);
  StoreU32(head, 0, aPacket.mSequence);
  StoreU32(head,
           4,
           aPacket.mAcknowledges ? aPacket.mAcknowledged
                                 : aPacket.mOpeningRetransmissions);
  StoreU16(head, 8, aPacket.mDataBytes);
  StoreU32(head, 10, aPacket.mCookie);
  StoreU16(head, 18, aPacket.mDestination.mPort);
  StoreU32(head, 20, aPacket.mSource.mAddress.mValue);
  StoreU16(head, 24, aPacket.mSource.mPort);
  StoreU32(head, 26, aPacket.mDestination.mAddress.mValue);
  auto const flags =
    (aPacket.mOpens ? kSyn : 0U) | (aPacket.mAcknowledges ? kAck : 0U) |
    (aPacket.mCloses ? kFin : 0U) | (aPacket.mResets ? kRst : 0U);
  head[30] = static_cast<std::byte>(flags);
  return bytes;
}

PlatformUpstream::PlatformUpstream(UdpSocket aSocket,
                                   FileDescriptor aListener,
                                   std::uint64_t aIdentity,
                                   std::uint16_t aCallerPort)
  : mSocket(std::move(aSocket))
  , mListener(std::move(aListener))
  , mIdentity(aIdentity)
  , mCallerPort(aCallerPort)
{
}

Result<PlatformUpstream>
PlatformUpstream::Start(Endpoint aAddress,
                        std::uint64_t aIdentity,
                        std::uint16_t aCallerPort)
{
  auto socket = UdpSocket::Bind(aAddress);
  if (!socket) {
    return socket.LastReason();
  }
  auto listener = Listen(aAddress);
  if (!listener) {
    return listener.LastReason();
  }
  return PlatformUpstream(
    socket.Take(), listener.Take(), aIdentity, aCallerPort);
}

void
PlatformUpstream::Crash()
{
  mHasCrashed = true;
  mSocket.reset();
  mListener = FileDescriptor();
  mFlows.clear();
}

void
PlatformUpstream::Poll()
{
  if (mHasCrashed || IsSuspended(Clock::now())) {
    return;
  }
  while (AcceptConnection(mListener).IsOpen()) {
    // A health check; its connection is closed immediately.
  }
  for (auto const& datagram : mSocket->Receive(milliseconds{ 0 })) {
    if (mIsSilent || datagram.mBytes.size() < kIdentityBytes) {
      continue;
    }
    auto const identity = ReadIdentity(datagram.mBytes);
    auto const packet =
      Platform::PacketFormat::Read(datagram.mBytes.subspan(kIdentityBytes));
    if (!packet || (identity != 0 && identity != mIdentity)) {
      continue;
    }
    HandlePacket(*packet);
  }
}

void
PlatformUpstream::HandlePacket(FlowPacket const& aPacket)
{
  if (aPacket.mOpens) {
    auto& flow = mFlows[aPacket.mSource];
    if (flow.mIsOpen) {
      return;
    }
    flow.mNextSequence = static_cast<std::uint32_t>(mIdentity) + 1;
    flow.mExpectedSequence = aPacket.mSequence + 1;
    FlowPacket answer;
    answer.mOpens = true;
    Answer(aPacket, flow, answer);
    return;
  }
  auto const found = mFlows.find(aPacket.mSource);
  // A caller that got several answers to its opening packet acknowledges the
  // first one.
  bool const isOpenElsewhere =
    found != mFlows.end() && !found->second.mIsOpen &&
    aPacket.mAcknowledged != found->second.mNextSequence + 1;
  if (found == mFlows.end() || isOpenElsewhere) {
    ++mUnknownFlowPackets;
    mUnknownCallers.push_back(aPacket.mSource);
    FlowPacket reset;
    reset.mResets = true;
    Answer(aPacket, {}, reset);
    return;
  }
  auto& flow = found->second;
  if (!flow.mIsOpen) {
    flow.mIsOpen = true;
    ++flow.mNextSequence;
    ++mOpenedFlows;
  }
  if (aPacket.mDataBytes == 0) {
    return;
  }
  constexpr std::uint16_t kAnswerBytes = 100;
  bool const isNew = aPacket.mSequence == flow.mExpectedSequence;
  flow.mExpectedSequence += isNew ? aPacket.mDataBytes : 0;
  flow.mNextSequence += isNew ? kAnswerBytes : 0;
  auto sent = flow;
  sent.mNextSequence -= kAnswerBytes;
  FlowPacket answer;
  answer.mDataBytes = kAnswerBytes;
  Answer(aPacket, sent, answer);
}

void
PlatformUpstream::Answer(FlowPacket const& aPacket,
                         Flow const& aFlow,
                         FlowPacket aAnswer)
{
  aAnswer.mSource = aPacket.mDestination;
  aAnswer.mDestination = aPacket.mSource;
  aAnswer.mAcknowledges = !aAnswer.mResets;
  aAnswer.mCookie = aPacket.mCookie;
  aAnswer.mSequence = aFlow.mNextSequence;
  aAnswer.mAcknowledged = aFlow.mExpectedSequence;
  (void)mSocket->Send({ aPacket.mSource.mAddress, mCallerPort },
                      MakePacket(aAnswer));
}

} // namespace tarragonsill::Lab
