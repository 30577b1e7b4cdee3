#ifndef TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED
#define TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_outbox.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"
#include "tarragonsill/state/tarragonsill_token_bucket.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>

/// Transfers exceptions to new homes: one batch at a time for each peer, resent
/// until it is acknowledged, within a budget of control bytes.
namespace tarragonsill {

class ExceptionSender
{
public:
  using FindMember = std::function<Member const*(std::string const&)>;

  ExceptionSender();

  void Queue(TimePoint aNow, std::vector<ExceptionTransfer> aTransfers);
  void Tick(TimePoint aNow, FindMember const& aFind, Outbox& aOutbox);
  void HandleAck(std::string const& aPeer, wire::ExceptionAck const& aAck);
  bool IsIdle() const { return mQueues.empty(); }
  /// Sends without batch delay and byte budget from now on, since this entry VM
  /// is leaving.
  void LiftBudget() { mBudgetLifted = true; }

private:
  /// The service and the upstream of all flows in a batch.
  struct BatchKey
  {
    Endpoint mService;
    Endpoint mUpstream;
    auto operator<=>(BatchKey const&) const = default;
  };
  struct PeerQueue
  {
    std::map<BatchKey, std::deque<std::uint64_t>> mPending;
    TimePoint mOldestQueuedAt{}; ///< When the oldest pending flow was queued.
    std::uint64_t mSequence = 0; ///< Of the batch in flight; 0 for none.
    BatchKey mKey;               ///< Of the batch in flight.
    std::size_t mInFlightFlows = 0; ///< Number of flows in it.
    TimePoint mSentAt{};
  };

  bool IsDue(TimePoint aNow, PeerQueue const& aQueue) const;
  void SendBatch(TimePoint aNow,
                 Endpoint aTo,
                 PeerQueue& aQueue,
                 Outbox& aOutbox);

  std::map<std::string, PeerQueue> mQueues;
  std::uint64_t mLastSequence = 0;
  TokenBucket mBudget; ///< In bytes.
  bool mBudgetLifted = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED
