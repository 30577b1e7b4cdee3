#ifndef TARRAGONSILL_TOKEN_BUCKET_HPP_INCLUDED
#define TARRAGONSILL_TOKEN_BUCKET_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <algorithm>

/// A token bucket for rate limits and budgets.
namespace tarragonsill {

/// A bucket that fills at a constant rate up to its burst size.
class TokenBucket
{
public:
  /// Starts with a full bucket. At a rate of 0, only `Deposit` adds tokens.
  TokenBucket(double aPerSecond, double aBurst)
    : mPerSecond(aPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// Takes tokens; returns false and takes none if there are too few.
  bool Take(TimePoint aNow, double aTokens = 1.0)
  {
    Refill(aNow);
    if (mTokens < aTokens) {
      return false;
    }
    mTokens -= aTokens;
    return true;
  }

  /// Adds tokens up to the burst size.
  void Deposit(double aTokens)
  {
    mTokens = std::min(mBurst, mTokens + aTokens);
  }

private:
  void Refill(TimePoint aNow)
  {
    if (mLast != TimePoint{} && aNow > mLast) {
      std::chrono::duration<double> const elapsed = aNow - mLast;
      Deposit(elapsed.count() * mPerSecond);
    }
    mLast = std::max(mLast, aNow);
  }

  double mPerSecond;
  double mBurst;
  double mTokens;
  TimePoint mLast{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_TOKEN_BUCKET_HPP_INCLUDED
