#include "tarragonsill/transport/tarragonsill_call_actor.hpp"

#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"

#include <map>

namespace tarragonsill {

namespace {

/// A lease of a call range, held without interruption since `mSince`.
struct RangeLease
{
  std::uint64_t mTerm = 0;
  TimePoint mSince{};
  TimePoint mUntil{};
};

class CallActorState
{
public:
  void Receive(CallView const& aView)
  {
    if (!aView.mConfiguration || !aView.mLeases) {
      return;
    }
    auto const now = Clock::now();
    mSlots.Apply(now, *aView.mConfiguration, *aView.mLeases);
    for (auto const& lease : *aView.mLeases) {
      if (lease.mUpstream.mAddress.mValue != 0) {
        continue;
      }
      auto& rangeLease = mRangeLeases[lease.mUpstream.mPort];
      bool const isContinuous =
        rangeLease.mTerm == lease.mTerm && now < rangeLease.mUntil;
      if (!isContinuous) {
        rangeLease.mSince = now;
      }
      rangeLease.mTerm = lease.mTerm;
      rangeLease.mUntil = lease.mUntil;
    }
    mLedger.Sweep(now);
  }

  CallDecision Begin(BeginCall const& aCall)
  {
    CallDecision decision;
    auto const now = Clock::now();
    auto const holdTime = ContinuousHoldTime(now, aCall.mCallId);
    if (!holdTime) {
      decision.mNotHome = true;
      return decision;
    }
    decision.mVerdict =
      mLedger.Begin(now, aCall.mCallId, aCall.mAttempt, *holdTime);
    decision.mResult = RecordedResult(aCall.mCallId);
    return decision;
  }

  CallState ReadState(ReadCallState const& aCall)
  {
    return { mLedger.IsRunning(aCall.mCallId), RecordedResult(aCall.mCallId) };
  }

  void Finish(FinishCall const& aCall)
  {
    mLedger.Finish(aCall.mCallId, *aCall.mResult);
  }

  QueryDecision Query(QueryCall const& aCall)
  {
    auto const now = Clock::now();
    auto const holdTime = ContinuousHoldTime(now, aCall.mCallId);
    QueryDecision decision;
    decision.mVerdict =
      mLedger.Query(now, aCall.mCallId, holdTime.value_or(Duration{}));
    decision.mResult = RecordedResult(aCall.mCallId);
    return decision;
  }

  SlotAdmission Admit(AdmitSlot const& aSlot)
  {
    return mSlots.Admit(Clock::now(), aSlot.mUpstream, aSlot.mPriority);
  }

  void Release(ReleaseSlot const& aSlot)
  {
    switch (aSlot.mOutcome) {
      case SlotOutcome::Answered:
        mSlots.Answered(aSlot.mUpstream);
        return;
      case SlotOutcome::Refused:
        mSlots.Refused(aSlot.mUpstream);
        return;
      case SlotOutcome::Unsent:
        mSlots.Unsent(aSlot.mUpstream);
        return;
      case SlotOutcome::Cancelled:
        mSlots.Cancelled(Clock::now(), aSlot.mUpstream);
        return;
    }
  }

private:
  std::optional<Duration> ContinuousHoldTime(TimePoint aNow,
                                             std::string const& aCallId)
  {
    auto const found = mRangeLeases.find(CallRange(aCallId));
    if (found == mRangeLeases.end() || aNow >= found->second.mUntil) {
      return std::nullopt;
    }
    return aNow - found->second.mSince;
  }

  std::shared_ptr<CallResult const> RecordedResult(std::string const& aCallId)
  {
    auto const outcome = mLedger.Outcome(aCallId);
    return outcome ? std::make_shared<CallResult const>(*outcome) : nullptr;
  }

  CallLedger mLedger{ CallLedger::Options{} };
  SlotLedger mSlots{ SlotLedger::Options{} };
  std::map<std::uint16_t, RangeLease> mRangeLeases;
};

} // namespace

caf::behavior
CallActor(caf::event_based_actor*)
{
  auto state = std::make_shared<CallActorState>();
  return {
    [=](CallView const& aView) { state->Receive(aView); },
    [=](BeginCall const& aCall) { return state->Begin(aCall); },
    [=](ReadCallState const& aCall) { return state->ReadState(aCall); },
    [=](FinishCall const& aCall) { state->Finish(aCall); },
    [=](QueryCall const& aCall) { return state->Query(aCall); },
    [=](AdmitSlot const& aSlot) { return state->Admit(aSlot); },
    [=](ReleaseSlot const& aSlot) { state->Release(aSlot); },
  };
}

} // namespace tarragonsill
