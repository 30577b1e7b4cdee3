#include "tarragonsill/coordination/tarragonsill_exception_sender.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Keeps a batch below the usual MTU.
constexpr std::size_t kMaxBatchFlows = 120;
constexpr milliseconds kResendInterval{ 300 };
/// Delay before a batch is sent, so that more flows share it.
constexpr milliseconds kBatchDelay{ 500 };
/// The share that transfers may use of the control traffic target of 3 KB/s.
constexpr double kBudgetBytesPerSecond = 900;
constexpr double kBudgetBurstBytes = 2700;
constexpr double kBatchOverheadBytes = 90;
constexpr double kBytesPerFlow = 8;

} // namespace

ExceptionSender::ExceptionSender()
  : mBudget(kBudgetBytesPerSecond, kBudgetBurstBytes)
{
}

void
ExceptionSender::Queue(TimePoint aNow,
                       std::vector<ExceptionTransfer> aTransfers)
{
  for (auto const& transfer : aTransfers) {
    auto& queue = mQueues[transfer.mPeer];
    if (queue.mPending.empty()) {
      queue.mOldestQueuedAt = aNow;
    }
    queue.mPending[{ transfer.mService, transfer.mUpstream }].push_back(
      transfer.mFlow);
  }
}

bool
ExceptionSender::IsDue(TimePoint aNow, PeerQueue const& aQueue) const
{
  if (aQueue.mSequence != 0) {
    return aNow - aQueue.mSentAt > kResendInterval;
  }
  return mBudgetLifted || aNow - aQueue.mOldestQueuedAt > kBatchDelay;
}

void
ExceptionSender::Tick(TimePoint aNow, FindMember const& aFind, Outbox& aOutbox)
{
  for (auto entry = mQueues.begin(); entry != mQueues.end();) {
    auto& [name, queue] = *entry;
    auto const* const member = aFind(name);
    bool const unreachable =
      member == nullptr || member->mHealth > MemberHealth::Suspect;
    if (queue.mPending.empty() || unreachable) {
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
  auto const& [key, flows] = *aQueue.mPending.begin();
  auto const count = std::min(flows.size(), kMaxBatchFlows);
  auto const bytes =
    kBatchOverheadBytes + kBytesPerFlow * static_cast<double>(count);
  if (!mBudgetLifted && !mBudget.Take(aNow, bytes)) {
    return;
  }
  if (aQueue.mSequence == 0) {
    aQueue.mSequence = ++mLastSequence;
    aQueue.mKey = key;
    aQueue.mInFlightFlows = count;
  }
  auto* batch = AddMessage(aOutbox, aTo).mutable_exception_batch();
  batch->set_sequence(aQueue.mSequence);
  batch->set_service_address(aQueue.mKey.mService.mAddress.mValue);
  batch->set_service_port(aQueue.mKey.mService.mPort);
  batch->set_upstream_address(aQueue.mKey.mUpstream.mAddress.mValue);
  batch->set_upstream_port(aQueue.mKey.mUpstream.mPort);
  auto const& sent = aQueue.mPending.at(aQueue.mKey);
  for (std::size_t index = 0; index < aQueue.mInFlightFlows; ++index) {
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
  auto const batch = queue.mPending.find(queue.mKey);
  auto& flows = batch->second;
  flows.erase(flows.begin(),
              flows.begin() +
                static_cast<std::ptrdiff_t>(queue.mInFlightFlows));
  if (flows.empty()) {
    queue.mPending.erase(batch);
  }
  queue.mSequence = 0;
  queue.mInFlightFlows = 0;
  if (queue.mPending.empty()) {
    mQueues.erase(found);
  }
}

} // namespace tarragonsill
