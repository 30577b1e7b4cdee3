#include "tarragonsill_lab_report.hpp"

#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace tarragonsill::Lab {

std::string
RunReport::ToJson() const
{
  nlohmann::json const json = {
    { "flows_opened", mFlows.mOpened },
    { "flows_not_opened", mFlows.mNotOpened },
    { "flows_broken", mFlows.Broken() },
    { "flows_broken_by_reset", mFlows.mBrokenByReset },
    { "flows_broken_by_stall", mFlows.mBrokenByStall },
    { "flows_given_up_in_removed_zone", mFlows.mAbandonedInEvacuatedZone },
    { "packets_forwarded", mFlows.mPacketsForwarded },
    { "packets_to_wrong_service", mFlows.mPacketsToWrongService },
    { "bad_checksums", mFlows.mBadChecksums },
    { "retransmissions", mFlows.mRetransmissions },
    { "refused_by_upstream", mFlows.mRefusedByUpstream },
    { "limit_exceeded", mFlows.mLimitExceeded + mCalls.mLimitExceeded },
    { "limit_exceeded_by_flows", mFlows.mLimitExceeded },
    { "limit_exceeded_by_calls", mCalls.mLimitExceeded },
    { "new_work_after_drain",
      mFlows.mNewWorkAfterDrain + mCalls.mNewWorkAfterDrain },
    { "packets_to_removed_zone_late",
      mFlows.mPacketsToEvacuatedZoneLate + mCalls.mToEvacuatedZoneLate },
    { "calls_sent", mCalls.mSent },
    { "calls_answered", mCalls.mAnswered },
    { "calls_not_run", mCalls.mNotRun },
    { "calls_unknown", mCalls.mUnknown },
    { "calls_run_twice", mCalls.mRunTwice },
    { "not_run_but_ran", mCalls.mNotRunButRan },
    { "answers_crossed", mCalls.mAnswersCrossed },
    { "call_p99_ms", mCalls.mP99Milliseconds },
    { "imbalance", mFlows.mImbalance },
    { "config_in_force_ms", mEntries.mConfigInForceMilliseconds },
    { "control_bytes_per_entry_second", mEntries.mControlBytesPerSecond },
    { "entry_resident_mb", mEntries.mResidentMegabytes },
    { "entry_processor_share", mEntries.mProcessorShare },
    { "packets_dropped_by_entries", mEntries.mDrops },
  };
  return json.dump();
}

std::string
RunReport::ToTable() const
{
  std::ostringstream out;
  auto const row = [&](char const* aName, auto aValue) {
    out << "  " << std::left << std::setw(36) << aName << aValue << '\n';
  };
  row("flows opened", mFlows.mOpened);
  row("flows broken", mFlows.Broken());
  row("flows abandoned in an evacuated zone", mFlows.mAbandonedInEvacuatedZone);
  row("packets forwarded", mFlows.mPacketsForwarded);
  row("packets to a wrong service", mFlows.mPacketsToWrongService);
  row("work above an upstream's limit",
      mFlows.mLimitExceeded + mCalls.mLimitExceeded);
  row("new work after drain",
      mFlows.mNewWorkAfterDrain + mCalls.mNewWorkAfterDrain);
  row("calls sent", mCalls.mSent);
  row("calls answered", mCalls.mAnswered);
  row("calls not run", mCalls.mNotRun);
  row("calls unknown", mCalls.mUnknown);
  row("calls run twice", mCalls.mRunTwice);
  row("\"not run\" that ran", mCalls.mNotRunButRan);
  for (auto const& [service, imbalance] : mFlows.mImbalance) {
    row(("imbalance " + service).c_str(), imbalance);
  }
  return out.str();
}

bool
RunReport::GuaranteesHeld() const
{
  return mFlows.Broken() == 0 && mFlows.mPacketsToWrongService == 0 &&
         mFlows.mBadChecksums == 0 && mFlows.mLimitExceeded == 0 &&
         mFlows.mNewWorkAfterDrain == 0 &&
         mFlows.mPacketsToEvacuatedZoneLate == 0 &&
         mCalls.mLimitExceeded == 0 && mCalls.mNewWorkAfterDrain == 0 &&
         mCalls.mToEvacuatedZoneLate == 0 && mCalls.mRunTwice == 0 &&
         mCalls.mNotRunButRan == 0 && mCalls.mAnswersCrossed == 0;
}

} // namespace tarragonsill::Lab
