#include "tarragonsill/coordination/tarragonsill_load_collector.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace tarragonsill {

namespace {

/// Upstreams with fewer flows, requests and answers are left out.
constexpr double kMinLoad = 0.05;

/// Adds up loads of the same upstream. The logarithms of relative times add up
/// by answers.
void
AddLoad(ReportedLoad& aSum, ReportedLoad const& aLoad, bool aIsReceiver)
{
  aSum.mFlows += aIsReceiver ? 0.0 : aLoad.mFlows;
  aSum.mInProgress += aIsReceiver ? 0.0 : aLoad.mInProgress;
  auto const logs = aSum.mAnswers * std::log(aSum.mRelativeTime) +
                    aLoad.mAnswers * std::log(aLoad.mRelativeTime);
  aSum.mAnswers += aLoad.mAnswers;
  aSum.mRelativeTime =
    aSum.mAnswers > 0.0 ? std::exp(logs / aSum.mAnswers) : 1.0;
}

} // namespace

bool
LoadCollector::Add(TimePoint aNow, LoadReporter aFrom, LoadReport aReport)
{
  std::erase_if(mReports, [&](auto const& aItem) {
    return aNow > aItem.second.mAsOf + kKeepTime;
  });
  auto const known = mReports.find(aFrom.mName);
  LoadReportVersion const version{ aFrom.mIncarnation, aReport.mSequence };
  bool const isOld =
    known != mReports.end() && version <= known->second.mVersion;
  bool const isFull =
    known == mReports.end() && mReports.size() >= kMaxReporters;
  if (isOld || isFull) {
    return false;
  }
  mReports[aFrom.mName] = { version,
                            aNow - aReport.mAge,
                            std::move(aReport.mLoads) };
  return true;
}

LoadReport
LoadCollector::Merge(TimePoint aNow,
                     milliseconds aMaxAge,
                     std::uint64_t aReceiver) const
{
  LoadReport merged;
  std::unordered_map<std::uint32_t, ReportedLoad> sums;
  auto oldest = aNow;
  for (auto const& [name, report] : mReports) {
    if (aNow > report.mAsOf + aMaxAge) {
      continue;
    }
    ++merged.mReporters;
    oldest = std::min(oldest, report.mAsOf);
    for (auto const& load : report.mLoads) {
      AddLoad(sums[load.mProcess], load, name == aReceiver);
    }
  }
  merged.mAge = std::chrono::duration_cast<milliseconds>(aNow - oldest);
  for (auto& [process, sum] : sums) {
    if (sum.mFlows + sum.mInProgress + sum.mAnswers >= kMinLoad) {
      sum.mProcess = process;
      merged.mLoads.push_back(sum);
    }
  }
  return merged;
}

} // namespace tarragonsill
