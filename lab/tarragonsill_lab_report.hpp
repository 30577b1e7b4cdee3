#ifndef TARRAGONSILL_LAB_REPORT_HPP_INCLUDED
#define TARRAGONSILL_LAB_REPORT_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What callers and upstreams saw during a run.
namespace tarragonsill::Lab {

struct FlowReport
{
  std::uint64_t mOpened = 0;
  std::uint64_t mNotOpened = 0; ///< Given up before the first answer.
  std::uint64_t mBrokenByReset = 0;
  std::uint64_t mBrokenByStall = 0;
  std::uint64_t mGivenUpInRemovedZone = 0;
  std::uint64_t mPacketsForwarded = 0;
  std::uint64_t mPacketsToWrongService = 0;
  std::uint64_t mBadChecksums = 0;
  std::uint64_t mLimitExceeded = 0;
  std::uint64_t mNewWorkAfterDrain = 0;
  std::uint64_t mPacketsToRemovedZoneLate = 0;
  std::uint64_t mRefusedByUpstream = 0;
  std::uint64_t mRetransmissions = 0;
  /// The first broken flows, for the reader of a verbose run.
  std::vector<std::string> mBrokenFlows;
  /// Largest over mean share of flows, by service.
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
  std::uint64_t mToRemovedZoneLate = 0;
  double mP99Milliseconds = 0;
};

struct EntryReport
{
  std::uint64_t mConfigInForceMilliseconds = 0;
  double mControlBytesPerSecond = 0;
  std::uint64_t mDrops = 0;
  /// The largest resident memory of an entry VM's process.
  double mResidentMegabytes = 0;
  /// The largest share of one core that an entry VM's process used.
  double mProcessorShare = 0;
};

struct RunReport
{
  FlowReport mFlows;
  CallReport mCalls;
  EntryReport mEntries;

  /// One JSON object on one line.
  std::string ToJson() const;
  /// A short table for people.
  std::string ToTable() const;
  /// Whether every promise was kept.
  bool GuaranteesHeld() const;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_REPORT_HPP_INCLUDED
