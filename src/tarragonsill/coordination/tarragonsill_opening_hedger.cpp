#include "tarragonsill/coordination/tarragonsill_opening_hedger.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxHandshakes = 64;
/// The quantile of recent handshake times that counts as usual.
constexpr double kUsualQuantile = 0.95;
/// A handshake is late after this many times the usual time.
constexpr int kLateFactor = 2;

} // namespace

void
OpeningHedger::SetMaxShare(double aShare)
{
  if (aShare == mMaxShare) {
    return;
  }
  mMaxShare = aShare;
  mPending.clear();
  // Starts empty, so that the share holds from the first hedge on.
  mShare = TokenBucket(0.0, kBurst);
  (void)mShare.Take({}, kBurst);
}

void
OpeningHedger::RecordHandshake(TimePoint aNow,
                               std::uint32_t aSlot,
                               Duration aTime)
{
  auto& record = RecordOf(aSlot);
  record.mHandshakeAt = aNow;
  record.mHandshakeTime = aTime;
  if (mHandshakes.size() < kMaxHandshakes) {
    mHandshakes.push_back(aTime);
  } else {
    mHandshakes[mNextHandshake] = aTime;
    mNextHandshake = (mNextHandshake + 1) % kMaxHandshakes;
  }
  auto sorted = mHandshakes;
  auto const rank = static_cast<std::size_t>(
    kUsualQuantile * static_cast<double>(sorted.size()));
  auto const usual = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(sorted.begin(), usual, sorted.end());
  mUsualHandshake = *usual;
}

void
OpeningHedger::RecordLateAnswer(TimePoint aNow, std::uint32_t aSlot)
{
  RecordOf(aSlot).mLateAnswerAt = aNow;
}

void
OpeningHedger::ForgetUpstream(std::uint32_t aSlot)
{
  if (aSlot < mRecords.size()) {
    mRecords[aSlot] = {};
  }
}

std::optional<milliseconds>
OpeningHedger::Wait() const
{
  if (mHandshakes.size() < kMinHandshakes) {
    return std::nullopt;
  }
  auto const late =
    std::chrono::ceil<milliseconds>(kLateFactor * mUsualHandshake);
  return late > kMaxWait ? std::nullopt
                         : std::optional(std::max(late, kMinWait));
}

void
OpeningHedger::Keep(PendingOpening aOpening)
{
  mShare.Deposit(mMaxShare);
  auto const wait = Wait();
  if (!wait || mPending.size() >= kMaxPending ||
      aOpening.mBytes.size() > kMaxPacketBytes) {
    return;
  }
  aOpening.mDue = aOpening.mOpenedAt + *wait;
  mPending.push_back(std::move(aOpening));
}

std::vector<PendingOpening>
OpeningHedger::TakeDue(TimePoint aNow)
{
  std::vector<PendingOpening> due;
  while (!mPending.empty() && mPending.front().mDue <= aNow) {
    due.push_back(std::move(mPending.front()));
    mPending.pop_front();
  }
  return due;
}

bool
OpeningHedger::IsJustified(TimePoint aNow,
                           PendingOpening const& aOpening,
                           HedgeEvidence const& aEvidence) const
{
  auto const openedAt = aOpening.mOpenedAt;
  bool const isInTime = aNow < openedAt + kLatest;
  bool const isUpstreamSilent =
    aEvidence.mHealth != UpstreamHealth::Answering &&
    aEvidence.mLastAnswer < openedAt;
  // Otherwise this VM may be cut off from the callers.
  bool const doOthersAnswer = mLastAnswer >= openedAt;
  bool const areManySilent =
    aEvidence.mSuspectedUpstreams * kSuspectedDivisor > aEvidence.mUpstreams;
  if (!isInTime || !isUpstreamSilent || !doOthersAnswer || areManySilent) {
    return false;
  }
  auto const record = aOpening.mSlot < mRecords.size()
                        ? mRecords[aOpening.mSlot]
                        : UpstreamRecord{};
  bool const answersLate =
    record.mLateAnswerAt && aNow < *record.mLateAnswerAt + kLateAnswerMaxAge;
  return !answersLate &&
         (aOpening.mWasSuspected || UsuallyAnswers(openedAt, record));
}

OpeningHedger::UpstreamRecord&
OpeningHedger::RecordOf(std::uint32_t aSlot)
{
  if (aSlot >= mRecords.size()) {
    mRecords.resize(aSlot + 1);
  }
  return mRecords[aSlot];
}

bool
OpeningHedger::UsuallyAnswers(TimePoint aOpenedAt,
                              UpstreamRecord const& aRecord) const
{
  auto const wait = Wait();
  return wait && aRecord.mHandshakeAt &&
         aOpenedAt < *aRecord.mHandshakeAt + kHandshakeMaxAge &&
         kLateFactor * aRecord.mHandshakeTime <= *wait;
}

} // namespace tarragonsill
