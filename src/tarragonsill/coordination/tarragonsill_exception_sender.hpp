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

/// Transfers exceptions to new homes: one batch at a time for each peer,
/// repeated until it is acknowledged, within a budget of control bytes.
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
  /// Lifts the budget: this entry VM is leaving and must not wait.
  void LiftBudget() { mHurried = true; }

private:
  /// Flows that share a batch.
  struct BatchKey
  {
    Endpoint mService;
    Endpoint mUpstream;
    auto operator<=>(BatchKey const&) const = default;
  };
  struct PeerQueue
  {
    std::map<BatchKey, std::deque<std::uint64_t>> mWaiting;
    TimePoint mOldest{};         ///< When the first waiting flow was queued.
    std::uint64_t mSequence = 0; ///< Of the batch in flight; 0 for none.
    BatchKey mKey;               ///< Of the batch in flight.
    std::size_t mInFlight = 0;   ///< Flows of the batch in flight.
    TimePoint mSentAt{};
  };

  bool IsDue(TimePoint aNow, PeerQueue const& aQueue) const;
  void SendBatch(TimePoint aNow,
                 Endpoint aTo,
                 PeerQueue& aQueue,
                 Outbox& aOutbox);

  std::map<std::string, PeerQueue> mQueues;
  std::uint64_t mSequence = 0;
  TokenBucket mBudget; ///< In bytes.
  bool mHurried = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED
