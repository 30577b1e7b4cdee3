#ifndef TARRAGONSILL_FLOW_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_FLOW_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_coarse_time.hpp"
#include "tarragonsill/state/tarragonsill_cold_start.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"

/// Counts the open flows of an upstream at its admission owner.
namespace tarragonsill {

/// The result of an admission request.
enum class Admission : std::uint8_t
{
  Admitted,
  AlreadyAdmitted, ///< A retransmitted opening packet of an admitted flow.
  Full,            ///< The connection limit or the lease's ceiling is reached.
  Cold,            ///< The limit of the upstream's ramp-up is reached.
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

/// What to do with an answer of an upstream.
enum class AnswerVerdict : std::uint8_t
{
  Pass,
  /// Do not deliver a reset for a flow that the upstream never answered: the
  /// upstream refused the opening packet or does not have the flow. The caller
  /// must not receive it, since the flow may be open at another upstream, which
  /// the next packet may reach.
  HoldBack,
};

/// Counts the open flows of one upstream exactly. Adopted flows, those that an
/// earlier owner admitted, are at first known only by their number. They are
/// identified one by one as their packets arrive.
class FlowLedger
{
public:
  explicit FlowLedger(Upstream const& aUpstream);

  /// Applies the limits of a newer configuration.
  void Configure(Upstream const& aUpstream);

  /// Admits a new flow if the limits and the lease's ceiling allow it.
  Admission Admit(TimePoint aNow, std::uint64_t aFlow, std::uint32_t aCeiling);

  /// Records a packet from the caller; false if the flow is not identified.
  bool RecordCallerPacket(TimePoint aNow,
                          std::uint64_t aFlow,
                          std::uint8_t aTcpFlags);
  /// Records an answer. A reset before the flow is established counts as a
  /// refusal by the upstream and restarts its ramp-up. Any answer but a reset
  /// proves that the upstream has the flow; a reset for a flow that is not
  /// identified proves nothing.
  AnswerVerdict RecordAnswer(TimePoint aNow,
                             std::uint64_t aFlow,
                             std::uint8_t aTcpFlags);

  /// Starts a new term after an owner that had admitted `aTotal` flows; 0 if
  /// this ledger also counted the previous term.
  void Adopt(TimePoint aNow, std::uint32_t aTotal);
  /// Identifies an adopted flow on the evidence of a record or an answer; false
  /// if no adopted flow is left unidentified.
  bool ClaimAdoptedFlow(TimePoint aNow, std::uint64_t aFlow);
  /// Identifies an adopted flow by inference: none of its homes has a record
  /// of it elsewhere.
  bool InferAdoptedFlow(TimePoint aNow, std::uint64_t aFlow);
  /// Reverts an inference after a record placed the flow at another upstream.
  void WithdrawInferredFlow(std::uint64_t aFlow);
  /// Whether no adopted flow is left unidentified.
  bool IsEveryFlowIdentified() const { return mUnidentified == 0; }
  bool Contains(std::uint64_t aFlow) { return mFlows.Find(aFlow) != nullptr; }
  /// Whether the flow was identified by its admission, a record or an answer.
  /// A flow that was only inferred is not: any record takes precedence.
  bool IsConfirmed(std::uint64_t aFlow);

  /// Removes flows that ended or exceeded the idle timeout.
  void Sweep(TimePoint aNow, Duration aIdleTimeout);

  /// The number of open flows, including adopted ones.
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
    AdmittedSinceCold = 8, ///< Counted by `mColdStart`.
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
