#ifndef TARRAGONSILL_LAB_REPORT_HPP_INCLUDED
#define TARRAGONSILL_LAB_REPORT_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Counts of callers, upstreams and entry VMs during a run.
namespace tarragonsill::Lab {

struct FlowReport
{
  std::uint64_t mOpened = 0;
  std::uint64_t mNotOpened = 0; ///< Abandoned without a first answer.
  std::uint64_t mBrokenByReset = 0;
  std::uint64_t mBrokenByStall = 0;
  /// Ended by the callers when the zone of their upstream was evacuated.
  std::uint64_t mAbandonedInEvacuatedZone = 0;
  std::uint64_t mPacketsForwarded = 0;
  std::uint64_t mPacketsToWrongService = 0;
  std::uint64_t mBadChecksums = 0;
  std::uint64_t mLimitExceeded = 0;
  std::uint64_t mNewWorkAfterDrain = 0;
  /// Packets that arrived after the time allowed for the evacuation.
  std::uint64_t mPacketsToEvacuatedZoneLate = 0;
  std::uint64_t mRefusedByUpstream = 0;
  std::uint64_t mRetransmissions = 0;
  /// Descriptions of the first broken flows.
  std::vector<std::string> mBrokenFlows;
  /// The largest load of an upstream divided by the mean, by service.
  std::map<std::string, double> mImbalance;

  std::uint64_t Broken() const { return mBrokenByReset + mBrokenByStall; }
};

struct CallReport
{
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRunTwice = 0;
  std::uint64_t mNotRunButRan = 0;
  std::uint64_t mAnswersCrossed = 0;
  std::uint64_t mLimitExceeded = 0;
  std::uint64_t mNewWorkAfterDrain = 0;
  std::uint64_t mToEvacuatedZoneLate = 0;
  double mP99Milliseconds = 0;
};

struct EntryReport
{
  std::uint64_t mConfigInForceMilliseconds = 0;
  double mControlBytesPerSecond = 0;
  std::uint64_t mDrops = 0;
  /// The largest resident memory of an entry VM.
  double mResidentMegabytes = 0;
  /// The largest processor time of an entry VM, as a share of one core.
  double mProcessorShare = 0;
};

struct RunReport
{
  FlowReport mFlows;
  CallReport mCalls;
  EntryReport mEntries;

  /// Formats the report as one line of JSON.
  std::string ToJson() const;
  /// Formats the main figures as a table.
  std::string ToTable() const;
  /// Whether the run violated none of the checked guarantees.
  bool GuaranteesHeld() const;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_REPORT_HPP_INCLUDED
