#include "tarragonsill/coordination/tarragonsill_relative_answer_time.hpp"

#include <algorithm>

namespace tarragonsill {

void
RelativeAnswerTime::RecordAnswer(TimePoint aNow, double aRatio)
{
  if (aNow >= mLastAnswer + kMaxAge) {
    mRatio = 1.0;
    mAnswers = 0;
  }
  mRatio += kSmoothing * (std::min(aRatio, kMaxRatio) - mRatio);
  ++mAnswers;
  mLastAnswer = aNow;
}

double
RelativeAnswerTime::Slowness(TimePoint aNow) const
{
  bool const isKnown = mAnswers >= kMinAnswers && aNow < mLastAnswer + kMaxAge;
  return isKnown ? std::max(1.0, mRatio) : 1.0;
}

} // namespace tarragonsill
