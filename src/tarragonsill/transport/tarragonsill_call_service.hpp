#ifndef TARRAGONSILL_CALL_SERVICE_HPP_INCLUDED
#define TARRAGONSILL_CALL_SERVICE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_token_bucket.hpp"
#include "tarragonsill/transport/tarragonsill_call_channels.hpp"
#include "tarragonsill/transport/tarragonsill_entry_state.hpp"

#include <atomic>
#include <memory>
#include <mutex>

/// Routes each call from the entry VM that received it to the call's home, to
/// the admission owner and to the upstream, and returns the answer.
namespace tarragonsill {

class CallService
{
public:
  CallService(std::shared_ptr<EntryState> aState,
              std::shared_ptr<CallChannels> aChannels,
              caf::actor_system& aSystem,
              caf::actor aCalls);

  /// Handles a call from a caller.
  wire::CallReply Submit(wire::CallRequest const& aRequest,
                         TimePoint aDeadline);
  /// Handles a call for which this entry VM is the home.
  wire::CallReply RunAtHome(wire::CallRequest const& aRequest,
                            TimePoint aDeadline);
  /// Handles a call for an upstream that this entry VM owns.
  wire::CallReply RunAtOwner(wire::CallRequest const& aRequest,
                             TimePoint aDeadline);
  /// Handles a query of another home that is about to run a repeated attempt.
  wire::CallQueryReply Query(wire::CallQuery const& aQuery);

  /// Refuses new calls from callers; calls in progress continue.
  void StopAdmitting() { mAdmissionStopped = true; }
  std::size_t CallsInProgress() const { return mInProgress; }

private:
  /// The step of a call that another entry VM is asked to do.
  enum class RemoteStep
  {
    Home,
    Owner,
  };

  /// Returns the reply to a request that must be refused; empty if it is valid.
  std::optional<wire::CallReply> CheckRequest(wire::CallRequest const& aRequest,
                                              TimePoint aDeadline);
  /// Counts and logs the outcome that is returned to the caller.
  void RecordOutcome(wire::CallRequest const& aRequest,
                     wire::CallReply const& aReply);
  /// Asks the call's other homes about earlier attempts. Returns the reply to
  /// the caller; empty if certainly no earlier attempt ran.
  std::optional<wire::CallReply> QueryOtherZones(
    wire::CallRequest const& aRequest,
    CallView const& aView,
    std::size_t aService);
  /// Tries the candidate upstreams in order until one answers.
  wire::CallReply RunOnUpstreams(wire::CallRequest const& aRequest,
                                 TimePoint aDeadline);
  /// Waits for the outcome of another attempt that is in progress.
  wire::CallReply WaitForOutcome(wire::CallRequest const& aRequest,
                                 TimePoint aDeadline);
  wire::CallReply SendToUpstream(wire::CallRequest const& aRequest,
                                 Upstream const& aUpstream,
                                 TimePoint aDeadline);
  /// Forwards a call to another entry VM. Returns nothing if that VM was
  /// unreachable, so that the call was not sent.
  std::optional<wire::CallReply> Forward(RemoteStep aStep,
                                         Member const& aEntry,
                                         wire::CallRequest const& aRequest,
                                         TimePoint aDeadline);
  /// Sends a message to the call actor and waits for its reply; empty on
  /// timeout.
  template<typename Reply, typename Message>
  std::optional<Reply> Request(Message aMessage);
  /// Sends the call actor a message that has no reply.
  template<typename Message>
  void Send(Message aMessage);
  /// Takes one retry from the retry budget; false if the budget is exhausted.
  bool TakeRetry();
  std::string const& SelfName() const { return mState->mSettings.mEntry; }

  std::shared_ptr<EntryState> mState;
  std::shared_ptr<CallChannels> mChannels;
  caf::actor_system& mSystem;
  caf::actor mCalls;
  std::atomic<bool> mAdmissionStopped{ false };
  std::atomic<std::size_t> mInProgress{ 0 };
  std::mutex mRetryMutex;
  TokenBucket mRetryBudget;
};

/// The gRPC server of a call service.
class CallServer
{
public:
  /// Starts the server; fails with `SystemFailure`.
  static Result<std::unique_ptr<CallServer>> Start(
    Endpoint aAddress,
    std::shared_ptr<CallService> aService,
    std::shared_ptr<EntryState> aState);
  ~CallServer();

private:
  struct Handlers;
  CallServer() = default;

  std::unique_ptr<Handlers> mHandlers;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_SERVICE_HPP_INCLUDED
