#ifndef TARRAGONSILL_LOAD_EXCHANGE_HPP_INCLUDED
#define TARRAGONSILL_LOAD_EXCHANGE_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_load_collector.hpp"
#include "tarragonsill/state/tarragonsill_shared_load.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// Decides which load reports a VM sends to whom, and what the reports of
/// others mean. VMs are identified by the hashes of their names.
///
/// The upstreams of a zone are divided into shards. A VM sends the loads of a
/// shard to the shard's collector, which answers with the sums over all VMs
/// that reported to it. Nobody has to agree on the collector: a VM whose
/// collector does not answer reports to the next one.
///
/// Reports guide the placement of new flows only. This module knows neither the
/// health of upstreams nor the readiness of VMs.
namespace tarragonsill {

class LoadExchange
{
public:
  static constexpr std::uint32_t kShards = 3;
  /// In a smaller zone each VM observes enough itself.
  static constexpr std::size_t kMinGroup = 3;
  /// The VMs of a larger zone form several groups that exchange reports among
  /// themselves, which bounds the load of a collector.
  static constexpr std::size_t kMaxGroup = 24;
  static constexpr milliseconds kMinPeriod{ 500 };
  /// If the byte rates below require a longer period, nothing is exchanged.
  static constexpr milliseconds kMaxPeriod{ 2000 };
  static constexpr double kMaxMeanBytesPerSecond = 3000.0;
  static constexpr double kMaxBytesPerSecond = 12000.0;
  /// The time constant with which answers lose weight.
  static constexpr seconds kAnswerMemory{ 4 };
  /// A collector that has not answered for this long is passed over.
  static constexpr milliseconds kMaxSilence{ 1200 };
  /// The time until it is tried again, which doubles each time.
  static constexpr seconds kMinTrialInterval{ 1 };
  static constexpr seconds kMaxTrialInterval{ 64 };
  /// Older loads are not used, unless the period is long. A collector merges
  /// reports of up to half this age.
  static constexpr milliseconds kMinMaxAge{ 4000 };

  /// A report to be sent to a collector.
  struct Outgoing
  {
    std::uint64_t mTo = 0;
    LoadReport mReport;
  };

  explicit LoadExchange(LoadReporter aSelf);

  /// Sets the VMs of the zone that serve, with this one.
  void SetServingVms(std::vector<std::uint64_t> aNames);
  /// Records what this VM has observed since the previous call, and returns the
  /// reports to send.
  std::vector<Outgoing> RecordObservations(
    TimePoint aNow,
    std::vector<UpstreamObservation> const& aObservations);
  /// Handles a report; returns the answer to send to its sender, if any.
  std::optional<LoadReport> Handle(TimePoint aNow,
                                   LoadReporter aFrom,
                                   LoadReport aReport);
  /// What the other VMs of the zone observe; empty unless all shards are known.
  SharedLoads Build(TimePoint aNow) const;
  /// Rises when `Build` may return something else.
  std::uint64_t Generation() const { return mGeneration; }
  /// The time between two reports; longer than `kMaxPeriod` if there are too
  /// many upstreams to exchange reports.
  milliseconds Period() const;

private:
  /// What this VM has observed of an upstream.
  struct OwnLoad
  {
    std::uint32_t mFlows = 0;
    std::uint32_t mInProgress = 0;
    double mAnswers = 0.0;
    double mLogs = 0.0; ///< The logarithms of their relative times.
  };
  /// The sums over the VMs that report to the same collector.
  struct MergedLoads
  {
    std::uint64_t mCollector = 0;
    LoadReportVersion mVersion;
    std::uint32_t mReporters = 0; ///< With this VM.
    TimePoint mAsOf{};
    std::vector<ReportedLoad> mLoads;
  };
  struct Shard
  {
    LoadCollector mReports; ///< Of the VMs whose collector this VM is.
    MergedLoads mMerged;
    std::uint64_t mCollector = 0;
    std::optional<TimePoint> mUnansweredSince;
  };
  /// A collector that did not answer.
  struct SilentCollector
  {
    void Postpone(TimePoint aNow);

    TimePoint mNextTrial{};
    seconds mInterval{ 0 };
  };

  void UpdateOwnLoads(TimePoint aNow,
                      std::vector<UpstreamObservation> const& aObservations);
  LoadReport OwnReport(std::uint32_t aShard);
  bool MayExchange() const;
  milliseconds MaxAge() const;
  /// Marks the collectors that have not answered for too long.
  void FindSilentCollectors(TimePoint aNow);
  /// Returns the collector of each shard, and adds trial reports to silent
  /// ones. Without silent ones, the collectors are different VMs.
  std::array<std::optional<std::uint64_t>, kShards> Collectors(
    TimePoint aNow,
    std::vector<Outgoing>& aOutgoing);
  void HandleAnswer(TimePoint aNow, LoadReporter aFrom, LoadReport aReport);
  /// Uses an answer. One that covers less than half as many VMs as the last
  /// does not replace it before that is too old: its collector has just taken
  /// over, or serves only the few VMs that cannot reach the usual one.
  void UseAnswer(TimePoint aNow, LoadReporter aCollector, LoadReport aAnswer);

  LoadReporter mSelf;
  std::size_t mZoneVms = 0;
  std::vector<std::uint64_t> mGroup; ///< With this VM; ordered.
  std::unordered_map<std::uint32_t, OwnLoad> mOwnLoads; ///< By process.
  TimePoint mObservedAt{};
  TimePoint mNextReport{};
  std::uint32_t mSequence = 0;
  std::array<Shard, kShards> mShards;
  std::unordered_map<std::uint64_t, SilentCollector> mSilentCollectors;
  std::uint64_t mGeneration = 1;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_LOAD_EXCHANGE_HPP_INCLUDED
