#include "tarragonsill_lab_fabric.hpp"

#include "tarragonsill/protocol/tarragonsill_geneve.hpp"

#include <algorithm>
#include <map>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kReceiveTimeout{ 2 };
constexpr milliseconds kSettlePollInterval{ 20 };
constexpr milliseconds kReorderDelay{ 5 };

Callers::Options
AddServices(Callers::Options aOptions, Configuration const& aConfiguration)
{
  for (auto const& service : aConfiguration.mServices) {
    double weight = 0;
    for (auto const& upstream : service.mUpstreams) {
      weight += upstream.mLimit.mConnections;
    }
    aOptions.mServices.push_back(service.mAddress);
    aOptions.mWeights.push_back(weight);
  }
  return aOptions;
}

} // namespace

Result<std::unique_ptr<Fabric>>
Fabric::Create(Options aOptions, Configuration const& aConfiguration)
{
  auto socket = UdpSocket::Bind(aOptions.mAddress);
  if (!socket) {
    return socket.LastReason();
  }
  return std::unique_ptr<Fabric>(
    new Fabric(std::move(aOptions), socket.Take(), aConfiguration));
}

Fabric::Fabric(Options aOptions,
               UdpSocket aSocket,
               Configuration const& aConfiguration)
  : mOptions(std::move(aOptions))
  , mSocket(std::move(aSocket))
  , mCallers(AddServices(mOptions.mCallers, aConfiguration),
             mReport,
             [this](std::vector<std::byte> aPacket) {
               SendToRandomEntry(std::move(aPacket), "");
             })
  , mRandom(mOptions.mSeed)
{
  std::uint32_t serviceIndex = 0;
  std::uint32_t index = 0;
  for (auto const& service : aConfiguration.mServices) {
    mServices.push_back(service.mName);
    for (auto const& upstream : service.mUpstreams) {
      mUpstreams.emplace_back(upstream, serviceIndex, index++, mReport);
    }
    ++serviceIndex;
  }
}

Fabric::~Fabric()
{
  mStop = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Fabric::Start()
{
  {
    std::lock_guard const lock(mMutex);
    mCallers.Start(Clock::now());
  }
  mThread = std::thread([this] { Run(); });
}

void
Fabric::Run()
{
  while (!mStop) {
    auto const batch = mSocket.Receive(kReceiveTimeout);
    std::lock_guard const lock(mMutex);
    auto const now = Clock::now();
    for (auto const& datagram : batch) {
      HandleDatagram(now, datagram);
    }
    mCallers.Advance(now);
    SendDelayedPackets(now);
  }
}

void
Fabric::HandleDatagram(TimePoint aNow, Datagram const& aDatagram)
{
  auto const geneve = ParseGeneve(aDatagram.mBytes);
  if (!geneve) {
    ++mReport.mBadChecksums;
    return;
  }
  auto const packet =
    PacketView::Parse(aDatagram.mBytes.subspan(geneve->mBytes));
  if (!packet) {
    ++mReport.mBadChecksums;
    return;
  }
  ++mReport.mPacketsForwarded;
  auto* const upstream = FindUpstream(packet->Destination());
  if (upstream == nullptr) {
    mCallers.Handle(aNow, *packet);
    return;
  }
  auto const sender = std::find_if(
    mTargets.begin(), mTargets.end(), [&](FabricTarget const& aTarget) {
      return aTarget.mData == aDatagram.mFrom;
    });
  auto const& zone = upstream->Declaration().mZone;
  if (sender != mTargets.end() && IsCut(sender->mZone, zone)) {
    return;
  }
  auto answer = upstream->Handle(aNow, *packet);
  if (answer) {
    SendToRandomEntry(std::move(*answer), zone);
  }
}

void
Fabric::SendToRandomEntry(std::vector<std::byte> aPacket,
                          std::string const& aFromZone)
{
  std::vector<Endpoint> reachable;
  for (auto const& target : mTargets) {
    if (!aFromZone.empty() && IsCut(aFromZone, target.mZone)) {
      continue;
    }
    reachable.push_back(target.mData);
  }
  if (reachable.empty() || DrawWithProbability(mOptions.mLoss)) {
    return;
  }
  auto const target = reachable[mRandom() % reachable.size()];
  if (DrawWithProbability(mOptions.mDuplicate)) {
    SendTo(reachable[mRandom() % reachable.size()], aPacket);
  }
  if (DrawWithProbability(mOptions.mReorder)) {
    mDelayedPackets.push_back(
      { Clock::now() + kReorderDelay, target, std::move(aPacket) });
    return;
  }
  SendTo(target, aPacket);
}

void
Fabric::SendDelayedPackets(TimePoint aNow)
{
  for (auto const& delayed : mDelayedPackets) {
    if (delayed.mSendAt <= aNow) {
      SendTo(delayed.mTarget, delayed.mPacket);
    }
  }
  std::erase_if(mDelayedPackets, [&](DelayedPacket const& aDelayed) {
    return aDelayed.mSendAt <= aNow;
  });
}

void
Fabric::SendTo(Endpoint aTarget, std::span<std::byte const> aPacket)
{
  std::array<std::byte, kMaxGeneveBytes> header;
  auto const length = WriteGeneve(header, std::nullopt);
  mSocket.Queue(aTarget, std::span(header).first(length), aPacket);
  (void)mSocket.Flush();
}

bool
Fabric::DrawWithProbability(double aProbability)
{
  if (aProbability <= 0) {
    return false;
  }
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

bool
Fabric::IsCut(std::string const& aLeft, std::string const& aRight) const
{
  return aLeft != aRight &&
         (mCutZones.count(aLeft) > 0 || mCutZones.count(aRight) > 0);
}

FlowUpstream*
Fabric::FindUpstream(Endpoint aAddress)
{
  for (auto& upstream : mUpstreams) {
    if (upstream.Declaration().mAddress == aAddress) {
      return &upstream;
    }
  }
  return nullptr;
}

void
Fabric::SetTargets(std::vector<FabricTarget> aTargets)
{
  std::lock_guard const lock(mMutex);
  mTargets = std::move(aTargets);
}

void
Fabric::SetZoneCut(std::string const& aZone, bool aIsCut)
{
  std::lock_guard const lock(mMutex);
  if (aIsCut) {
    mCutZones.insert(aZone);
  } else {
    mCutZones.erase(aZone);
  }
}

void
Fabric::DrainUpstream(std::string const& aName, TimePoint aAcceptedAt)
{
  std::lock_guard const lock(mMutex);
  for (auto& upstream : mUpstreams) {
    if (upstream.Declaration().mName == aName) {
      upstream.RecordDrain(aAcceptedAt);
    }
  }
}

void
Fabric::MakeUpstreamCold(std::string const& aName)
{
  std::lock_guard const lock(mMutex);
  for (auto& upstream : mUpstreams) {
    if (upstream.Declaration().mName == aName) {
      upstream.BecomeCold();
    }
  }
}

std::set<std::uint32_t>
Fabric::UpstreamsInZone(std::string const& aZone) const
{
  std::set<std::uint32_t> indices;
  for (std::uint32_t index = 0; index < mUpstreams.size(); ++index) {
    if (mUpstreams[index].Declaration().mZone == aZone) {
      indices.insert(index);
    }
  }
  return indices;
}

void
Fabric::EvacuateZone(std::string const& aZone, TimePoint aAcceptedAt)
{
  std::lock_guard const lock(mMutex);
  auto const evacuated = UpstreamsInZone(aZone);
  for (auto const index : evacuated) {
    mUpstreams[index].RecordZoneOut(aAcceptedAt);
  }
  mCallers.AbandonFlows(evacuated);
}

void
Fabric::RestoreZone(std::string const& aZone)
{
  std::lock_guard const lock(mMutex);
  for (auto const index : UpstreamsInZone(aZone)) {
    mUpstreams[index].RecordZoneIn();
  }
}

void
Fabric::Finish(milliseconds aTimeout)
{
  auto const end = Clock::now() + aTimeout;
  {
    std::lock_guard const lock(mMutex);
    mCallers.BeginFinalCheck(Clock::now());
  }
  for (bool settled = false; !settled && Clock::now() < end;) {
    std::this_thread::sleep_for(kSettlePollInterval);
    std::lock_guard const lock(mMutex);
    settled = mCallers.IsSettled();
  }
  std::lock_guard const lock(mMutex);
  mCallers.EndFinalCheck();
}

FlowReport
Fabric::Report()
{
  std::lock_guard const lock(mMutex);
  std::map<std::uint32_t, std::vector<double>> shares;
  for (auto const& upstream : mUpstreams) {
    if (upstream.IsAffectedByEvent()) {
      continue;
    }
    shares[upstream.ServiceIndex()].push_back(
      static_cast<double>(upstream.AcceptedConnections()) /
      upstream.Declaration().mLimit.mConnections);
  }
  for (auto const& [service, values] : shares) {
    double sum = 0;
    for (auto const value : values) {
      sum += value;
    }
    auto const mean = sum / static_cast<double>(values.size());
    auto const maxShare = *std::max_element(values.begin(), values.end());
    mReport.mImbalance[mServices[service]] = mean > 0 ? maxShare / mean : 0;
  }
  return mReport;
}

} // namespace tarragonsill::Lab
