#include "tarragonsill/coordination/tarragonsill_exception_sender.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Keeps a batch below the usual MTU.
constexpr std::size_t kMaxBatch = 50;
constexpr milliseconds kResendAfter{ 200 };

} // namespace

void
ExceptionSender::Queue(std::vector<ExceptionTransfer> aTransfers)
{
  for (auto& transfer : aTransfers) {
    mQueues[transfer.mPeer].mWaiting.push_back(std::move(transfer));
  }
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
    if (queue.mSequence == 0 || aNow - queue.mSentAt > kResendAfter) {
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
  if (aQueue.mSequence == 0) {
    aQueue.mSequence = ++mSequence;
  }
  auto const service = aQueue.mWaiting.front().mService;
  auto* batch = AddMessage(aOutbox, aTo).mutable_exception_batch();
  batch->set_sequence(aQueue.mSequence);
  batch->set_service_address(service.mAddress.mValue);
  batch->set_service_port(service.mPort);
  aQueue.mInFlight = 0;
  for (auto const& transfer : aQueue.mWaiting) {
    if (aQueue.mInFlight == kMaxBatch || transfer.mService != service) {
      break;
    }
    auto* item = batch->add_exceptions();
    item->set_flow(transfer.mFlow);
    item->set_upstream_address(transfer.mUpstream.mAddress.mValue);
    item->set_upstream_port(transfer.mUpstream.mPort);
    ++aQueue.mInFlight;
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
  auto const sent = std::min(queue.mInFlight, queue.mWaiting.size());
  queue.mWaiting.erase(queue.mWaiting.begin(),
                       queue.mWaiting.begin() +
                         static_cast<std::ptrdiff_t>(sent));
  queue.mSequence = 0;
  if (queue.mWaiting.empty()) {
    mQueues.erase(found);
  }
}

} // namespace tarragonsill
