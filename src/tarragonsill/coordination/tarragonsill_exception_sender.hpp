#ifndef TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED
#define TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_outbox.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

/// Transfers exceptions to new homes: one batch at a time for each peer,
/// repeated until it is acknowledged.
namespace tarragonsill {

class ExceptionSender
{
public:
  using FindMember = std::function<Member const*(std::string const&)>;

  void Queue(std::vector<ExceptionTransfer> aTransfers);
  void Tick(TimePoint aNow, FindMember const& aFind, Outbox& aOutbox);
  void HandleAck(std::string const& aPeer, wire::ExceptionAck const& aAck);
  bool Idle() const { return mQueues.empty(); }

private:
  struct PeerQueue
  {
    std::deque<ExceptionTransfer> mWaiting;
    std::uint64_t mSequence = 0; ///< Of the batch in flight; 0 for none.
    std::size_t mInFlight = 0;
    TimePoint mSentAt{};
  };

  void SendBatch(TimePoint aNow,
                 Endpoint aTo,
                 PeerQueue& aQueue,
                 Outbox& aOutbox);

  std::map<std::string, PeerQueue> mQueues;
  std::uint64_t mSequence = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_EXCEPTION_SENDER_HPP_INCLUDED
