#ifndef TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED
#define TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>

/// How slow an upstream is, beside what its kind of request usually takes.
///
/// The number of open flows says little about a slow upstream: callers that it
/// rejects leave it, so that it looks free.
namespace tarragonsill {

class RelativeAnswerTime
{
public:
  /// The weight of one more answer.
  static constexpr double kSmoothing = 1.0 / 8;
  /// Fewer answers say nothing.
  static constexpr std::uint32_t kMinAnswers = 4;
  /// Without an answer for this long nothing is known any more, so that the
  /// upstream is tried again.
  static constexpr milliseconds kMaxAge{ 5000 };
  /// A single answer counts at most this much.
  static constexpr double kMaxRatio = 20.0;

  /// An answer took this many times the usual time.
  void RecordAnswer(TimePoint aNow, double aRatio);
  /// At least 1; 3 for an upstream that takes three times as long as usual.
  double Slowness(TimePoint aNow) const;

private:
  double mRatio = 1.0;
  std::uint32_t mAnswers = 0;
  TimePoint mLastAnswer{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_RELATIVE_ANSWER_TIME_HPP_INCLUDED
