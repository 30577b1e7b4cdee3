#ifndef TARRAGONSILL_CALL_SERVICE_HPP_INCLUDED
#define TARRAGONSILL_CALL_SERVICE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_token_bucket.hpp"
#include "tarragonsill/transport/tarragonsill_call_channels.hpp"
#include "tarragonsill/transport/tarragonsill_entry_state.hpp"

#include <atomic>
#include <memory>
#include <mutex>

/// The calls of callers: from the entry VM that received them to their home,
/// to the admission owner, to the upstream, and back.
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
  /// Answers another home about a repeated attempt.
  wire::CallQueryReply Query(wire::CallQuery const& aQuery);

  /// Refuses new calls from callers; those in progress go on.
  void StopAdmitting() { mAdmissionStopped = true; }
  std::size_t CallsInProgress() const { return mInProgress; }

private:
  enum class RemoteStep
  {
    Home,
    Owner,
  };

  std::optional<wire::CallReply> CheckRequest(wire::CallRequest const& aRequest,
                                              TimePoint aDeadline);
  /// Counts and logs what a caller is told.
  void RecordOutcome(wire::CallRequest const& aRequest,
                     wire::CallReply const& aReply);
  std::optional<wire::CallReply> QueryOtherZones(
    wire::CallRequest const& aRequest,
    CallView const& aView,
    std::size_t aService);
  wire::CallReply RunOnUpstreams(wire::CallRequest const& aRequest,
                                 TimePoint aDeadline);
  wire::CallReply WaitForOutcome(wire::CallRequest const& aRequest,
                                 TimePoint aDeadline);
  wire::CallReply SendToUpstream(wire::CallRequest const& aRequest,
                                 Upstream const& aUpstream,
                                 TimePoint aDeadline);
  /// Passes a call to another entry VM. Empty if it was not handed over.
  std::optional<wire::CallReply> Forward(RemoteStep aStep,
                                         Member const& aEntry,
                                         wire::CallRequest const& aRequest,
                                         TimePoint aDeadline);
  template<typename Reply, typename Message>
  std::optional<Reply> Request(Message aMessage);
  template<typename Message>
  void Send(Message aMessage);
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

/// Runs the gRPC server for a call service.
class CallServer
{
public:
  /// Starts to serve; the reason is `SystemFailure`.
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
