#ifndef TARRAGONSILL_CALL_REPLIES_HPP_INCLUDED
#define TARRAGONSILL_CALL_REPLIES_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_call_ledger.hpp"
#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <optional>
#include <string>
#include <utility>

#include <tarragonsill_calls.pb.h>

/// Replies and limits shared by the sources of the call service.
namespace tarragonsill::Detail {

/// Delay after which a caller may retry a call that was not run.
constexpr milliseconds kRetryAfter{ 100 };
/// A call whose deadline is closer than this is not started.
constexpr milliseconds kMinRemainingTime{ 5 };
/// An address is unreachable if connecting takes longer than this.
constexpr milliseconds kConnectTimeout{ 150 };

/// Returns a reply without an answer of an upstream.
inline wire::CallReply
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

inline CallOutcome
OutcomeOf(wire::CallReply const& aReply)
{
  return aReply.outcome() == wire::ANSWERED  ? CallOutcome::Answered
         : aReply.outcome() == wire::NOT_RUN ? CallOutcome::NotRun
                                             : CallOutcome::Unknown;
}

/// Changes the outcome "not run" to "unknown" if an earlier attempt of the call
/// may have run: "not run" must hold for every attempt.
inline void
AccountForEarlierAttempts(bool aEarlierMayHaveRun, wire::CallReply& aReply)
{
  auto const outcome = OutcomeOf(aReply);
  if (OverallOutcome(outcome, aEarlierMayHaveRun) == outcome) {
    return;
  }
  aReply.set_outcome(wire::UNKNOWN);
  aReply.set_reason(aReply.reason() + "; an earlier try may have run");
}

/// Returns the reply for a recorded outcome.
inline wire::CallReply
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

/// Returns the index of a service in a snapshot.
inline std::optional<std::size_t>
FindService(SteeringSnapshot const& aSnapshot, std::string const& aName)
{
  for (std::size_t index = 0; index < aSnapshot.mServices.size(); ++index) {
    if (aSnapshot.mServices[index].mService.mName == aName) {
      return index;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill::Detail

#endif // TARRAGONSILL_CALL_REPLIES_HPP_INCLUDED
