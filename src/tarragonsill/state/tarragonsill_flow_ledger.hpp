#ifndef TARRAGONSILL_FLOW_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_FLOW_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_coarse_time.hpp"
#include "tarragonsill/state/tarragonsill_cold_start.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"

/// The admission owner's account of the flows of one upstream.
namespace tarragonsill {

enum class Admission : std::uint8_t
{
  Admitted,
  AlreadyAdmitted, ///< A repeated first packet of an admitted flow.
  Full,            ///< The connection limit or the lease's ceiling is reached.
  Cold,            ///< The upstream is warming up and bears no more as yet.
};

namespace Detail {

struct LedgerEntry
{
  std::uint64_t mKey = 0;
  CoarseTime mSeen;
  std::uint8_t mStateFlags = 0;
};
static_assert(sizeof(LedgerEntry) == 16);

} // namespace Detail

/// What an answer means for the caller.
enum class AnswerVerdict : std::uint8_t
{
  Pass,
  /// A reset for a flow that the upstream never answered: it refused the first
  /// packet, or it never saw the flow. The caller must not see it, since its
  /// next packet may reach the upstream that has the flow.
  HoldBack,
};

/// Counts the flows of one upstream exactly. Flows that an earlier owner
/// admitted are first held as a number only ("unknown") and become known as
/// their packets pass.
class FlowLedger
{
public:
  explicit FlowLedger(Upstream const& aUpstream);

  /// Takes over limits from a newer configuration.
  void Configure(Upstream const& aUpstream);

  /// Admits a new flow if the limits and the ceiling leave room.
  Admission Admit(TimePoint aNow, std::uint64_t aFlow, std::uint32_t aCeiling);

  /// Notes a packet of a flow from its caller; false if the flow is not known.
  bool RecordCallerPacket(TimePoint aNow,
                          std::uint64_t aFlow,
                          std::uint8_t aTcpFlags);
  /// Notes an answer; a reset before the flow was established counts as a
  /// refusal by the upstream. Any other answer proves that the upstream has the
  /// flow; a reset of a flow that is not known here proves nothing.
  AnswerVerdict RecordAnswer(TimePoint aNow,
                             std::uint64_t aFlow,
                             std::uint8_t aTcpFlags);

  /// Begins a new term, after an earlier owner that had admitted `aTotal`
  /// flows; 0 if the ledger itself was the last to count.
  void Adopt(TimePoint aNow, std::uint32_t aTotal);
  /// Treats a flow as one that an earlier owner admitted, as a record or an
  /// answer says so; false if there are no such flows left to account for.
  bool ClaimAdoptedFlow(TimePoint aNow, std::uint64_t aFlow);
  /// The same, as no home that could have a record of the flow has one.
  bool InferAdoptedFlow(TimePoint aNow, std::uint64_t aFlow);
  /// Gives an inferred flow up, as a record says that it is elsewhere.
  void WithdrawInferredFlow(std::uint64_t aFlow);
  /// Says whether every open flow of the upstream is known here.
  bool IsEveryFlowIdentified() const { return mUnidentified == 0; }
  bool Contains(std::uint64_t aFlow) { return mFlows.Find(aFlow) != nullptr; }
  /// Whether the flow is known from its admission, a record or an answer; what
  /// was only inferred gives way to any record.
  bool IsConfirmed(std::uint64_t aFlow);

  /// Drops flows that ended or fell idle.
  void Sweep(TimePoint aNow, Duration aIdleTimeout);

  /// Open flows, with those of earlier owners.
  std::uint32_t Used() const
  {
    return static_cast<std::uint32_t>(mFlows.Size()) + mUnidentified;
  }
  bool IsCold() const { return mColdStart.IsCold(); }
  std::size_t MemoryBytes() const { return mFlows.MemoryBytes(); }

private:
  enum StateFlag : std::uint8_t
  {
    Established = 1,
    CallerEnded = 2,
    UpstreamEnded = 4,
    AdmittedSinceCold = 8,
    Inferred = 16,
  };
  using Entry = Detail::LedgerEntry;

  static void MarkEnd(Entry& aEntry, std::uint8_t aTcpFlags, StateFlag aSide);

  WorkLimit mLimit;
  ColdStart mColdStart;
  FlowTable<Entry> mFlows;
  std::uint32_t mUnidentified = 0;
  TimePoint mAdoptedAt{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FLOW_LEDGER_HPP_INCLUDED
