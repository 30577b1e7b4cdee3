#include "tarragonsill/transport/tarragonsill_call_service.hpp"

#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"
#include "tarragonsill/transport/internal/tarragonsill_call_replies.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <algorithm>

namespace tarragonsill {

using namespace Detail;

namespace {

constexpr milliseconds kQueryTimeout{ 500 };
/// Retries that each received call adds to the retry budget.
constexpr double kRetryBudgetRatio = 0.1;

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

/// Returns the deadline for the first home. An idempotent call reserves half of
/// its time for another home, in case the first one does not answer.
TimePoint
FirstHomeDeadline(wire::CallRequest const& aRequest, TimePoint aDeadline)
{
  auto const now = Clock::now();
  return aRequest.idempotent() ? now + (aDeadline - now) / 2 : aDeadline;
}

/// Increments a counter for the lifetime of the object.
class ScopedCounter
{
public:
  explicit ScopedCounter(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ScopedCounter(ScopedCounter const&) = delete;
  ScopedCounter& operator=(ScopedCounter const&) = delete;
  ~ScopedCounter() { --mCount; }

private:
  std::atomic<std::size_t>& mCount;
};

} // namespace

std::optional<wire::CallReply>
CallService::CheckRequest(wire::CallRequest const& aRequest,
                          TimePoint aDeadline)
{
  if (aRequest.call_id().empty()) {
    return MakeReply(aRequest, wire::NOT_RUN, "call_id is required");
  }
  if (mAdmissionStopped) {
    return MakeReply(aRequest, wire::NOT_RUN, "this entry VM is leaving");
  }
  if (aDeadline - Clock::now() < kMinRemainingTime) {
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
  ScopedCounter const guard(mInProgress);
  auto& counters = mState->mCounters;
  counters.Add(Counter::CallsReceived);
  {
    std::lock_guard const lock(mRetryMutex);
    mRetryBudget.Deposit(kRetryBudgetRatio);
  }
  if (auto refusal = CheckRequest(aRequest, aDeadline)) {
    AccountForEarlierAttempts(aRequest.attempt() > 1, *refusal);
    RecordOutcome(aRequest, *refusal);
    return *refusal;
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
  bool const isNonIdempotentRetry =
    request.attempt() > 1 && !request.idempotent();
  if (isNonIdempotentRetry) {
    if (auto earlierReply = QueryOtherZones(request, view, service)) {
      return *earlierReply;
    }
  }
  bool mayHaveRun = false;
  auto deadline = FirstHomeDeadline(request, aDeadline);
  for (auto const home :
       CallHomes(*view.mSnapshot, service, request.call_id())) {
    auto const& entry = view.mSnapshot->mEntries[home];
    std::optional<wire::CallReply> answer =
      entry.mName == SelfName()
        ? RunAtHome(request, deadline)
        : Forward(RemoteStep::Home, entry, request, deadline);
    if (answer) {
      reply = *answer;
      mayHaveRun = mayHaveRun || reply.outcome() == wire::UNKNOWN;
    }
    bool const needsOtherHome = !answer || answer->not_home();
    bool const shouldRetry =
      request.idempotent() && reply.outcome() == wire::UNKNOWN && TakeRetry();
    if ((!needsOtherHome && !shouldRetry) || isNonIdempotentRetry) {
      break;
    }
    deadline = aDeadline;
  }
  bool const earlierRuledOut = isNonIdempotentRetry && !reply.not_home();
  bool const wasTriedBefore = request.attempt() > 1 && !earlierRuledOut;
  AccountForEarlierAttempts(mayHaveRun || wasTriedBefore, reply);
  RecordOutcome(request, reply);
  return reply;
}

void
CallService::RecordOutcome(wire::CallRequest const& aRequest,
                           wire::CallReply const& aReply)
{
  auto const outcome = aReply.outcome();
  mState->mCounters.Add(outcome == wire::ANSWERED  ? Counter::CallsAnswered
                        : outcome == wire::NOT_RUN ? Counter::CallsNotRun
                                                   : Counter::CallsUnknown);
  LogInfo("call: " + std::string(OutcomeText(outcome)) +
          " id=" + aRequest.call_id() + " service=" + aRequest.service() +
          " upstream=" + aReply.upstream() + " reason=" + aReply.reason());
}

std::optional<wire::CallReply>
CallService::QueryOtherZones(wire::CallRequest const& aRequest,
                             CallView const& aView,
                             std::size_t aService)
{
  auto const homes = CallHomes(*aView.mSnapshot, aService, aRequest.call_id());
  auto const zones = std::count_if(
    aView.mSnapshot->mZones.begin(),
    aView.mSnapshot->mZones.end(),
    [](Zone const& aZone) { return aZone.mState == ZoneState::In; });
  bool allNotSeen = homes.size() == static_cast<std::size_t>(zones);
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
        allNotSeen = false;
        continue;
      }
    }
    if (answer.verdict() == wire::CallQueryReply::SEEN) {
      return answer.reply();
    }
    allNotSeen =
      allNotSeen && answer.verdict() == wire::CallQueryReply::NOT_SEEN;
  }
  if (allNotSeen) {
    return std::nullopt;
  }
  return MakeReply(aRequest,
                   wire::UNKNOWN,
                   "not every zone can say whether an earlier attempt ran");
}

} // namespace tarragonsill
