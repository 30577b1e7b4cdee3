#include "tarragonsill/transport/tarragonsill_packet_worker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kReceiveTimeout{ 20 };
constexpr milliseconds kReportPeriod{ 20 };
/// The process was paused if one iteration took longer than this.
constexpr milliseconds kPauseThreshold{ 500 };
constexpr milliseconds kSweepPeriod{ 1000 };

Counter
CounterOf(PacketError aError)
{
  switch (aError) {
    case PacketError::OuterVersion:
      return Counter::DropOuterVersion;
    case PacketError::OuterProtocol:
      return Counter::DropOuterProtocol;
    case PacketError::OuterCriticalOption:
      return Counter::DropOuterCriticalOption;
    case PacketError::Truncated:
      return Counter::DropTruncated;
    case PacketError::Version:
      return Counter::DropVersion;
    case PacketError::IpOptions:
      return Counter::DropIpOptions;
    case PacketError::Fragment:
      return Counter::DropFragment;
    case PacketError::Protocol:
      return Counter::DropProtocol;
    default:
      return Counter::DropOuterTruncated;
  }
}

template<typename T>
void
MoveAppend(std::vector<T>& aTo, std::vector<T> aFrom)
{
  aTo.insert(aTo.end(),
             std::make_move_iterator(aFrom.begin()),
             std::make_move_iterator(aFrom.end()));
}

} // namespace

Result<std::unique_ptr<PacketWorker>>
PacketWorker::Start(Settings const& aSettings, Counters& aCounters)
{
  auto socket = UdpSocket::Bind(aSettings.mData);
  if (!socket) {
    return socket.LastReason();
  }
  std::unique_ptr<PacketWorker> worker(
    new PacketWorker(aSettings, aCounters, socket.Take()));
  worker->mThread = std::thread([raw = worker.get()] { raw->Run(); });
  return worker;
}

PacketWorker::PacketWorker(Settings const& aSettings,
                           Counters& aCounters,
                           UdpSocket aSocket)
  : mSettings(aSettings)
  , mCounters(aCounters)
  , mSocket(std::move(aSocket))
  , mEngine(PacketEngine::Options{}, aCounters)
{
}

PacketWorker::~PacketWorker()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PacketWorker::Post(WorkerUpdate aUpdate)
{
  std::lock_guard const lock(mMutex);
  if (aUpdate.mSnapshot) {
    mPendingUpdate.mSnapshot = std::move(aUpdate.mSnapshot);
  }
  if (aUpdate.mLeases) {
    mPendingUpdate.mLeases = std::move(aUpdate.mLeases);
    mPendingUpdate.mLeasesRevision = aUpdate.mLeasesRevision;
  }
  if (aUpdate.mDenied) {
    mPendingUpdate.mDenied = std::move(aUpdate.mDenied);
  }
  MoveAppend(mPendingUpdate.mExceptions, std::move(aUpdate.mExceptions));
  mHasPendingUpdate = true;
}

WorkerReport
PacketWorker::TakeReport()
{
  std::lock_guard const lock(mMutex);
  auto report = mReport;
  mReport.mTransfers.clear();
  mReport.mDecisions.clear();
  return report;
}

void
PacketWorker::ApplyPendingUpdate(TimePoint aNow)
{
  if (!mHasPendingUpdate) {
    return;
  }
  std::unique_lock lock(mMutex, std::try_to_lock);
  if (!lock.owns_lock()) {
    return; // The control plane holds the lock; the next iteration retries.
  }
  auto update = std::exchange(mPendingUpdate, {});
  mHasPendingUpdate = false;
  lock.unlock();
  if (update.mDenied) {
    mSettings.mDenied = std::move(*update.mDenied);
  }
  if (update.mSnapshot) {
    mEngine.ApplySnapshot(std::move(update.mSnapshot));
  }
  for (auto const& exception : update.mExceptions) {
    mEngine.StoreException(aNow, exception);
  }
  if (update.mLeases) {
    mEngine.ApplyLeases(aNow, std::move(update.mLeases));
    mAppliedRevision = update.mLeasesRevision;
  }
}

void
PacketWorker::Report()
{
  std::unique_lock lock(mMutex, std::try_to_lock);
  if (!lock.owns_lock()) {
    return;
  }
  mReport.mOpenWork = mEngine.OpenWork();
  mReport.mLeasesRevision = mAppliedRevision;
  MoveAppend(mReport.mTransfers, mEngine.TakeTransfers());
  MoveAppend(mReport.mDecisions, mEngine.TakeDecisions());
  mReport.mExceptions = mEngine.ExceptionCount();
  mReport.mMemoryBytes = mEngine.MemoryBytes();
  ++mReport.mNumber;
}

void
PacketWorker::Run()
{
  auto nextReport = Clock::now();
  auto nextSweep = Clock::now();
  auto lastIteration = Clock::now();
  while (!mStop) {
    auto const batch = mSocket.Receive(kReceiveTimeout);
    auto const now = Clock::now();
    bool const paused =
      now - std::exchange(lastIteration, now) > kPauseThreshold;
    if (paused) {
      DropQueued(batch.size());
      lastIteration = Clock::now();
      continue;
    }
    ApplyPendingUpdate(now);
    HandleBatch(now, batch);
    if (now >= nextReport) {
      nextReport = now + kReportPeriod;
      Report();
    }
    if (now >= nextSweep) {
      nextSweep = now + kSweepPeriod;
      mEngine.Sweep(now);
    }
  }
}

void
PacketWorker::DropQueued(std::size_t aAlreadyRead)
{
  constexpr milliseconds kNoWait{ 0 };
  // Packets queued during a local pause are stale: the callers have
  // retransmitted them, and another entry VM has handled them. A stale opening
  // packet would open its flow a second time.
  std::size_t dropped = aAlreadyRead;
  for (auto batch = mSocket.Receive(kNoWait); !batch.empty();
       batch = mSocket.Receive(kNoWait)) {
    dropped += batch.size();
  }
  mCounters.Add(Counter::DropStale, dropped);
}

void
PacketWorker::HandleBatch(TimePoint aNow, std::span<Datagram const> aBatch)
{
  std::array<std::array<std::byte, kMaxGeneveBytes>, UdpSocket::kBatch> headers;
  std::size_t index = 0;
  for (auto const& datagram : aBatch) {
    HandleDatagram(aNow, datagram, headers[index++]);
  }
  mCounters.Add(Counter::PacketsReceived, aBatch.size());
  auto const failed = mSocket.Flush();
  if (failed > 0) {
    mCounters.Add(Counter::DropSendFailed, failed);
  }
}

void
PacketWorker::HandleDatagram(TimePoint aNow,
                             Datagram const& aDatagram,
                             std::span<std::byte, kMaxGeneveBytes> aHeader)
{
  auto const geneve = ParseGeneve(aDatagram.mBytes);
  if (!geneve) {
    mCounters.Add(CounterOf(geneve.LastReason()));
    return;
  }
  // Packets with a route are accepted from peers only, packets without a route
  // from the fabric only.
  bool const trusted =
    geneve->mRoute ? IsPeer(aDatagram.mFrom) : IsFabric(aDatagram.mFrom);
  bool const denied = AnyContains(mSettings.mDenied, aDatagram.mFrom.mAddress);
  if (!trusted || denied) {
    mCounters.Add(Counter::DropForeignSender);
    return;
  }
  auto packet = PacketView::Parse(aDatagram.mBytes.subspan(geneve->mBytes));
  if (!packet) {
    mCounters.Add(CounterOf(packet.LastReason()));
    return;
  }
  auto const action = geneve->mRoute
                        ? mEngine.HandlePeer(aNow, *geneve->mRoute, *packet)
                        : mEngine.HandleFabric(aNow, *packet);
  if (action.mKind == ActionKind::Drop || action.mKind == ActionKind::Handled) {
    return;
  }
  if (action.mCopyPeer.mPort != 0 &&
      !AnyContains(mSettings.mDenied, action.mCopyPeer.mAddress)) {
    SendCopy(action, *packet);
  }
  bool const toPeer = action.mKind == ActionKind::ToPeer;
  if (toPeer && AnyContains(mSettings.mDenied, action.mPeer.mAddress)) {
    mCounters.Add(Counter::DropSendFailed);
    return;
  }
  auto const length =
    WriteGeneve(aHeader, toPeer ? std::optional(action.mRoute) : std::nullopt);
  mSocket.Queue(toPeer ? action.mPeer : mSettings.mFabric.front(),
                aHeader.first(length),
                packet->Bytes());
}

void
PacketWorker::SendCopy(PacketAction const& aAction, PacketView const& aPacket)
{
  std::array<std::byte, kMaxGeneveBytes> header;
  auto const length = WriteGeneve(header, aAction.mCopyRoute);
  // The header is on this function's stack, so the batch is flushed here.
  mSocket.Queue(
    aAction.mCopyPeer, std::span(header).first(length), aPacket.Bytes());
  (void)mSocket.Flush();
}

bool
PacketWorker::IsFabric(Endpoint aFrom) const
{
  return std::find(mSettings.mFabric.begin(), mSettings.mFabric.end(), aFrom) !=
         mSettings.mFabric.end();
}

bool
PacketWorker::IsPeer(Endpoint aFrom) const
{
  return AnyContains(mSettings.mPeers, aFrom.mAddress);
}

} // namespace tarragonsill
