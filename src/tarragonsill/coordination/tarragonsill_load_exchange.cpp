#include "tarragonsill/coordination/tarragonsill_load_exchange.hpp"

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonsill {

namespace {

/// The usual sizes of a message without upstreams, and of each upstream in it.
constexpr double kHeaderBytes = 110.0;
constexpr double kItemBytes = 9.0;
/// Observations arrive at about this distance from the time that they are due.
constexpr milliseconds kDueTolerance{ 100 };
/// Fewer answers are forgotten.
constexpr double kMinAnswers = 0.05;
std::uint32_t
ShardOf(std::uint32_t aProcess)
{
  return aProcess % LoadExchange::kShards;
}

double
Decay(Duration aTime, Duration aMemory)
{
  using FloatSeconds = std::chrono::duration<double>;
  return std::exp(-FloatSeconds(aTime) / FloatSeconds(aMemory));
}

/// The VMs of a zone with which a VM exchanges reports.
std::vector<std::uint64_t>
GroupOf(std::uint64_t aSelf, std::vector<std::uint64_t> aServing)
{
  // A power of two, so that a zone that grows splits its groups.
  std::size_t groups = 1;
  while (aServing.size() > groups * LoadExchange::kMaxGroup) {
    groups *= 2;
  }
  auto const group = Scramble(aSelf) % groups;
  std::erase_if(aServing, [&](std::uint64_t aName) {
    return Scramble(aName) % groups != group;
  });
  std::sort(aServing.begin(), aServing.end());
  return aServing;
}

/// Returns the first VM for a shard by rendezvous hashing.
std::optional<std::uint64_t>
FirstOf(std::vector<std::uint64_t> const& aNames, std::uint32_t aShard)
{
  auto const first = std::max_element(
    aNames.begin(), aNames.end(), [&](auto aLeft, auto aRight) {
      return MixHash(aLeft, aShard) < MixHash(aRight, aShard);
    });
  return first != aNames.end() ? std::optional(*first) : std::nullopt;
}

} // namespace

LoadExchange::LoadExchange(LoadReporter aSelf)
  : mSelf(aSelf)
{
}

void
LoadExchange::SetServingVms(std::vector<std::uint64_t> aNames)
{
  mZoneVms = aNames.size();
  mGroup = GroupOf(mSelf.mName, std::move(aNames));
  std::erase_if(mSilentCollectors, [&](auto const& aSilent) {
    return !std::binary_search(mGroup.begin(), mGroup.end(), aSilent.first);
  });
  ++mGeneration;
}

milliseconds
LoadExchange::Period() const
{
  std::size_t merged = 0;
  for (auto const& shard : mShards) {
    merged += shard.mMerged.mLoads.size();
  }
  auto const upstreams =
    static_cast<double>(std::max(merged, mOwnLoads.size()));
  auto const reportBytes = kShards * kHeaderBytes + upstreams * kItemBytes;
  auto const answerBytes = kHeaderBytes + upstreams / kShards * kItemBytes;
  auto const collectorBytes =
    reportBytes + static_cast<double>(mGroup.size()) * answerBytes;
  // Reports and answers are equally large in the mean.
  std::chrono::duration<double> const required(
    std::max(2.0 * reportBytes / kMaxMeanBytesPerSecond,
             collectorBytes / kMaxBytesPerSecond));
  return std::max(kMinPeriod,
                  std::chrono::duration_cast<milliseconds>(required));
}

milliseconds
LoadExchange::MaxAge() const
{
  return std::max(kMinMaxAge, 3 * Period());
}

bool
LoadExchange::MayExchange() const
{
  return mGroup.size() >= kMinGroup && Period() <= kMaxPeriod &&
         std::binary_search(mGroup.begin(), mGroup.end(), mSelf.mName);
}

std::vector<LoadExchange::Outgoing>
LoadExchange::RecordObservations(
  TimePoint aNow,
  std::vector<UpstreamObservation> const& aObservations)
{
  std::vector<Outgoing> outgoing;
  UpdateOwnLoads(aNow, aObservations);
  if (!MayExchange() || aNow < mNextReport) {
    return outgoing;
  }
  mNextReport = aNow + Period() - kDueTolerance;
  FindSilentCollectors(aNow);
  auto const collectors = Collectors(aNow, outgoing);
  for (std::uint32_t index = 0; index < kShards; ++index) {
    auto const collector = collectors[index];
    if (!collector) {
      continue;
    }
    auto& shard = mShards[index];
    if (std::exchange(shard.mCollector, *collector) != *collector) {
      shard.mUnansweredSince.reset();
    }
    auto report = OwnReport(index);
    if (*collector != mSelf.mName) {
      shard.mUnansweredSince = shard.mUnansweredSince.value_or(aNow);
      outgoing.push_back({ *collector, std::move(report) });
      continue;
    }
    auto const sequence = report.mSequence;
    (void)shard.mReports.Add(aNow, mSelf, std::move(report));
    auto answer = shard.mReports.Merge(aNow, MaxAge() / 2, mSelf.mName);
    answer.mShard = index;
    answer.mSequence = sequence;
    UseAnswer(aNow, mSelf, std::move(answer));
  }
  return outgoing;
}

void
LoadExchange::UpdateOwnLoads(
  TimePoint aNow,
  std::vector<UpstreamObservation> const& aObservations)
{
  auto const decay = Decay(aNow - mObservedAt, kAnswerMemory);
  mObservedAt = aNow;
  for (auto& [process, load] : mOwnLoads) {
    load = { 0, 0, load.mAnswers * decay, load.mLogs * decay };
  }
  for (auto const& observation : aObservations) {
    auto& load = mOwnLoads[observation.mProcess];
    load.mFlows = observation.mFlows;
    load.mInProgress = observation.mInProgress;
    load.mAnswers += observation.mAnswers;
    load.mLogs += observation.mAnswers * std::log(observation.mRelativeTime);
  }
  std::erase_if(mOwnLoads, [](auto const& aItem) {
    auto const& load = aItem.second;
    return load.mFlows == 0 && load.mInProgress == 0 &&
           load.mAnswers < kMinAnswers;
  });
}

LoadReport
LoadExchange::OwnReport(std::uint32_t aShard)
{
  LoadReport report;
  report.mShard = aShard;
  report.mSequence = ++mSequence;
  for (auto const& [process, load] : mOwnLoads) {
    if (ShardOf(process) != aShard) {
      continue;
    }
    auto const time =
      load.mAnswers > 0.0 ? std::exp(load.mLogs / load.mAnswers) : 1.0;
    report.mLoads.push_back({ process,
                              static_cast<double>(load.mFlows),
                              static_cast<double>(load.mInProgress),
                              load.mAnswers,
                              time });
  }
  return report;
}

void
LoadExchange::SilentCollector::Postpone(TimePoint aNow)
{
  mInterval = std::clamp(2 * mInterval, kMinTrialInterval, kMaxTrialInterval);
  mNextTrial = aNow + mInterval;
}

void
LoadExchange::FindSilentCollectors(TimePoint aNow)
{
  auto const maxSilence = std::max(kMaxSilence, 3 * Period());
  for (auto& shard : mShards) {
    if (!shard.mUnansweredSince ||
        aNow < *shard.mUnansweredSince + maxSilence) {
      continue;
    }
    shard.mUnansweredSince.reset();
    mSilentCollectors.try_emplace(shard.mCollector);
  }
}

std::array<std::optional<std::uint64_t>, LoadExchange::kShards>
LoadExchange::Collectors(TimePoint aNow, std::vector<Outgoing>& aOutgoing)
{
  std::array<std::optional<std::uint64_t>, kShards> collectors;
  // The first choices do not depend on silent ones, so that all VMs agree.
  auto free = mGroup;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    collectors[shard] = FirstOf(free, shard);
    std::erase(free, collectors[shard].value_or(0));
  }
  std::erase_if(free, [&](std::uint64_t aName) {
    auto const silent = mSilentCollectors.find(aName);
    return silent != mSilentCollectors.end() &&
           aNow < silent->second.mNextTrial;
  });
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    auto const first = collectors[shard];
    auto const silent = mSilentCollectors.find(first.value_or(0));
    if (!first || silent == mSilentCollectors.end()) {
      continue;
    }
    collectors[shard] = FirstOf(free, shard);
    if (aNow >= silent->second.mNextTrial) {
      silent->second.Postpone(aNow);
      aOutgoing.push_back({ *first, OwnReport(shard) });
    }
  }
  return collectors;
}

std::optional<LoadReport>
LoadExchange::Handle(TimePoint aNow, LoadReporter aFrom, LoadReport aReport)
{
  if (aReport.mShard >= kShards || aFrom.mName == mSelf.mName) {
    return std::nullopt;
  }
  if (aReport.IsMerged()) {
    HandleAnswer(aNow, aFrom, std::move(aReport));
    return std::nullopt;
  }
  auto const index = aReport.mShard;
  auto& reports = mShards[index].mReports;
  if (!MayExchange() || !reports.Add(aNow, aFrom, std::move(aReport))) {
    return std::nullopt;
  }
  auto answer = reports.Merge(aNow, MaxAge() / 2, aFrom.mName);
  answer.mShard = index;
  answer.mSequence = ++mSequence;
  return answer;
}

void
LoadExchange::HandleAnswer(TimePoint aNow,
                           LoadReporter aFrom,
                           LoadReport aReport)
{
  auto& shard = mShards[aReport.mShard];
  // One that was passed over, and answers late or to a trial, is used again.
  mSilentCollectors.erase(aFrom.mName);
  if (aFrom.mName == shard.mCollector) {
    shard.mUnansweredSince.reset();
  }
  UseAnswer(aNow, aFrom, std::move(aReport));
}

void
LoadExchange::UseAnswer(TimePoint aNow,
                        LoadReporter aCollector,
                        LoadReport aAnswer)
{
  auto& held = mShards[aAnswer.mShard].mMerged;
  LoadReportVersion const version{ aCollector.mIncarnation, aAnswer.mSequence };
  if (aCollector.mName == held.mCollector && version <= held.mVersion) {
    return;
  }
  bool const isUsable = aNow <= held.mAsOf + MaxAge();
  if (isUsable && 2 * aAnswer.mReporters < held.mReporters) {
    return;
  }
  held = { aCollector.mName,
           version,
           aAnswer.mReporters,
           aNow - aAnswer.mAge,
           std::move(aAnswer.mLoads) };
  ++mGeneration;
}

SharedLoads
LoadExchange::Build(TimePoint aNow) const
{
  SharedLoads loads;
  if (!MayExchange()) {
    return loads;
  }
  auto reporters = static_cast<std::uint32_t>(mGroup.size());
  for (auto const& shard : mShards) {
    auto const& merged = shard.mMerged;
    // Without its reports, the upstreams of a shard would appear to be idle.
    if (merged.mReporters <= 1 || aNow > merged.mAsOf + MaxAge()) {
      return {};
    }
    reporters = std::min(reporters, merged.mReporters - 1);
  }
  loads.mReporters = reporters;
  // The VMs of the group stand for all others of the zone.
  auto const scale =
    static_cast<double>(mZoneVms - 1) / static_cast<double>(mGroup.size() - 1);
  for (auto const& shard : mShards) {
    for (auto const& load : shard.mMerged.mLoads) {
      loads.mByProcess[load.mProcess] = { load.mFlows * scale,
                                          load.mInProgress * scale,
                                          load.mAnswers,
                                          load.mRelativeTime,
                                          shard.mMerged.mAsOf };
    }
  }
  return loads;
}

} // namespace tarragonsill
