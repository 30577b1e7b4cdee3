#ifndef TARRAGONSILL_ANSWER_OBSERVER_HPP_INCLUDED
#define TARRAGONSILL_ANSWER_OBSERVER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Observes how long upstreams of a zone take to answer, relative to each
/// other.
///
/// The usual time of a kind of request is the recent mean over all upstreams of
/// the zone, as this VM observes them. A relative time of 0.5 thus means twice
/// as fast as the zone. VMs that see different upstreams agree about it, which
/// they would not if each compared with the fastest upstream that it knows.
///
/// Means are of logarithms (geometric), and a single answer counts as at most
/// `kMaxFactor` times slower or faster: a few requests that take many times as
/// long as the others say little about their upstream.
namespace tarragonsill {

class AnswerObserver
{
public:
  /// The limit of the effect of a single answer.
  static constexpr double kMaxFactor = 4.0;
  /// Until so many answers to a kind of request are known, its usual time is
  /// unknown, and its answers are not counted.
  static constexpr double kMinAnswers = 8.0;
  /// The time constant with which answers lose weight in the usual time.
  static constexpr seconds kUsualTimeMemory{ 10 };

  /// Answers of an upstream and the mean of their relative times.
  struct Answers
  {
    std::uint32_t mCount = 0;
    double mRelativeTime = 1.0;
  };

  void RecordAnswer(TimePoint aNow,
                    std::uint64_t aKind,
                    std::uint32_t aSlot,
                    Duration aTime);
  /// Returns the answers of an upstream since the last call.
  Answers Take(std::uint32_t aSlot);
  /// Discards the answers of the upstream that was in a slot.
  void Forget(std::uint32_t aSlot);

private:
  struct UsualTime
  {
    double mMeanLog = 0.0;
    double mWeight = 0.0; ///< In answers.
    TimePoint mLastAnswer{};
  };
  struct Sum
  {
    std::uint32_t mCount = 0;
    double mLogs = 0.0;
  };

  std::unordered_map<std::uint64_t, UsualTime> mUsualTimes; ///< By kind.
  std::vector<Sum> mSums;                                   ///< By slot.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ANSWER_OBSERVER_HPP_INCLUDED
