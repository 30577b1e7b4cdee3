#include "tarragonsill/coordination/tarragonsill_exception_sender.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Keeps a batch below the usual MTU.
constexpr std::size_t kMaxBatch = 120;
constexpr milliseconds kResendAfter{ 300 };
/// Flows wait this long for others to share their batch.
constexpr milliseconds kGather{ 500 };
/// The share of the control target of 3 KB a second that transfers may use.
constexpr double kBytesPerSecond = 900;
constexpr double kBurstBytes = 2700;
constexpr double kOverheadBytes = 90;
constexpr double kFlowBytes = 8;

} // namespace

ExceptionSender::ExceptionSender()
  : mBudget(kBytesPerSecond, kBurstBytes)
{
}

void
ExceptionSender::Queue(TimePoint aNow,
                       std::vector<ExceptionTransfer> aTransfers)
{
  for (auto const& transfer : aTransfers) {
    auto& queue = mQueues[transfer.mPeer];
    if (queue.mWaiting.empty()) {
      queue.mOldest = aNow;
    }
    queue.mWaiting[{ transfer.mService, transfer.mUpstream }].push_back(
      transfer.mFlow);
  }
}

bool
ExceptionSender::IsDue(TimePoint aNow, PeerQueue const& aQueue) const
{
  if (aQueue.mSequence != 0) {
    return aNow - aQueue.mSentAt > kResendAfter;
  }
  return mHurried || aNow - aQueue.mOldest > kGather;
}

void
ExceptionSender::Tick(TimePoint aNow, FindMember const& aFind, Outbox& aOutbox)
{
  for (auto entry = mQueues.begin(); entry != mQueues.end();) {
    auto& [name, queue] = *entry;
    auto const* const member = aFind(name);
    bool const unreachable =
      member == nullptr || member->mHealth > MemberHealth::Suspect;
    if (queue.mWaiting.empty() || unreachable) {
      entry = mQueues.erase(entry);
      continue;
    }
    if (IsDue(aNow, queue)) {
      SendBatch(aNow, member->mControl, queue, aOutbox);
    }
    ++entry;
  }
}

void
ExceptionSender::SendBatch(TimePoint aNow,
                           Endpoint aTo,
                           PeerQueue& aQueue,
                           Outbox& aOutbox)
{
  auto const& [key, flows] = *aQueue.mWaiting.begin();
  auto const count = std::min(flows.size(), kMaxBatch);
  auto const bytes = kOverheadBytes + kFlowBytes * static_cast<double>(count);
  if (!mHurried && !mBudget.Take(aNow, bytes)) {
    return;
  }
  if (aQueue.mSequence == 0) {
    aQueue.mSequence = ++mSequence;
    aQueue.mKey = key;
    aQueue.mInFlight = count;
  }
  auto* batch = AddMessage(aOutbox, aTo).mutable_exception_batch();
  batch->set_sequence(aQueue.mSequence);
  batch->set_service_address(aQueue.mKey.mService.mAddress.mValue);
  batch->set_service_port(aQueue.mKey.mService.mPort);
  batch->set_upstream_address(aQueue.mKey.mUpstream.mAddress.mValue);
  batch->set_upstream_port(aQueue.mKey.mUpstream.mPort);
  auto const& sent = aQueue.mWaiting.at(aQueue.mKey);
  for (std::size_t index = 0; index < aQueue.mInFlight; ++index) {
    batch->add_flows(sent[index]);
  }
  aQueue.mSentAt = aNow;
}

void
ExceptionSender::HandleAck(std::string const& aPeer,
                           wire::ExceptionAck const& aAck)
{
  auto const found = mQueues.find(aPeer);
  if (found == mQueues.end() || found->second.mSequence != aAck.sequence()) {
    return;
  }
  auto& queue = found->second;
  auto const batch = queue.mWaiting.find(queue.mKey);
  auto& flows = batch->second;
  flows.erase(flows.begin(),
              flows.begin() + static_cast<std::ptrdiff_t>(queue.mInFlight));
  if (flows.empty()) {
    queue.mWaiting.erase(batch);
  }
  queue.mSequence = 0;
  queue.mInFlight = 0;
  if (queue.mWaiting.empty()) {
    mQueues.erase(found);
  }
}

} // namespace tarragonsill
