#ifndef TARRAGONSILL_LOAD_REPORT_HPP_INCLUDED
#define TARRAGONSILL_LOAD_REPORT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <compare>
#include <cstdint>
#include <vector>

/// The reports by which the VMs of a zone share what they observe of its
/// upstreams.
namespace tarragonsill {

/// The load of an upstream as observed by one VM or, summed up, by several.
struct ReportedLoad
{
  std::uint32_t mProcess = 0; ///< See `ProcessKey`.
  double mFlows = 0.0;
  double mInProgress = 0.0;
  /// Answers of the last seconds; older ones count less.
  double mAnswers = 0.0;
  double mRelativeTime = 1.0; ///< Their mean time; see `AnswerObserver`.
};

/// Orders the reports of a VM.
struct LoadReportVersion
{
  std::uint64_t mIncarnation = 0; ///< Of the sender's process.
  std::uint32_t mSequence = 0;    ///< Rises with each report of a process.

  auto operator<=>(LoadReportVersion const&) const = default;
};

/// The loads of the upstreams of one shard.
struct LoadReport
{
  std::uint32_t mShard = 0;
  std::uint32_t mSequence = 0; ///< See `LoadReportVersion`.
  /// The number of VMs that a collector's answer merges; 0 in a report to a
  /// collector.
  std::uint32_t mReporters = 0;
  milliseconds mAge{ 0 }; ///< Of the oldest observation.
  std::vector<ReportedLoad> mLoads;

  bool IsMerged() const { return mReporters > 0; }
};

} // namespace tarragonsill

#endif // TARRAGONSILL_LOAD_REPORT_HPP_INCLUDED
