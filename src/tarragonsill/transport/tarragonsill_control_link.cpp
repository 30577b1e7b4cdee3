#include "tarragonsill/transport/tarragonsill_control_link.hpp"

#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"
#include "tarragonsill/transport/tarragonsill_boot_time.hpp"

namespace tarragonsill {

namespace {

/// The thread checks at least this often whether it has to stop.
constexpr milliseconds kReceiveTimeout{ 200 };
/// Reads that are further apart mean that the VM was paused or the thread was
/// starved.
constexpr milliseconds kPauseThreshold{ 350 };

} // namespace

ControlLink::ControlLink(UdpSocket aSocket,
                         Counters& aCounters,
                         IsAllowed aIsAllowed)
  : mSocket(std::move(aSocket))
  , mBacklog(TimeSinceBoot(), kPauseThreshold)
  , mCounters(aCounters)
  , mIsAllowed(std::move(aIsAllowed))
{
}

ControlLink::~ControlLink()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ControlLink::Start(caf::actor aControl)
{
  mThread = std::thread([this, aControl] { Run(aControl); });
}

void
ControlLink::Send(Endpoint aTo, std::string const& aBytes)
{
  if (mIsAllowed(aTo)) {
    (void)mSocket.Send(aTo, std::as_bytes(std::span(aBytes)));
  }
}

void
ControlLink::Run(caf::actor const& aControl)
{
  while (!mStop) {
    auto const readStart = TimeSinceBoot();
    auto const batch = mSocket.Receive(kReceiveTimeout);
    bool const isQueueEmpty = batch.size() < UdpSocket::kBatch;
    (void)mBacklog.RecordRead(readStart, TimeSinceBoot(), isQueueEmpty);
    for (auto const& datagram : batch) {
      Handle(datagram, aControl);
    }
  }
}

void
ControlLink::Handle(Datagram const& aDatagram, caf::actor const& aControl)
{
  mCounters.Add(Counter::ControlMessagesReceived);
  mCounters.Add(Counter::ControlBytesReceived, aDatagram.mBytes.size());
  auto message = ReadPeerMessage(aDatagram.mBytes);
  if (!mIsAllowed(aDatagram.mFrom) || !message) {
    mCounters.Add(Counter::ControlMessagesRejected);
    return;
  }
  caf::anon_send(
    aControl,
    DatagramReceived{ std::make_shared<wire::PeerMessage const>(message.Take()),
                      mBacklog.MaxAge(TimeSinceBoot()) });
}

} // namespace tarragonsill
