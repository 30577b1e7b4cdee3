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

/// Steering and flow admission on the packet path. Sans I/O: each packet gives
/// exactly one action. Not thread-safe; one packet worker owns an engine.
namespace tarragonsill {

enum class ActionKind : std::uint8_t
{
  Drop,
  ToFabric,
  ToPeer,
  Handled, ///< Its purpose is fulfilled.
};

/// What to do with a packet. The packet's bytes are rewritten in place.
struct PacketAction
{
  ActionKind mKind = ActionKind::Drop;
  Counter mCause = Counter::DropUnknownService; ///< For `Drop`.
  Endpoint mPeer{};                             ///< For `ToPeer`.
  Route mRoute{};                               ///< For `ToPeer`.
  /// Where a copy goes as well, with `mCopyRoute`; port 0 for nowhere.
  Endpoint mCopyPeer{};
  Route mCopyRoute{};
};

/// An exception that another home should hold too.
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
  CoarseTime mSeen;

  Endpoint Upstream() const { return { { mAddress }, mPort }; }
};
static_assert(sizeof(ExceptionEntry) == 16);

} // namespace Detail

class PacketEngine
{
public:
  struct Options
  {
    std::size_t mAnswerCachePlaces = 65536;
  };

  PacketEngine(Options aOptions, Counters& aCounters);

  /// Takes a newer view into use. Exceptions whose homes changed are queued
  /// for transfer to the new homes.
  void ApplySnapshot(std::shared_ptr<SteeringSnapshot const> aSnapshot);
  /// Takes the rights held at present into use.
  void ApplyLeases(TimePoint aNow,
                   std::shared_ptr<AdmissionLeases const> aLeases);
  /// Stores an exception that another home sent.
  void StoreException(TimePoint aNow, ExceptionTransfer const& aException);

  /// Decides on a packet from the fabric.
  PacketAction HandleFabric(TimePoint aNow, PacketView& aPacket);
  /// Decides on a packet that a peer passed on.
  PacketAction HandlePeer(TimePoint aNow,
                          Route const& aRoute,
                          PacketView& aPacket);
  /// Expires idle state; to be called about once a second.
  void Sweep(TimePoint aNow);

  std::vector<UpstreamOpenWork> OpenWork() const;
  std::vector<ExceptionTransfer> TakeTransfers();
  std::vector<DecisionRecord> TakeDecisions();
  std::size_t ExceptionCount() const;
  std::size_t MemoryBytes() const;

private:
  using ExceptionEntry = Detail::ExceptionEntry;
  using ExceptionTable = FlowTable<ExceptionEntry>;

  /// A packet from a caller with everything that was looked up for it.
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
  /// Where an answer comes from.
  struct AnswerOrigin
  {
    std::size_t mService = 0;
    std::optional<EntryIndex> mOwner;
    bool mZoneIn = true;
  };

  std::optional<AnswerOrigin> FindOrigin(Endpoint aUpstream) const;
  /// Lets the ledger note an answer; says whether the caller must not see it.
  bool HoldsBack(TimePoint aNow,
                 PacketView const& aPacket,
                 std::uint64_t aFlow,
                 bool aHasOwner);
  SnapshotBaseShare const& BaseOf(Flow const& aFlow) const;
  std::optional<std::size_t> PositionInChain(
    SnapshotBaseShare const& aBase) const;

  PacketAction HandleAnswer(TimePoint aNow, PacketView& aPacket, bool aAtOwner);
  PacketAction HandleCaller(TimePoint aNow, Flow& aFlow);
  PacketAction DecideAtHome(TimePoint aNow, Flow& aFlow, std::uint8_t aHops);
  PacketAction ResumeLookup(TimePoint aNow, Flow& aFlow, Route const& aRoute);
  PacketAction PassLookup(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction AdmitFrom(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction FinishAdmission(TimePoint aNow,
                               Flow& aFlow,
                               Route aRoute,
                               std::size_t aUpstream,
                               bool aRepeated);
  PacketAction HandleRecord(TimePoint aNow, Flow& aFlow, Route aRoute);
  PacketAction HandleCopy(TimePoint aNow,
                          Route const& aRoute,
                          PacketView& aPacket);
  /// Handles a packet of an established flow that no home in sight knows. With
  /// a gap, some that may know it were not asked.
  PacketAction HandleUnknown(TimePoint aNow, Flow& aFlow, bool aHasGap);
  /// Sends a packet to the pure choice without noting that anywhere, and asks
  /// an absent home where the flow is.
  PacketAction DeliverGuess(Flow& aFlow, std::optional<EntryIndex> aAbsent);
  PacketAction HandleAsk(Route const& aRoute, PacketView& aPacket);
  /// What this home knows of a flow without having guessed it.
  std::optional<Endpoint> KnownUpstream(Flow const& aFlow);
  /// One of the homes that may hold records of the flow but do not answer; in
  /// turn, as any of them may.
  std::optional<EntryIndex> AbsentHome(TimePoint aNow, Flow const& aFlow);
  Route AskRoute(Flow const& aFlow) const;
  PacketAction HandleTouch(TimePoint aNow, Flow& aFlow, Route const& aRoute);
  PacketAction DeliverException(TimePoint aNow,
                                Flow& aFlow,
                                ExceptionEntry& aEntry,
                                std::uint8_t aHops);
  PacketAction Deliver(Flow& aFlow, Endpoint aUpstream);
  /// Delivers and lets a home in another zone know of the exception.
  PacketAction DeliverWithCopy(Flow& aFlow, Endpoint aUpstream);
  PacketAction ToEntry(EntryIndex aEntry, Route aRoute);
  PacketAction Drop(Counter aCause);

  bool TryAdmit(TimePoint aNow,
                Flow const& aFlow,
                std::size_t aUpstream,
                bool& aRepeated);
  void StoreRecord(TimePoint aNow, Flow const& aFlow, Endpoint aUpstream);
  FlowLedger* LedgerOf(Endpoint aUpstream);
  AdmissionLease const* LeaseOf(Endpoint aUpstream) const;
  /// Says whether an entry VM is in this one's zone.
  bool IsNeighbour(EntryIndex aEntry) const;
  Endpoint SelfData() const;
  void Note(DecisionKind aKind, Flow const& aFlow, Endpoint aUpstream);
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
  std::unordered_map<Endpoint, std::uint64_t, EndpointHash> mTerms;
  AnswerCache mAnswers;
  std::size_t mAbsentAsked = 0; ///< Lets absent homes take turns.
  std::vector<ExceptionTransfer> mTransfers;
  std::vector<DecisionRecord> mDecisions;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PACKET_ENGINE_HPP_INCLUDED
