#include "tarragonsill/coordination/tarragonsill_relative_answer_time.hpp"

#include <algorithm>

namespace tarragonsill {

void
RelativeAnswerTime::RecordAnswer(TimePoint aNow, double aRatio)
{
  if (aNow >= mLast + kForgetAfter) {
    mRatio = 1.0;
    mAnswers = 0;
  }
  mRatio += kSmoothing * (std::min(aRatio, kMaxRatio) - mRatio);
  ++mAnswers;
  mLast = aNow;
}

double
RelativeAnswerTime::Slowness(TimePoint aNow) const
{
  bool const isKnown = mAnswers >= kMinAnswers && aNow < mLast + kForgetAfter;
  return isKnown ? std::max(1.0, mRatio) : 1.0;
}

} // namespace tarragonsill
