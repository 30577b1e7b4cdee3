#include "tarragonsill/transport/tarragonsill_load_status.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

milliseconds
AgeOf(TimePoint aNow, TimePoint aAsOf)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aAsOf);
}

std::string
Gauge(std::string const& aName, std::string const& aEntry, std::uint64_t aValue)
{
  return "# TYPE " + aName + " gauge\n" + aName + "{entry=\"" + aEntry +
         "\"} " + std::to_string(aValue) + "\n";
}

} // namespace

void
LoadStatus::Record(TimePoint aNow, SharedLoads const& aLoads, NodeState& aState)
{
  auto oldest = aNow;
  for (auto const& [process, load] : aLoads.mByProcess) {
    oldest = std::min(oldest, load.mAsOf);
  }
  aState.mLoadReporters = aLoads.mReporters;
  aState.mLoadsAsOf = oldest;
  bool const hasReports = aLoads.mReporters > 0;
  if (hasReports == mHasReports || aNow < mNextLog) {
    return;
  }
  mHasReports = hasReports;
  mNextLog = aNow + kMinLogDistance;
  aState.mLog.Write(
    "member",
    hasReports ? "load_reports_gained" : "load_reports_lost",
    { { "reporters", static_cast<std::int64_t>(aLoads.mReporters) },
      { "upstreams", static_cast<std::int64_t>(aLoads.mByProcess.size()) },
      { "age_ms", static_cast<std::int64_t>(AgeOf(aNow, oldest).count()) } });
}

std::string
LoadMetrics(NodeState const& aState)
{
  auto const& name = aState.mSettings.mName;
  auto const reporters = aState.mLoadReporters.load();
  auto text = Gauge("tarragonsill_load_reporters", name, reporters);
  if (reporters > 0) {
    auto const age = AgeOf(Clock::now(), aState.mLoadsAsOf);
    text += Gauge("tarragonsill_load_report_age_milliseconds",
                  name,
                  static_cast<std::uint64_t>(age.count()));
  }
  return text;
}

} // namespace tarragonsill
