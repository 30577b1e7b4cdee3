#include "tarragonsill/transport/tarragonsill_call_service.hpp"

#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <algorithm>
#include <thread>

namespace tarragonsill {

namespace {

constexpr milliseconds kActorTimeout{ 1000 };
constexpr milliseconds kConnectTimeout{ 150 };
constexpr milliseconds kQueryTimeout{ 500 };
constexpr milliseconds kRetryAfter{ 100 };
constexpr milliseconds kOutcomePoll{ 10 };
/// A call with less time left is not worth starting.
constexpr milliseconds kLeastTime{ 5 };
constexpr std::uint32_t kMaxHops = 4;
/// Retries may use this share of the first attempts.
constexpr double kRetryShare = 0.1;
constexpr double kRetryBurst = 20;

wire::CallReply
MakeReply(wire::CallRequest const& aRequest,
          wire::CallOutcome aOutcome,
          std::string aReason)
{
  wire::CallReply reply;
  reply.set_call_id(aRequest.call_id());
  reply.set_outcome(aOutcome);
  reply.set_reason(std::move(aReason));
  if (aOutcome == wire::NOT_RUN) {
    reply.set_retry_after_ms(static_cast<std::uint32_t>(kRetryAfter.count()));
  }
  return reply;
}

wire::CallReply
ToReply(wire::CallRequest const& aRequest, CallResult const& aResult)
{
  auto const outcome =
    aResult.mOutcome == CallOutcome::Answered ? wire::ANSWERED
    : aResult.mOutcome == CallOutcome::NotRun ? wire::NOT_RUN
                                              : wire::UNKNOWN;
  auto reply = MakeReply(aRequest, outcome, aResult.mReason);
  reply.set_body(aResult.mBody);
  reply.set_upstream(aResult.mUpstream);
  return reply;
}

CallResult
ToResult(wire::CallReply const& aReply)
{
  CallResult result;
  result.mOutcome = aReply.outcome() == wire::ANSWERED  ? CallOutcome::Answered
                    : aReply.outcome() == wire::NOT_RUN ? CallOutcome::NotRun
                                                        : CallOutcome::Unknown;
  result.mBody = aReply.body();
  result.mReason = aReply.reason();
  result.mUpstream = aReply.upstream();
  return result;
}

char const*
OutcomeText(wire::CallOutcome aOutcome)
{
  switch (aOutcome) {
    case wire::ANSWERED:
      return "answered";
    case wire::NOT_RUN:
      return "not run";
    default:
      return "unknown";
  }
}

/// The gRPC deadline for a monotonic one.
std::chrono::system_clock::time_point
ToSystemTime(TimePoint aDeadline)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
           aDeadline - Clock::now());
}

std::optional<std::size_t>
FindService(SteeringSnapshot const& aSnapshot, std::string const& aName)
{
  for (std::size_t index = 0; index < aSnapshot.mServices.size(); ++index) {
    if (aSnapshot.mServices[index].mService.mName == aName) {
      return index;
    }
  }
  return std::nullopt;
}

/// Counts a call for as long as it lives.
class ProgressGuard
{
public:
  explicit ProgressGuard(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ProgressGuard(ProgressGuard const&) = delete;
  ProgressGuard& operator=(ProgressGuard const&) = delete;
  ~ProgressGuard() { --mCount; }

private:
  std::atomic<std::size_t>& mCount;
};

} // namespace

CallService::CallService(std::shared_ptr<EntryState> aState,
                         std::shared_ptr<CallChannels> aChannels,
                         caf::actor_system& aSystem,
                         caf::actor aCalls)
  : mState(std::move(aState))
  , mChannels(std::move(aChannels))
  , mSystem(aSystem)
  , mCalls(std::move(aCalls))
  , mRetries(0, kRetryBurst)
{
}

template<typename Reply, typename Message>
std::optional<Reply>
CallService::Ask(Message aMessage)
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
CallService::Tell(Message aMessage)
{
  caf::anon_send(mCalls, std::move(aMessage));
}

bool
CallService::TakeRetry()
{
  std::lock_guard const lock(mRetryMutex);
  bool const taken = mRetries.Take(Clock::now());
  if (taken) {
    mState->mCounters.Add(Counter::CallsRetried);
  }
  return taken;
}

std::optional<wire::CallReply>
CallService::CheckRequest(wire::CallRequest const& aRequest,
                          TimePoint aDeadline)
{
  if (aRequest.call_id().empty()) {
    return MakeReply(aRequest, wire::NOT_RUN, "call_id is required");
  }
  if (mStopped) {
    return MakeReply(aRequest, wire::NOT_RUN, "this entry VM is leaving");
  }
  if (aDeadline - Clock::now() < kLeastTime) {
    return MakeReply(aRequest, wire::NOT_RUN, "the deadline is over");
  }
  auto const view = mState->mView.Value();
  if (!view.mSnapshot) {
    return MakeReply(
      aRequest, wire::NOT_RUN, "this entry VM has no configuration");
  }
  if (!FindService(*view.mSnapshot, aRequest.service())) {
    return MakeReply(aRequest,
                     wire::NOT_RUN,
                     "service '" + aRequest.service() + "' is not declared");
  }
  return std::nullopt;
}

wire::CallReply
CallService::Submit(wire::CallRequest const& aRequest, TimePoint aDeadline)
{
  ProgressGuard const guard(mInProgress);
  auto& counters = mState->mCounters;
  counters.Add(Counter::CallsReceived);
  {
    std::lock_guard const lock(mRetryMutex);
    mRetries.Deposit(kRetryShare);
  }
  if (auto refused = CheckRequest(aRequest, aDeadline)) {
    counters.Add(Counter::CallsNotRun);
    return *refused;
  }
  auto const view = mState->mView.Value();
  auto const service = *FindService(*view.mSnapshot, aRequest.service());
  auto request = aRequest;
  request.set_attempt(std::max(1U, aRequest.attempt()));
  request.set_hops(0);
  request.clear_upstream();
  auto reply =
    MakeReply(request, wire::NOT_RUN, "no home of the call can be reached");
  reply.set_not_home(true);
  bool const repeated = request.attempt() > 1 && !request.idempotent();
  if (repeated) {
    if (auto settled = ClearWithOtherZones(request, view, service)) {
      return *settled;
    }
  }
  for (auto const home :
       CallHomes(*view.mSnapshot, service, request.call_id())) {
    auto const& entry = view.mSnapshot->mEntries[home];
    std::optional<wire::CallReply> answer =
      entry.mName == SelfName()
        ? RunAtHome(request, aDeadline)
        : Forward(RemoteStep::Home, entry, request, aDeadline);
    if (answer) {
      reply = *answer;
    }
    bool const elsewhere = !answer || answer->not_home();
    if (!elsewhere || repeated) {
      break;
    }
  }
  if (repeated && reply.not_home()) {
    // An earlier attempt may have run where no record can be read now.
    reply.set_outcome(wire::UNKNOWN);
  }
  counters.Add(reply.outcome() == wire::ANSWERED  ? Counter::CallsAnswered
               : reply.outcome() == wire::NOT_RUN ? Counter::CallsNotRun
                                                  : Counter::CallsUnknown);
  LogInfo("call: " + std::string(OutcomeText(reply.outcome())) +
          " id=" + request.call_id() + " service=" + request.service() +
          " upstream=" + reply.upstream() + " reason=" + reply.reason());
  return reply;
}

std::optional<wire::CallReply>
CallService::ClearWithOtherZones(wire::CallRequest const& aRequest,
                                 CallView const& aView,
                                 std::size_t aService)
{
  auto const homes = CallHomes(*aView.mSnapshot, aService, aRequest.call_id());
  auto const zones = std::count_if(
    aView.mSnapshot->mZones.begin(),
    aView.mSnapshot->mZones.end(),
    [](Zone const& aZone) { return aZone.mState == ZoneState::In; });
  bool certain = homes.size() == static_cast<std::size_t>(zones);
  for (std::size_t index = 1; index < homes.size(); ++index) {
    auto const& entry = aView.mSnapshot->mEntries[homes[index]];
    wire::CallQuery query;
    query.set_service(aRequest.service());
    query.set_call_id(aRequest.call_id());
    wire::CallQueryReply answer;
    if (entry.mName == SelfName()) {
      answer = Query(query);
    } else if (mChannels->Connect(entry.mCalls, kConnectTimeout)) {
      auto const stub = wire::Entry::NewStub(mChannels->To(entry.mCalls));
      grpc::ClientContext context;
      context.set_deadline(std::chrono::system_clock::now() + kQueryTimeout);
      if (!stub->Query(&context, query, &answer).ok()) {
        certain = false;
        continue;
      }
    }
    if (answer.verdict() == wire::CallQueryReply::SEEN) {
      return answer.reply();
    }
    certain = certain && answer.verdict() == wire::CallQueryReply::NOT_SEEN;
  }
  if (certain) {
    return std::nullopt;
  }
  return MakeReply(aRequest,
                   wire::UNKNOWN,
                   "not every zone can say whether an earlier attempt ran");
}

wire::CallReply
CallService::RunAtHome(wire::CallRequest const& aRequest, TimePoint aDeadline)
{
  auto const decision =
    Ask<CallDecision>(BeginCall{ aRequest.call_id(), aRequest.attempt() });
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
    case CallVerdict::Barred:
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
  Tell(FinishCall{ aRequest.call_id(),
                   std::make_shared<CallResult const>(ToResult(reply)) });
  return reply;
}

wire::CallReply
CallService::WaitForOutcome(wire::CallRequest const& aRequest,
                            TimePoint aDeadline)
{
  while (Clock::now() + kOutcomePoll < aDeadline) {
    std::this_thread::sleep_for(kOutcomePoll);
    auto const decision = Ask<PeekDecision>(PeekCall{ aRequest.call_id() });
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
  auto const candidates = CallCandidates(*view.mSnapshot,
                                         *service,
                                         aRequest.call_id(),
                                         mState->mSettings.mZone,
                                         aRequest.attempt());
  for (auto const index : candidates) {
    if (aDeadline - Clock::now() < kLeastTime || request.hops() > kMaxHops) {
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
    bool const mayRepeat = reply.outcome() == wire::NOT_RUN ||
                           (aRequest.idempotent() && TakeRetry());
    if (!mayRepeat) {
      return reply;
    }
  }
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
  auto const admission = Ask<SlotAdmission>(AdmitSlot{ upstream->mAddress });
  if (admission != SlotAdmission::Admitted) {
    return MakeReply(
      aRequest, wire::NOT_RUN, "upstream " + upstream->mName + " has no slot");
  }
  auto const connect =
    std::min<Duration>(kConnectTimeout, aDeadline - Clock::now());
  auto const wait = std::chrono::duration_cast<milliseconds>(connect);
  if (!mChannels->Connect(upstream->mCallAddress, wait)) {
    Tell(EndSlot{ upstream->mAddress, SlotEnd::Abandoned });
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
    Tell(EndSlot{ aUpstream.mAddress, SlotEnd::Answered });
    answer.set_outcome(wire::ANSWERED);
    answer.set_upstream(aUpstream.mName);
    return answer;
  }
  if (status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED) {
    Tell(EndSlot{ aUpstream.mAddress, SlotEnd::Refused });
    LogInfo("admit: upstream " + aUpstream.mName +
            " refused a call; its limit starts over");
    return MakeReply(
      aRequest, wire::NOT_RUN, "upstream " + aUpstream.mName + " refused");
  }
  if (status.ok()) {
    mState->mCounters.Add(Counter::CallsLateAnswers);
  }
  Tell(EndSlot{ aUpstream.mAddress, SlotEnd::Cancelled });
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
  auto const decision = Ask<QueryDecision>(QueryCall{ aQuery.call_id() });
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
