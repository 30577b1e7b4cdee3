#include "tarragonsill/coordination/tarragonsill_answer_observer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonsill {

namespace {

using FloatSeconds = std::chrono::duration<double>;

/// Shorter times cannot be told apart.
constexpr FloatSeconds kMinTime{ 1e-5 };

} // namespace

void
AnswerObserver::RecordAnswer(TimePoint aNow,
                             std::uint64_t aKind,
                             std::uint32_t aSlot,
                             Duration aTime)
{
  auto const time = std::max(FloatSeconds(aTime), kMinTime);
  auto const log = std::log(time.count());
  auto& usual = mUsualTimes[aKind];
  if (usual.mWeight == 0.0) {
    usual = { log, 0.0, aNow };
  }
  auto const maxLog = std::log(kMaxFactor);
  auto const relative = std::clamp(log - usual.mMeanLog, -maxLog, maxLog);
  auto const age = FloatSeconds(aNow - usual.mLastAnswer);
  usual.mWeight *= std::exp(-age / FloatSeconds(kUsualTimeMemory));
  bool const isKnown = usual.mWeight >= kMinAnswers;
  usual.mWeight += 1.0;
  usual.mMeanLog += relative / usual.mWeight;
  usual.mLastAnswer = aNow;
  if (!isKnown) {
    return;
  }
  if (aSlot >= mSums.size()) {
    mSums.resize(std::size_t{ aSlot } + 1);
  }
  ++mSums[aSlot].mCount;
  mSums[aSlot].mLogs += relative;
}

AnswerObserver::Answers
AnswerObserver::Take(std::uint32_t aSlot)
{
  if (aSlot >= mSums.size() || mSums[aSlot].mCount == 0) {
    return {};
  }
  auto const sum = std::exchange(mSums[aSlot], {});
  return { sum.mCount, std::exp(sum.mLogs / sum.mCount) };
}

void
AnswerObserver::Forget(std::uint32_t aSlot)
{
  if (aSlot < mSums.size()) {
    mSums[aSlot] = {};
  }
}

} // namespace tarragonsill
