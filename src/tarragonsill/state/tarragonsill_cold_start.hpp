#ifndef TARRAGONSILL_COLD_START_HPP_INCLUDED
#define TARRAGONSILL_COLD_START_HPP_INCLUDED

#include <cstdint>

/// Slow start: the ramp-up of an upstream's limit after its start.
namespace tarragonsill {

/// Limits the open work of a cold upstream. The limit starts at the cold limit
/// and grows with each answer until it reaches the warm limit.
class ColdStart
{
public:
  /// The limit grows by one for every `aAnswersPerStep` answers.
  ColdStart(std::uint32_t aColdLimit,
            std::uint32_t aWarmLimit,
            std::uint32_t aAnswersPerStep)
    : mColdLimit(aColdLimit)
    , mWarmLimit(aWarmLimit)
    , mAnswersPerStep(aAnswersPerStep)
  {
  }

  void Configure(std::uint32_t aColdLimit, std::uint32_t aWarmLimit)
  {
    mColdLimit = aColdLimit;
    mWarmLimit = aWarmLimit;
  }

  /// Restarts the ramp-up, for instance after the upstream refused work.
  void TurnCold()
  {
    mIsCold = true;
    mAnswers = 0;
    mOpen = 0;
  }

  bool IsCold() const { return mIsCold; }
  /// Whether one more flow or call may start now.
  bool HasRoom() const { return !mIsCold || mOpen < Limit(); }
  /// The maximum of open work, not counting work from before `TurnCold`.
  std::uint32_t Limit() const
  {
    return mIsCold ? mColdLimit + mAnswers / mAnswersPerStep : mWarmLimit;
  }

  /// Records the start of a flow or call.
  void Start() { ++mOpen; }
  /// Records the end of a flow or call that started since `TurnCold`.
  void End()
  {
    if (mOpen > 0) {
      --mOpen;
    }
  }
  /// Records an answer, which raises the limit of a cold upstream.
  void Answered()
  {
    if (!mIsCold) {
      return;
    }
    ++mAnswers;
    mIsCold = Limit() < mWarmLimit;
  }

private:
  std::uint32_t mColdLimit;
  std::uint32_t mWarmLimit;
  std::uint32_t mAnswersPerStep;
  bool mIsCold = true;
  std::uint32_t mAnswers = 0;
  std::uint32_t mOpen = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COLD_START_HPP_INCLUDED
