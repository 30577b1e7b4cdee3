#include "tarragonsill/state/tarragonsill_flow_ledger.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"
#include "tarragonsill/state/tarragonsill_tcp_flags.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::uint32_t kFlowAnswersPerStep = 1;
/// How long an ended flow stays counted, so that its last packets still match.
constexpr seconds kLinger{ 2 };
/// How long a flow without any answer stays counted.
constexpr seconds kFirstAnswerTimeout{ 10 };

} // namespace

FlowLedger::FlowLedger(Upstream const& aUpstream)
  : mLimit(aUpstream.mLimit)
  , mColdStart(aUpstream.mColdLimit.mConnections,
               aUpstream.mLimit.mConnections,
               kFlowAnswersPerStep)
{
}

void
FlowLedger::Configure(Upstream const& aUpstream)
{
  mLimit = aUpstream.mLimit;
  mColdStart.Configure(aUpstream.mColdLimit.mConnections,
                       aUpstream.mLimit.mConnections);
}

Admission
FlowLedger::Admit(TimePoint aNow, std::uint64_t aFlow, std::uint32_t aCeiling)
{
  if (auto* known = mFlows.Find(aFlow)) {
    known->mSeen = CoarseTime(aNow);
    known->mStateFlags &= ~(CallerEnded | UpstreamEnded);
    return Admission::AlreadyAdmitted;
  }
  if (Used() >= std::min(mLimit.mConnections, aCeiling)) {
    return Admission::Full;
  }
  if (!mColdStart.HasRoom()) {
    return Admission::Cold;
  }
  auto& entry = mFlows.FindOrInsert(aFlow);
  entry.mSeen = CoarseTime(aNow);
  entry.mStateFlags = AdmittedSinceCold;
  mColdStart.Start();
  RequireInvariant(Used() <= std::min(mLimit.mConnections, aCeiling),
                   "open flows exceed neither the limit nor the ceiling");
  return Admission::Admitted;
}

bool
FlowLedger::RecordCallerPacket(TimePoint aNow,
                               std::uint64_t aFlow,
                               std::uint8_t aTcpFlags)
{
  auto* const entry = mFlows.Find(aFlow);
  if (entry == nullptr) {
    return false;
  }
  entry->mSeen = CoarseTime(aNow);
  MarkEnd(*entry, aTcpFlags, CallerEnded);
  return true;
}

AnswerVerdict
FlowLedger::RecordAnswer(TimePoint aNow,
                         std::uint64_t aFlow,
                         std::uint8_t aTcpFlags)
{
  bool const reset = (aTcpFlags & TcpFlags::kRst) != 0;
  auto* const entry = mFlows.Find(aFlow);
  if (entry == nullptr) {
    if (reset) {
      // An upstream that never had the flow also sends a reset.
      return AnswerVerdict::HoldBack;
    }
    (void)ClaimAdoptedFlow(aNow, aFlow);
    return AnswerVerdict::Pass;
  }
  entry->mSeen = CoarseTime(aNow);
  if (!reset) {
    entry->mStateFlags &= ~Inferred;
  }
  bool const established = (entry->mStateFlags & Established) != 0;
  if (!established && reset) {
    mFlows.Erase(aFlow);
    mColdStart.TurnCold();
    mFlows.ForEach(
      [](Entry& aEntry) { aEntry.mStateFlags &= ~AdmittedSinceCold; });
    return AnswerVerdict::HoldBack;
  }
  if (!established) {
    entry->mStateFlags |= Established;
    mColdStart.Answered();
  }
  MarkEnd(*entry, aTcpFlags, UpstreamEnded);
  return AnswerVerdict::Pass;
}

void
FlowLedger::Adopt(TimePoint aNow, std::uint32_t aTotal)
{
  auto const known = static_cast<std::uint32_t>(mFlows.Size());
  mUnidentified = std::max(mUnidentified, aTotal > known ? aTotal - known : 0);
  mAdoptedAt = aNow;
  mColdStart.TurnCold();
  mFlows.ForEach(
    [](Entry& aEntry) { aEntry.mStateFlags &= ~AdmittedSinceCold; });
}

bool
FlowLedger::ClaimAdoptedFlow(TimePoint aNow, std::uint64_t aFlow)
{
  if (mUnidentified == 0) {
    return false;
  }
  --mUnidentified;
  auto& entry = mFlows.FindOrInsert(aFlow);
  entry.mSeen = CoarseTime(aNow);
  entry.mStateFlags = Established;
  return true;
}

bool
FlowLedger::InferAdoptedFlow(TimePoint aNow, std::uint64_t aFlow)
{
  if (!ClaimAdoptedFlow(aNow, aFlow)) {
    return false;
  }
  mFlows.FindOrInsert(aFlow).mStateFlags |= Inferred;
  return true;
}

void
FlowLedger::WithdrawInferredFlow(std::uint64_t aFlow)
{
  auto const* const entry = mFlows.Find(aFlow);
  if (entry == nullptr || (entry->mStateFlags & Inferred) == 0) {
    return;
  }
  mFlows.Erase(aFlow);
  ++mUnidentified;
}

bool
FlowLedger::IsConfirmed(std::uint64_t aFlow)
{
  auto const* const entry = mFlows.Find(aFlow);
  return entry != nullptr && (entry->mStateFlags & Inferred) == 0;
}

void
FlowLedger::Sweep(TimePoint aNow, Duration aIdleTimeout)
{
  if (mUnidentified > 0 && aNow - mAdoptedAt > aIdleTimeout) {
    mUnidentified = 0;
  }
  constexpr auto kBothEnded = CallerEnded | UpstreamEnded;
  mFlows.EraseIf([&](Entry const& aEntry) {
    auto const age = aEntry.mSeen.AgeAt(aNow);
    bool const ended = (aEntry.mStateFlags & kBothEnded) == kBothEnded;
    bool const established = (aEntry.mStateFlags & Established) != 0;
    bool const expired = age > aIdleTimeout || (ended && age > kLinger) ||
                         (!established && age > kFirstAnswerTimeout);
    if (expired && (aEntry.mStateFlags & AdmittedSinceCold) != 0) {
      mColdStart.End();
    }
    return expired;
  });
}

void
FlowLedger::MarkEnd(Entry& aEntry, std::uint8_t aTcpFlags, StateFlag aSide)
{
  if ((aTcpFlags & TcpFlags::kRst) != 0) {
    aEntry.mStateFlags |= CallerEnded | UpstreamEnded;
  }
  if ((aTcpFlags & TcpFlags::kFin) != 0) {
    aEntry.mStateFlags |= aSide;
  }
}

} // namespace tarragonsill
