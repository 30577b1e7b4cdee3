#ifndef TARRAGONSILL_COUNTERS_HPP_INCLUDED
#define TARRAGONSILL_COUNTERS_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Counters of an entry VM, shown by `status` and on the metrics page.
namespace tarragonsill {

/// Every counter; `CounterName` returns the name of its metric.
enum class Counter : std::uint8_t
{
  PacketsReceived,
  PacketsToUpstream,
  PacketsToCaller,
  PacketsToPeer,
  DropOuterTruncated,
  DropOuterVersion,
  DropOuterProtocol,
  DropOuterCriticalOption,
  DropTruncated,
  DropVersion,
  DropIpOptions,
  DropFragment,
  DropProtocol,
  DropForeignSender,
  DropUnknownService,
  DropNoHome,
  DropHopLimit,
  DropUnknownFlow,
  DropNoCapacity,
  DropZoneOut,
  DropNoConfiguration,
  DropSendFailed,
  DropStale,
  FlowsAdmitted,
  FlowsDeviated,
  FlowsRefusedFull,
  FlowsRefusedCold,
  FlowsRefusedNoLease,
  FlowsClaimed,
  FlowsInferred,
  FlowsGuessed,
  AbsentHomesAsked,
  ResetsHeldBack,
  ExceptionsRecorded,
  AnswersLearned,
  CacheHits,
  DecisionLogOverflow,
  ControlMessagesSent,
  ControlMessagesReceived,
  ControlBytesSent,
  ControlBytesReceived,
  ControlMessagesRejected,
  LeaseAsks,
  LeaseGrants,
  LeaseTakeovers,
  MembersSuspected,
  MembersFailed,
  CallsReceived,
  CallsAnswered,
  CallsNotRun,
  CallsUnknown,
  CallsRetried,
  CallsShed,
  CallsLateAnswers,
  PlatformCalls,
  PlatformFailures,
  PlatformCallsOverBudget,
  ConfigurationsApplied,
  ConfigurationsRefused,
  OpeningCopies,
  ResetsRemovedRoute,
  FlowsSecondChoice,
  ResetsSilentUpstream,
  StoreCalls,
  StoreFailures,
  StoreEvents,
  LogLinesDropped,
  ReachChecks,
  UpstreamsOutOfReach,
  StoreConfirmations,
  LoadReportsSent,
  LoadReportsReceived,
  PlacementsByDelay,
  OpeningsRejected,
  OpeningsHedged,
  HedgesAnsweredFirst,
  LateAnswersCorrected,
  Count,
};

/// The name of the counter's metric.
std::string_view CounterName(Counter aCounter);

/// Monotonic counters that any thread may increment.
class Counters
{
public:
  void Add(Counter aCounter, std::uint64_t aAmount = 1)
  {
    mValues[static_cast<std::size_t>(aCounter)].fetch_add(
      aAmount, std::memory_order_relaxed);
  }
  std::uint64_t Value(Counter aCounter) const
  {
    return mValues[static_cast<std::size_t>(aCounter)].load(
      std::memory_order_relaxed);
  }
  /// Formats all counters as Prometheus text exposition.
  std::string ToExposition(std::string_view aEntry) const;

private:
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::Count)>
    mValues{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COUNTERS_HPP_INCLUDED
