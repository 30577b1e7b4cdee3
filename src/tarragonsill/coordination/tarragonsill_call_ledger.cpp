#include "tarragonsill/coordination/tarragonsill_call_ledger.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"

namespace tarragonsill {

CallLedger::Entry&
CallLedger::Add(TimePoint aNow, std::string const& aCallId, State aState)
{
  mExpiries.push_back({ aNow + mOptions.mRetention, aCallId });
  auto& entry = mCalls[aCallId];
  entry.mState = aState;
  return entry;
}

CallVerdict
CallLedger::Begin(TimePoint aNow,
                  std::string const& aCallId,
                  std::uint32_t aAttempt,
                  Duration aRangeHeldFor)
{
  auto const found = mCalls.find(aCallId);
  if (found != mCalls.end()) {
    switch (found->second.mState) {
      case State::Running:
        return CallVerdict::InProgress;
      case State::Finished:
        return CallVerdict::Recorded;
      case State::Tombstone:
        return CallVerdict::Tombstone;
    }
  }
  if (aAttempt > 1 && aRangeHeldFor < mOptions.mRetention) {
    return CallVerdict::Uncertain;
  }
  if (mCalls.size() >= mOptions.mMaxCalls) {
    return CallVerdict::Full;
  }
  Add(aNow, aCallId, State::Running);
  return CallVerdict::Run;
}

void
CallLedger::Finish(std::string const& aCallId, CallResult const& aResult)
{
  auto const found = mCalls.find(aCallId);
  if (found == mCalls.end()) {
    return;
  }
  if (aResult.mOutcome == CallOutcome::NotRun) {
    mCalls.erase(found);
    return;
  }
  auto& entry = found->second;
  entry.mState = State::Finished;
  entry.mResult = aResult;
  if (mBodyBytes + aResult.mBody.size() > mOptions.mMaxBodyBytes) {
    entry.mResult.mOutcome = CallOutcome::Unknown;
    entry.mResult.mBody.clear();
    entry.mResult.mReason = "the call ran, but its answer is no longer held";
  }
  mBodyBytes += entry.mResult.mBody.size();
}

std::optional<CallResult>
CallLedger::Outcome(std::string const& aCallId) const
{
  auto const found = mCalls.find(aCallId);
  bool const finished =
    found != mCalls.end() && found->second.mState == State::Finished;
  return finished ? std::optional(found->second.mResult) : std::nullopt;
}

bool
CallLedger::IsRunning(std::string const& aCallId) const
{
  auto const found = mCalls.find(aCallId);
  return found != mCalls.end() && found->second.mState == State::Running;
}

CallLedger::QueryVerdict
CallLedger::Query(TimePoint aNow,
                  std::string const& aCallId,
                  Duration aRangeHeldFor)
{
  auto const found = mCalls.find(aCallId);
  if (found != mCalls.end()) {
    return found->second.mState == State::Tombstone ? QueryVerdict::NotSeen
                                                    : QueryVerdict::Seen;
  }
  if (mCalls.size() >= mOptions.mMaxCalls) {
    return QueryVerdict::Uncertain;
  }
  Add(aNow, aCallId, State::Tombstone);
  return aRangeHeldFor < mOptions.mRetention ? QueryVerdict::Uncertain
                                             : QueryVerdict::NotSeen;
}

void
CallLedger::Sweep(TimePoint aNow)
{
  while (!mExpiries.empty() && mExpiries.front().mAt <= aNow) {
    auto const expiry = std::move(mExpiries.front());
    mExpiries.pop_front();
    auto const found = mCalls.find(expiry.mCallId);
    if (found == mCalls.end()) {
      continue;
    }
    if (found->second.mState == State::Running) {
      // The call's deadline has passed. Its record is kept for one more
      // retention time.
      mExpiries.push_back({ aNow + mOptions.mRetention, expiry.mCallId });
      found->second.mState = State::Finished;
      continue;
    }
    RequireInvariant(mBodyBytes >= found->second.mResult.mBody.size(),
                     "the total of body bytes includes every recorded body");
    mBodyBytes -= found->second.mResult.mBody.size();
    mCalls.erase(found);
  }
}

} // namespace tarragonsill
