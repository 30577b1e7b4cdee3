#include "tarragonsill/transport/tarragonsill_call_service.hpp"

#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"
#include "tarragonsill/transport/internal/tarragonsill_call_replies.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <algorithm>
#include <thread>

namespace tarragonsill {

using namespace Detail;

namespace {

constexpr milliseconds kActorTimeout{ 1000 };
constexpr milliseconds kOutcomePollPeriod{ 10 };
constexpr std::uint32_t kMaxHops = 4;
constexpr double kRetryBurst = 20;

CallResult
ToResult(wire::CallReply const& aReply)
{
  CallResult result;
  result.mOutcome = OutcomeOf(aReply);
  result.mBody = aReply.body();
  result.mReason = aReply.reason();
  result.mUpstream = aReply.upstream();
  return result;
}

/// Converts a deadline of the monotonic clock for gRPC.
std::chrono::system_clock::time_point
ToSystemTime(TimePoint aDeadline)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
           aDeadline - Clock::now());
}

} // namespace

CallService::CallService(std::shared_ptr<EntryState> aState,
                         std::shared_ptr<CallChannels> aChannels,
                         caf::actor_system& aSystem,
                         caf::actor aCalls)
  : mState(std::move(aState))
  , mChannels(std::move(aChannels))
  , mSystem(aSystem)
  , mCalls(std::move(aCalls))
  , mRetryBudget(0, kRetryBurst)
{
}

template<typename Reply, typename Message>
std::optional<Reply>
CallService::Request(Message aMessage)
{
  caf::scoped_actor self{ mSystem };
  std::optional<Reply> result;
  self->request(mCalls, kActorTimeout, std::move(aMessage))
    .receive([&](Reply const& aReply) { result = aReply; },
             [](caf::error const&) {});
  return result;
}

template<typename Message>
void
CallService::Send(Message aMessage)
{
  caf::anon_send(mCalls, std::move(aMessage));
}

bool
CallService::TakeRetry()
{
  std::lock_guard const lock(mRetryMutex);
  bool const taken = mRetryBudget.Take(Clock::now());
  if (taken) {
    mState->mCounters.Add(Counter::CallsRetried);
  }
  return taken;
}

wire::CallReply
CallService::RunAtHome(wire::CallRequest const& aRequest, TimePoint aDeadline)
{
  auto const decision =
    Request<CallDecision>(BeginCall{ aRequest.call_id(), aRequest.attempt() });
  if (!decision || decision->mNotHome) {
    auto reply = MakeReply(
      aRequest, wire::NOT_RUN, "this entry VM does not hold the call's range");
    reply.set_not_home(true);
    return reply;
  }
  switch (decision->mVerdict) {
    case CallVerdict::Run:
      break;
    case CallVerdict::InProgress:
      return WaitForOutcome(aRequest, aDeadline);
    case CallVerdict::Recorded:
      return decision->mResult
               ? ToReply(aRequest, *decision->mResult)
               : MakeReply(aRequest, wire::UNKNOWN, "the record is incomplete");
    case CallVerdict::Tombstone:
      return MakeReply(
        aRequest, wire::UNKNOWN, "a repeated attempt may run elsewhere");
    case CallVerdict::Uncertain:
      return MakeReply(aRequest,
                       wire::UNKNOWN,
                       "this home is too new to know of earlier attempts");
    case CallVerdict::Full:
      return MakeReply(aRequest, wire::NOT_RUN, "the call ledger is full");
  }
  auto const reply = RunOnUpstreams(aRequest, aDeadline);
  Send(FinishCall{ aRequest.call_id(),
                   std::make_shared<CallResult const>(ToResult(reply)) });
  return reply;
}

wire::CallReply
CallService::WaitForOutcome(wire::CallRequest const& aRequest,
                            TimePoint aDeadline)
{
  while (Clock::now() + kOutcomePollPeriod < aDeadline) {
    std::this_thread::sleep_for(kOutcomePollPeriod);
    auto const decision =
      Request<CallState>(ReadCallState{ aRequest.call_id() });
    if (decision && decision->mResult) {
      return ToReply(aRequest, *decision->mResult);
    }
    if (!decision || !decision->mRunning) {
      break;
    }
  }
  return MakeReply(
    aRequest, wire::UNKNOWN, "another attempt of this call is in progress");
}

wire::CallReply
CallService::RunOnUpstreams(wire::CallRequest const& aRequest,
                            TimePoint aDeadline)
{
  auto const view = mState->mView.Value();
  auto const service = FindService(*view.mSnapshot, aRequest.service());
  auto reply =
    MakeReply(aRequest, wire::NOT_RUN, "no upstream has a free slot");
  if (!service) {
    return reply;
  }
  auto request = aRequest;
  request.set_hops(aRequest.hops() + 1);
  bool mayHaveRun = false;
  auto const candidates = CallCandidates(*view.mSnapshot,
                                         *service,
                                         aRequest.call_id(),
                                         mState->mSettings.mZone,
                                         aRequest.attempt());
  for (auto const index : candidates) {
    if (aDeadline - Clock::now() < kMinRemainingTime ||
        request.hops() > kMaxHops) {
      break;
    }
    auto const& upstream = view.mSnapshot->mUpstreams[index];
    auto const& owner = view.mSnapshot->mEntries[*upstream.mOwner];
    request.set_upstream(upstream.mUpstream.mName);
    auto const answer =
      owner.mName == SelfName()
        ? std::optional(RunAtOwner(request, aDeadline))
        : Forward(RemoteStep::Owner, owner, request, aDeadline);
    if (!answer) {
      continue;
    }
    reply = *answer;
    if (reply.outcome() == wire::ANSWERED) {
      return reply;
    }
    bool const mayRetry = reply.outcome() == wire::NOT_RUN ||
                          (aRequest.idempotent() && TakeRetry());
    if (!mayRetry) {
      return reply;
    }
    mayHaveRun = mayHaveRun || reply.outcome() == wire::UNKNOWN;
  }
  AccountForEarlierAttempts(mayHaveRun, reply);
  if (reply.outcome() == wire::NOT_RUN) {
    mState->mCounters.Add(Counter::CallsShed);
  }
  return reply;
}

wire::CallReply
CallService::RunAtOwner(wire::CallRequest const& aRequest, TimePoint aDeadline)
{
  auto const view = mState->mView.Value();
  auto const* const upstream =
    view.mConfiguration ? view.mConfiguration->FindUpstream(aRequest.upstream())
                        : nullptr;
  if (upstream == nullptr) {
    return MakeReply(aRequest, wire::NOT_RUN, "the upstream is not declared");
  }
  auto const admission = Request<SlotAdmission>(
    AdmitSlot{ upstream->mAddress, aRequest.priority() });
  if (admission != SlotAdmission::Admitted) {
    return MakeReply(
      aRequest, wire::NOT_RUN, "upstream " + upstream->mName + " has no slot");
  }
  auto const maxConnectTime =
    std::min<Duration>(kConnectTimeout, aDeadline - Clock::now());
  auto const connectTimeout =
    std::chrono::duration_cast<milliseconds>(maxConnectTime);
  if (!mChannels->Connect(upstream->mCallAddress, connectTimeout)) {
    Send(ReleaseSlot{ upstream->mAddress, SlotOutcome::Unsent });
    return MakeReply(aRequest,
                     wire::NOT_RUN,
                     "upstream " + upstream->mName + " cannot be reached");
  }
  return SendToUpstream(aRequest, *upstream, aDeadline);
}

wire::CallReply
CallService::SendToUpstream(wire::CallRequest const& aRequest,
                            Upstream const& aUpstream,
                            TimePoint aDeadline)
{
  auto const stub =
    wire::Upstream::NewStub(mChannels->To(aUpstream.mCallAddress));
  grpc::ClientContext context;
  context.set_deadline(ToSystemTime(aDeadline));
  wire::CallReply answer;
  auto const status = stub->Run(&context, aRequest, &answer);
  if (status.ok() && answer.call_id() == aRequest.call_id()) {
    Send(ReleaseSlot{ aUpstream.mAddress, SlotOutcome::Answered });
    answer.set_outcome(wire::ANSWERED);
    answer.set_upstream(aUpstream.mName);
    return answer;
  }
  if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
    Send(ReleaseSlot{ aUpstream.mAddress, SlotOutcome::Refused });
    LogInfo("admit: upstream " + aUpstream.mName +
            " refused a call; its ramp-up starts over");
    return MakeReply(
      aRequest, wire::NOT_RUN, "upstream " + aUpstream.mName + " refused");
  }
  if (status.ok()) {
    mState->mCounters.Add(Counter::CallsLateAnswers);
  }
  Send(ReleaseSlot{ aUpstream.mAddress, SlotOutcome::Cancelled });
  auto reply = MakeReply(aRequest,
                         wire::UNKNOWN,
                         "no answer from upstream " + aUpstream.mName + ": " +
                           status.error_message());
  reply.set_upstream(aUpstream.mName);
  return reply;
}

std::optional<wire::CallReply>
CallService::Forward(RemoteStep aStep,
                     Member const& aEntry,
                     wire::CallRequest const& aRequest,
                     TimePoint aDeadline)
{
  if (!mChannels->Connect(aEntry.mCalls, kConnectTimeout)) {
    return std::nullopt;
  }
  auto const stub = wire::Entry::NewStub(mChannels->To(aEntry.mCalls));
  grpc::ClientContext context;
  context.set_deadline(ToSystemTime(aDeadline));
  wire::CallReply reply;
  auto const status = aStep == RemoteStep::Home
                        ? stub->RunAtHome(&context, aRequest, &reply)
                        : stub->RunAtOwner(&context, aRequest, &reply);
  if (status.ok()) {
    return reply;
  }
  return MakeReply(aRequest,
                   wire::UNKNOWN,
                   "entry VM " + aEntry.mName +
                     " gave no answer: " + status.error_message());
}

wire::CallQueryReply
CallService::Query(wire::CallQuery const& aQuery)
{
  wire::CallQueryReply reply;
  auto const decision = Request<QueryDecision>(QueryCall{ aQuery.call_id() });
  if (!decision || decision->mVerdict == CallLedger::QueryVerdict::Uncertain) {
    reply.set_verdict(wire::CallQueryReply::UNCERTAIN);
    return reply;
  }
  if (decision->mVerdict == CallLedger::QueryVerdict::NotSeen) {
    reply.set_verdict(wire::CallQueryReply::NOT_SEEN);
    return reply;
  }
  wire::CallRequest request;
  request.set_call_id(aQuery.call_id());
  reply.set_verdict(wire::CallQueryReply::SEEN);
  *reply.mutable_reply() =
    decision->mResult
      ? ToReply(request, *decision->mResult)
      : MakeReply(request, wire::UNKNOWN, "an earlier attempt is running");
  return reply;
}

} // namespace tarragonsill
