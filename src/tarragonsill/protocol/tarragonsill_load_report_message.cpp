#include "tarragonsill/protocol/tarragonsill_load_report_message.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonsill {

namespace {

constexpr double kAnswerUnit = 0.1;
constexpr double kRelativeTimeUnit = 0.01;
/// Far beyond the flows, requests and answers of an upstream.
constexpr double kMaxCount = 1e6;
constexpr double kMinRelativeTime = 0.05;
constexpr double kMaxRelativeTime = 20.0;
constexpr std::uint32_t kMaxAgeMs = 3'600'000;

std::uint32_t
ToUnits(double aValue, double aUnit)
{
  return static_cast<std::uint32_t>(std::lround(aValue / aUnit));
}

double
CountOf(std::uint32_t aUnits, double aUnit = 1.0)
{
  return std::min(kMaxCount, aUnits * aUnit);
}

} // namespace

wire::LoadReport
ToWire(LoadReport const& aReport)
{
  wire::LoadReport message;
  message.set_shard(aReport.mShard);
  message.set_sequence(aReport.mSequence);
  message.set_reporters(aReport.mReporters);
  message.set_age_ms(static_cast<std::uint32_t>(aReport.mAge.count()));
  for (auto const& load : aReport.mLoads) {
    message.add_process(load.mProcess);
    message.add_flows(ToUnits(load.mFlows, 1.0));
    message.add_in_progress(ToUnits(load.mInProgress, 1.0));
    message.add_answers(ToUnits(load.mAnswers, kAnswerUnit));
    message.add_relative_time(ToUnits(load.mRelativeTime, kRelativeTimeUnit));
  }
  return message;
}

Result<LoadReport>
ReadLoadReport(wire::LoadReport const& aMessage)
{
  auto const count = aMessage.process_size();
  bool const isEven =
    aMessage.flows_size() == count && aMessage.in_progress_size() == count &&
    aMessage.answers_size() == count && aMessage.relative_time_size() == count;
  if (!isEven || static_cast<std::size_t>(count) > kMaxReportedLoads) {
    return Reason{ ReasonCode::Invalid,
                   "lists of a load report differ in length or are too long" };
  }
  LoadReport report;
  report.mShard = aMessage.shard();
  report.mSequence = aMessage.sequence();
  report.mReporters = aMessage.reporters();
  report.mAge = milliseconds{ std::min(aMessage.age_ms(), kMaxAgeMs) };
  report.mLoads.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    report.mLoads.push_back(
      { aMessage.process(index),
        CountOf(aMessage.flows(index)),
        CountOf(aMessage.in_progress(index)),
        CountOf(aMessage.answers(index), kAnswerUnit),
        std::clamp(aMessage.relative_time(index) * kRelativeTimeUnit,
                   kMinRelativeTime,
                   kMaxRelativeTime) });
  }
  return report;
}

} // namespace tarragonsill
