#ifndef TARRAGONSILL_COUNTERS_HPP_INCLUDED
#define TARRAGONSILL_COUNTERS_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// The project's own counters, shown by `status` and the metrics page.
namespace tarragonsill {

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
  Count,
};

/// The name of a counter in the text exposition format.
std::string_view CounterName(Counter aCounter);

/// A set of monotonic counters that any thread may raise.
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
  /// All counters in the text exposition format, one line each.
  std::string ToExposition(std::string_view aEntry) const;

private:
  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::Count)>
    mValues{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COUNTERS_HPP_INCLUDED
