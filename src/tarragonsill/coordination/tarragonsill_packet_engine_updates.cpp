#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include "tarragonsill/coordination/internal/tarragonsill_packet_engine_constants.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

using namespace Detail;

namespace {

std::vector<std::string>
ExceptionHomeNames(SteeringSnapshot const& aSnapshot,
                   SnapshotBaseShare const& aBase)
{
  std::vector<std::string> names;
  for (auto const entry : aBase.mHomeChain) {
    if (names.size() == kExceptionHomes) {
      break;
    }
    names.push_back(aSnapshot.mEntries[entry].mName);
  }
  return names;
}

bool
Contains(std::vector<std::string> const& aNames, std::string const& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

void
PacketEngine::ApplySnapshot(std::shared_ptr<SteeringSnapshot const> aSnapshot)
{
  std::vector<ExceptionTable> exceptions(aSnapshot->mServices.size());
  for (std::size_t index = 0; mSnapshot && index < mExceptions.size();
       ++index) {
    auto const address = mSnapshot->mServices[index].mService.mAddress;
    auto const found = aSnapshot->mServiceByAddress.find(address);
    if (found == aSnapshot->mServiceByAddress.end()) {
      continue;
    }
    exceptions[found->second] = std::move(mExceptions[index]);
    QueueTransfers(*mSnapshot, *aSnapshot, index, exceptions[found->second]);
  }
  mExceptions = std::move(exceptions);
  for (auto& [address, ledger] : mLedgers) {
    auto const found = aSnapshot->mUpstreamByAddress.find(address);
    if (found == aSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    ledger.Configure(aSnapshot->mUpstreams[found->second].mUpstream);
  }
  mSnapshot = std::move(aSnapshot);
}

void
PacketEngine::QueueTransfers(SteeringSnapshot const& aOld,
                             SteeringSnapshot const& aNew,
                             std::size_t aService,
                             ExceptionTable& aTable)
{
  auto const& oldService = aOld.mServices[aService];
  auto const address = oldService.mService.mAddress;
  auto const& newService =
    aNew.mServices[aNew.mServiceByAddress.find(address)->second];
  if (oldService.mTable.Empty() || newService.mTable.Empty()) {
    return;
  }
  std::string const self =
    aOld.mSelf ? aOld.mEntries[*aOld.mSelf].mName : std::string();
  std::vector<std::vector<std::string>> targets;
  for (std::size_t share = 0; share < newService.mBase.size(); ++share) {
    auto const before = ExceptionHomeNames(aOld, oldService.mBase[share]);
    std::vector<std::string> added;
    for (auto& name : ExceptionHomeNames(aNew, newService.mBase[share])) {
      if (Contains(before, name) || name == self) {
        continue;
      }
      added.push_back(name);
    }
    targets.push_back(std::move(added));
  }
  aTable.ForEach([&](ExceptionEntry& aEntry) {
    for (auto const& peer : targets[newService.mTable.Pick(aEntry.mKey)]) {
      mTransfers.push_back({ peer, address, aEntry.mKey, aEntry.Upstream() });
    }
  });
}

void
PacketEngine::ApplyLeases(TimePoint aNow,
                          std::shared_ptr<AdmissionLeases const> aLeases)
{
  mLeases = std::move(aLeases);
  if (!mSnapshot) {
    return;
  }
  for (auto const& lease : *mLeases) {
    auto const found = mSnapshot->mUpstreamByAddress.find(lease.mUpstream);
    if (found == mSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    auto& term = mLeaseTerms[lease.mUpstream];
    if (term == lease.mTerm) {
      continue;
    }
    term = lease.mTerm;
    auto const& upstream = mSnapshot->mUpstreams[found->second].mUpstream;
    auto const [ledger, added] =
      mLedgers.try_emplace(lease.mUpstream, upstream);
    ledger->second.Adopt(aNow, lease.mAdoptedWork.mConnections);
  }
}

void
PacketEngine::StoreException(TimePoint aNow,
                             ExceptionTransfer const& aException)
{
  if (!mSnapshot) {
    return;
  }
  auto const found = mSnapshot->mServiceByAddress.find(aException.mService);
  if (found == mSnapshot->mServiceByAddress.end()) {
    return;
  }
  auto& table = mExceptions[found->second];
  auto const& service = mSnapshot->mServices[found->second];
  if (service.mTable.Empty() || table.Find(aException.mFlow) != nullptr) {
    return; // The record that this home has is at least as recent.
  }
  auto const share = service.mTable.Pick(aException.mFlow);
  auto* const ledger = FindLedger(service.mBase[share].mAddress);
  if (ledger != nullptr && ledger->IsConfirmed(aException.mFlow)) {
    // The flow is open at its hash choice. The other home admitted a
    // retransmission of its opening packet, for instance while the homes were
    // cut off from each other.
    return;
  }
  if (ledger != nullptr) {
    ledger->WithdrawInferredFlow(aException.mFlow);
  }
  auto& entry = table.FindOrInsert(aException.mFlow);
  entry.mAddress = aException.mUpstream.mAddress.mValue;
  entry.mPort = aException.mUpstream.mPort;
  entry.mLastSeen = CoarseTime(aNow);
  mCounters.Add(Counter::ExceptionsRecorded);
}

void
PacketEngine::Sweep(TimePoint aNow)
{
  if (!mSnapshot) {
    return;
  }
  for (std::size_t index = 0; index < mExceptions.size(); ++index) {
    auto const idle = mSnapshot->mServices[index].mService.mIdleTimeout;
    mExceptions[index].EraseIf([&](ExceptionEntry const& aEntry) {
      return aEntry.mLastSeen.AgeAt(aNow) > idle + kRefreshInterval;
    });
  }
  for (auto& [address, ledger] : mLedgers) {
    auto const found = mSnapshot->mUpstreamByAddress.find(address);
    if (found == mSnapshot->mUpstreamByAddress.end()) {
      continue;
    }
    auto const service = mSnapshot->mUpstreams[found->second].mService;
    auto const idle = mSnapshot->mServices[service].mService.mIdleTimeout;
    ledger.Sweep(aNow, idle + kRefreshInterval);
  }
}

std::vector<UpstreamOpenWork>
PacketEngine::OpenWork() const
{
  std::vector<UpstreamOpenWork> openWork;
  for (auto const& [address, ledger] : mLedgers) {
    openWork.push_back({ address, { ledger.Used(), 0 }, ledger.IsCold() });
  }
  return openWork;
}

std::vector<ExceptionTransfer>
PacketEngine::TakeTransfers()
{
  return std::exchange(mTransfers, {});
}

std::vector<DecisionRecord>
PacketEngine::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

std::size_t
PacketEngine::ExceptionCount() const
{
  std::size_t count = 0;
  for (auto const& table : mExceptions) {
    count += table.Size();
  }
  return count;
}

std::size_t
PacketEngine::MemoryBytes() const
{
  std::size_t bytes = mAnswers.MemoryBytes();
  for (auto const& table : mExceptions) {
    bytes += table.MemoryBytes();
  }
  for (auto const& [address, ledger] : mLedgers) {
    bytes += ledger.MemoryBytes();
  }
  return bytes;
}

} // namespace tarragonsill
