#ifndef TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED
#define TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>

/// Measures how long an upstream takes to answer, relative to the usual answer
/// time of its kind of request.
///
/// The number of open flows does not reveal a slow upstream: callers that it
/// rejects close their flows, so that it appears to be idle.
namespace tarragonsill {

class RelativeAnswerTime
{
public:
  /// The weight of each new answer in the moving average.
  static constexpr double kSmoothing = 1.0 / 8;
  /// With fewer answers, the upstream counts as not slow.
  static constexpr std::uint32_t kMinAnswers = 4;
  /// Older measurements are discarded, so that a slow upstream is tried again.
  static constexpr milliseconds kMaxAge{ 5000 };
  /// Limits the effect of a single answer.
  static constexpr double kMaxRatio = 20.0;

  /// Records an answer that took `aRatio` times the usual time.
  void RecordAnswer(TimePoint aNow, double aRatio);
  /// The factor by which the upstream is slower than usual, at least 1.
  double Slowness(TimePoint aNow) const;

private:
  double mRatio = 1.0;
  std::uint32_t mAnswers = 0;
  TimePoint mLastAnswer{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED
