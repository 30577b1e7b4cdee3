#ifndef TARRAGONSILL_COLD_START_HPP_INCLUDED
#define TARRAGONSILL_COLD_START_HPP_INCLUDED

#include <cstdint>

/// The limit of an upstream that is warming up.
namespace tarragonsill {

/// Bounds the work given to an upstream since it turned cold. The bound starts
/// small and grows only with answers seen, until it meets the warm limit.
class ColdStart
{
public:
  /// `aAnswersPerStep` answers raise the bound by one.
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

  /// Starts over, for instance after the upstream refused work.
  void TurnCold()
  {
    mIsCold = true;
    mAnswers = 0;
    mOpen = 0;
  }

  bool IsCold() const { return mIsCold; }
  /// Says whether one more piece of work may start now.
  bool HasRoom() const { return !mIsCold || mOpen < Bound(); }
  /// The work that may be open at once, counted from the last `TurnCold`.
  std::uint32_t Bound() const
  {
    return mIsCold ? mColdLimit + mAnswers / mAnswersPerStep : mWarmLimit;
  }

  void Start() { ++mOpen; }
  void End()
  {
    if (mOpen > 0) {
      --mOpen;
    }
  }
  void Answered()
  {
    if (!mIsCold) {
      return;
    }
    ++mAnswers;
    mIsCold = Bound() < mWarmLimit;
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
