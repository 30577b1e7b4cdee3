#include "tarragonsill/state/tarragonsill_flow_ledger.hpp"

#include "tarragonsill/state/tarragonsill_invariant.hpp"
#include "tarragonsill/state/tarragonsill_tcp_flags.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::uint32_t kFlowAnswersPerStep = 1;
/// How long an ended flow stays counted, so that its last packets arrive.
constexpr seconds kLinger{ 2 };
/// How long a flow may wait for its first answer.
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
    known->mMarks &= ~(CallerEnded | UpstreamEnded);
    return Admission::AlreadyKnown;
  }
  if (Used() >= std::min(mLimit.mConnections, aCeiling)) {
    return Admission::Full;
  }
  if (!mColdStart.HasRoom()) {
    return Admission::Cold;
  }
  auto& entry = mFlows.FindOrInsert(aFlow);
  entry.mSeen = CoarseTime(aNow);
  entry.mMarks = SinceCold;
  mColdStart.Start();
  RequireInvariant(Used() <= std::min(mLimit.mConnections, aCeiling),
                   "admitted flows stay within limit and ceiling");
  return Admission::Admitted;
}

bool
FlowLedger::NoteCaller(TimePoint aNow, std::uint64_t aFlow, std::uint8_t aFlags)
{
  auto* const entry = mFlows.Find(aFlow);
  if (entry == nullptr) {
    return false;
  }
  entry->mSeen = CoarseTime(aNow);
  MarkEnd(*entry, aFlags, CallerEnded);
  return true;
}

AnswerVerdict
FlowLedger::NoteAnswer(TimePoint aNow, std::uint64_t aFlow, std::uint8_t aFlags)
{
  bool const reset = (aFlags & TcpFlags::kRst) != 0;
  auto* const entry = mFlows.Find(aFlow);
  if (entry == nullptr) {
    if (reset) {
      // An upstream that never had the flow answers the same way.
      return AnswerVerdict::HoldBack;
    }
    (void)Claim(aNow, aFlow);
    return AnswerVerdict::Pass;
  }
  entry->mSeen = CoarseTime(aNow);
  if (!reset) {
    entry->mMarks &= ~Inferred;
  }
  bool const established = (entry->mMarks & Established) != 0;
  if (!established && reset) {
    mFlows.Erase(aFlow);
    mColdStart.TurnCold();
    mFlows.ForEach([](Entry& aEntry) { aEntry.mMarks &= ~SinceCold; });
    return AnswerVerdict::HoldBack;
  }
  if (!established) {
    entry->mMarks |= Established;
    mColdStart.Answered();
  }
  MarkEnd(*entry, aFlags, UpstreamEnded);
  return AnswerVerdict::Pass;
}

void
FlowLedger::Adopt(TimePoint aNow, std::uint32_t aTotal)
{
  auto const known = static_cast<std::uint32_t>(mFlows.Size());
  mUnknown = std::max(mUnknown, aTotal > known ? aTotal - known : 0);
  mAdoptedAt = aNow;
  mColdStart.TurnCold();
  mFlows.ForEach([](Entry& aEntry) { aEntry.mMarks &= ~SinceCold; });
}

bool
FlowLedger::Claim(TimePoint aNow, std::uint64_t aFlow)
{
  if (mUnknown == 0) {
    return false;
  }
  --mUnknown;
  auto& entry = mFlows.FindOrInsert(aFlow);
  entry.mSeen = CoarseTime(aNow);
  entry.mMarks = Established;
  return true;
}

bool
FlowLedger::Infer(TimePoint aNow, std::uint64_t aFlow)
{
  if (!Claim(aNow, aFlow)) {
    return false;
  }
  mFlows.FindOrInsert(aFlow).mMarks |= Inferred;
  return true;
}

void
FlowLedger::Withdraw(std::uint64_t aFlow)
{
  auto const* const entry = mFlows.Find(aFlow);
  if (entry == nullptr || (entry->mMarks & Inferred) == 0) {
    return;
  }
  mFlows.Erase(aFlow);
  ++mUnknown;
}

bool
FlowLedger::Vouches(std::uint64_t aFlow)
{
  auto const* const entry = mFlows.Find(aFlow);
  return entry != nullptr && (entry->mMarks & Inferred) == 0;
}

void
FlowLedger::Sweep(TimePoint aNow, Duration aIdleTimeout)
{
  if (mUnknown > 0 && aNow - mAdoptedAt > aIdleTimeout) {
    mUnknown = 0;
  }
  constexpr auto kBothEnded = CallerEnded | UpstreamEnded;
  mFlows.EraseIf([&](Entry const& aEntry) {
    auto const age = aEntry.mSeen.AgeAt(aNow);
    bool const ended = (aEntry.mMarks & kBothEnded) == kBothEnded;
    bool const established = (aEntry.mMarks & Established) != 0;
    bool const expired = age > aIdleTimeout || (ended && age > kLinger) ||
                         (!established && age > kFirstAnswerTimeout);
    if (expired && (aEntry.mMarks & SinceCold) != 0) {
      mColdStart.End();
    }
    return expired;
  });
}

void
FlowLedger::MarkEnd(Entry& aEntry, std::uint8_t aFlags, Mark aSide)
{
  if ((aFlags & TcpFlags::kRst) != 0) {
    aEntry.mMarks |= CallerEnded | UpstreamEnded;
  }
  if ((aFlags & TcpFlags::kFin) != 0) {
    aEntry.mMarks |= aSide;
  }
}

} // namespace tarragonsill
