#ifndef TARRAGONSILL_PACKET_ENGINE_HPP_INCLUDED
#define TARRAGONSILL_PACKET_ENGINE_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_decision_record.hpp"
#include "tarragonsill/protocol/tarragonsill_geneve.hpp"
#include "tarragonsill/protocol/tarragonsill_packet.hpp"
#include "tarragonsill/state/tarragonsill_admission_lease.hpp"
#include "tarragonsill/state/tarragonsill_answer_cache.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_flow_ledger.hpp"
#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

/// Steering and flow admission on the packet path. The engine does no I/O: it
/// maps each packet to exactly one action. It is not thread-safe; each packet
/// worker owns one engine.
namespace tarragonsill {

enum class ActionKind : std::uint8_t
{
  Drop,
  ToFabric,
  ToPeer,
  Handled, ///< Processed here; nothing is sent.
};

/// What to do with a packet whose bytes have been rewritten in place.
struct PacketAction
{
  ActionKind mKind = ActionKind::Drop;
  Counter mCause = Counter::DropUnknownService; ///< For `Drop`.
  Endpoint mPeer{};                             ///< For `ToPeer`.
  Route mRoute{};                               ///< For `ToPeer`.
  /// A peer that also receives a copy, with `mCopyRoute`; port 0 for none.
  Endpoint mCopyPeer{};
  Route mCopyRoute{};
};

/// An exception to be stored at another home as well.
struct ExceptionTransfer
{
  std::string mPeer; ///< Name of the entry VM.
  Endpoint mService;
  std::uint64_t mFlow = 0;
  Endpoint mUpstream;
};

namespace Detail {

struct ExceptionEntry
{
  std::uint64_t mKey = 0;
  std::uint32_t mAddress = 0;
  std::uint16_t mPort = 0;
  CoarseTime mLastSeen;

  Endpoint Upstream() const { return { { mAddress }, mPort }; }
};
static_assert(sizeof(ExceptionEntry) == 16);

} // namespace Detail

class PacketEngine
{
public:
  struct Options
  {
    std::size_t mAnswerCacheCapacity = 65536;
  };

  PacketEngine(Options aOptions, Counters& aCounters);

  /// Installs a newer snapshot. Exceptions whose homes changed are queued for
  /// transfer to the new homes.
  void ApplySnapshot(std::shared_ptr<SteeringSnapshot const> aSnapshot);
  /// Installs the admission leases that this VM currently holds.
  void ApplyLeases(TimePoint aNow,
                   std::shared_ptr<AdmissionLeases const> aLeases);
  /// Stores an exception that another home sent, unless this home has a record
  /// of the flow itself.
  void StoreException(TimePoint aNow, ExceptionTransfer const& aException);

  /// Handles a packet from the fabric.
  PacketAction HandleFabric(TimePoint aNow, PacketView& aPacket);
  /// Handles a packet that a peer forwarded.
  PacketAction HandlePeer(TimePoint aNow,
                          Route const& aRoute,
                          PacketView& aPacket);
  /// Expires idle state; must be called about once a second.
  void Sweep(TimePoint aNow);

  std::vector<UpstreamOpenWork> OpenWork() const;
  std::vector<ExceptionTransfer> TakeTransfers();
  std::vector<DecisionRecord> TakeDecisions();
  std::size_t ExceptionCount() const;
  std::size_t MemoryBytes() const;

private:
  using ExceptionEntry = Detail::ExceptionEntry;
  using ExceptionTable = FlowTable<ExceptionEntry>;

  /// A packet from a caller and what was looked up for it.
  struct Flow
  {
    PacketView& mPacket;
    FlowKey mKey;
    std::uint64_t mHash = 0;
    std::size_t mService = 0;
    std::size_t mShare = 0;
    bool mIsNew = false;
  };

  std::optional<Flow> MakeFlow(PacketView& aPacket) const;
  /// The service, owner and zone of the upstream that sent an answer.
  struct AnswerOrigin
  {
    std::size_t mService = 0;
    std::optional<EntryIndex> mOwner;
    bool mIsZoneInService = true;
  };

  std::optional<AnswerOrigin> FindOrigin(Endpoint aUpstream) const;
  /// Records an answer in the ledger of its upstream. Returns whether the
  /// answer must be withheld from the caller.
  bool RecordAnswer(TimePoint aNow,
                    PacketView const& aPacket,
                    std::uint64_t aFlow,
                    bool aHasOwner);
  SnapshotBaseShare const& BaseShareOf(Flow const& aFlow) const;
  std::optional<std::size_t> SelfIndexInChain(
    SnapshotBaseShare const& aBase) const;

  PacketAction HandleAnswer(TimePoint aNow, PacketView& aPacket, bool aAtOwner);
  PacketAction HandleCallerPacket(TimePoint aNow, Flow& aFlow);
  PacketAction DecideAtHome(TimePoint aNow, Flow& aFlow, std::uint8_t aHops);
  PacketAction HandleLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute);
  PacketAction ForwardLookup(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction TryCandidates(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction FinishAdmission(TimePoint aNow,
                               Flow& aFlow,
                               Route aRoute,
                               std::size_t aUpstream,
                               bool aIsRetransmission);
  PacketAction HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction HandleExceptionCopy(TimePoint aNow,
                                   Route const& aRoute,
                                   PacketView& aPacket);
  /// Handles a packet of an established flow of which no reachable home has a
  /// record. `aSkippedHome` is set if the lookup skipped a failed home that
  /// may have one.
  PacketAction HandleUnknownFlow(TimePoint aNow,
                                 Flow& aFlow,
                                 bool aSkippedHome);
  /// Delivers a packet to the hash choice without recording the flow, and
  /// queries the absent home, if given, for the flow's upstream.
  PacketAction DeliverToHashChoice(Flow& aFlow,
                                   std::optional<EntryIndex> aAbsent);
  PacketAction HandleUpstreamQuery(Route const& aRoute, PacketView& aPacket);
  /// The upstream of a flow if this home has a record of it; a flow that was
  /// only inferred has none.
  std::optional<Endpoint> FindRecordedUpstream(Flow const& aFlow);
  /// Returns a failed home that may hold a record of the flow. Such homes are
  /// returned in round-robin order, since any of them may hold it.
  std::optional<EntryIndex> NextAbsentHome(TimePoint aNow, Flow const& aFlow);
  Route UpstreamQueryRoute(Flow const& aFlow) const;
  /// Refreshes a flow in the ledger of its upstream's owner and delivers the
  /// packet.
  PacketAction RefreshAtOwner(TimePoint aNow, Flow& aFlow, Route const& aRoute);
  PacketAction DeliverException(TimePoint aNow,
                                Flow& aFlow,
                                ExceptionEntry& aEntry,
                                std::uint8_t aHops);
  PacketAction Deliver(Flow& aFlow, Endpoint aUpstream);
  /// Delivers a packet and sends a copy to the second home, which is in another
  /// zone and records the exception from it.
  PacketAction DeliverWithCopy(Flow& aFlow, Endpoint aUpstream);
  PacketAction ToEntry(EntryIndex aEntry, Route aRoute);
  PacketAction Drop(Counter aCause);

  bool TryAdmit(TimePoint aNow,
                Flow const& aFlow,
                std::size_t aUpstream,
                bool& aIsRetransmission);
  void StoreRecord(TimePoint aNow, Flow const& aFlow, Endpoint aUpstream);
  FlowLedger* FindLedger(Endpoint aUpstream);
  AdmissionLease const* FindLease(Endpoint aUpstream) const;
  /// Whether an entry VM is in the same zone as this one.
  bool IsInOwnZone(EntryIndex aEntry) const;
  Endpoint OwnDataEndpoint() const;
  void LogDecision(DecisionKind aKind, Flow const& aFlow, Endpoint aUpstream);
  void QueueTransfers(SteeringSnapshot const& aOld,
                      SteeringSnapshot const& aNew,
                      std::size_t aService,
                      ExceptionTable& aTable);

  Options mOptions;
  Counters& mCounters;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  std::shared_ptr<AdmissionLeases const> mLeases;
  std::vector<ExceptionTable> mExceptions; ///< By service index.
  std::unordered_map<Endpoint, FlowLedger, EndpointHash> mLedgers;
  std::unordered_map<Endpoint, std::uint64_t, EndpointHash> mLeaseTerms;
  AnswerCache mAnswers;
  std::size_t mAbsentHomeCursor = 0; ///< Round-robin position.
  std::vector<ExceptionTransfer> mTransfers;
  std::vector<DecisionRecord> mDecisions;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PACKET_ENGINE_HPP_INCLUDED
