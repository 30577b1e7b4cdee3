#include "tarragonsill/transport/tarragonsill_call_actor.hpp"

#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"

#include <map>

namespace tarragonsill {

namespace {

/// How long a call range has been held without a break.
struct RangeTenure
{
  std::uint64_t mTerm = 0;
  TimePoint mSince{};
  TimePoint mUntil{};
};

class CallDriver
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
      auto& tenure = mTenures[lease.mUpstream.mPort];
      bool const unbroken = tenure.mTerm == lease.mTerm && now < tenure.mUntil;
      if (!unbroken) {
        tenure.mSince = now;
      }
      tenure.mTerm = lease.mTerm;
      tenure.mUntil = lease.mUntil;
    }
    mLedger.Sweep(now);
  }

  CallDecision Begin(BeginCall const& aCall)
  {
    CallDecision decision;
    auto const now = Clock::now();
    auto const held = HeldFor(now, aCall.mCallId);
    if (!held) {
      decision.mNotHome = true;
      return decision;
    }
    decision.mVerdict =
      mLedger.Begin(now, aCall.mCallId, aCall.mAttempt, *held);
    decision.mResult = OutcomeOf(aCall.mCallId);
    return decision;
  }

  PeekDecision Peek(PeekCall const& aCall)
  {
    return { mLedger.IsRunning(aCall.mCallId), OutcomeOf(aCall.mCallId) };
  }

  void Finish(FinishCall const& aCall)
  {
    mLedger.Finish(aCall.mCallId, *aCall.mResult);
  }

  QueryDecision Query(QueryCall const& aCall)
  {
    auto const now = Clock::now();
    auto const held = HeldFor(now, aCall.mCallId);
    QueryDecision decision;
    decision.mVerdict =
      mLedger.Query(now, aCall.mCallId, held.value_or(Duration{}));
    decision.mResult = OutcomeOf(aCall.mCallId);
    return decision;
  }

  SlotAdmission Admit(AdmitSlot const& aSlot)
  {
    return mSlots.Admit(Clock::now(), aSlot.mUpstream, aSlot.mPriority);
  }

  void End(EndSlot const& aSlot)
  {
    switch (aSlot.mEnd) {
      case SlotEnd::Answered:
        mSlots.Answered(aSlot.mUpstream);
        return;
      case SlotEnd::Refused:
        mSlots.Refused(aSlot.mUpstream);
        return;
      case SlotEnd::Unsent:
        mSlots.Unsent(aSlot.mUpstream);
        return;
      case SlotEnd::Cancelled:
        mSlots.Cancelled(Clock::now(), aSlot.mUpstream);
        return;
    }
  }

private:
  std::optional<Duration> HeldFor(TimePoint aNow, std::string const& aCallId)
  {
    auto const found = mTenures.find(CallRange(aCallId));
    if (found == mTenures.end() || aNow >= found->second.mUntil) {
      return std::nullopt;
    }
    return aNow - found->second.mSince;
  }

  std::shared_ptr<CallResult const> OutcomeOf(std::string const& aCallId)
  {
    auto const outcome = mLedger.Outcome(aCallId);
    return outcome ? std::make_shared<CallResult const>(*outcome) : nullptr;
  }

  CallLedger mLedger{ CallLedger::Options{} };
  SlotLedger mSlots{ SlotLedger::Options{} };
  std::map<std::uint16_t, RangeTenure> mTenures;
};

} // namespace

caf::behavior
CallActor(caf::event_based_actor*)
{
  auto driver = std::make_shared<CallDriver>();
  return {
    [=](CallView const& aView) { driver->Receive(aView); },
    [=](BeginCall const& aCall) { return driver->Begin(aCall); },
    [=](PeekCall const& aCall) { return driver->Peek(aCall); },
    [=](FinishCall const& aCall) { driver->Finish(aCall); },
    [=](QueryCall const& aCall) { return driver->Query(aCall); },
    [=](AdmitSlot const& aSlot) { return driver->Admit(aSlot); },
    [=](EndSlot const& aSlot) { driver->End(aSlot); },
  };
}

} // namespace tarragonsill
