#ifndef TARRAGONSILL_NODE_PEERS_HPP_INCLUDED
#define TARRAGONSILL_NODE_PEERS_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_knowledge_sync.hpp"
#include "tarragonsill/coordination/tarragonsill_load_exchange.hpp"
#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/coordination/tarragonsill_outbound_reach.hpp"
#include "tarragonsill/coordination/tarragonsill_store_freshness.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/coordination/tarragonsill_zone_reach.hpp"
#include "tarragonsill/state/tarragonsill_held_opening.hpp"
#include "tarragonsill/state/tarragonsill_token_bucket.hpp"
#include "tarragonsill/state/tarragonsill_upstream_restart.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// The other entry VMs of a deployment that has no list of them. They are found
/// through seeds, tracked by gossip, and queried for state of the store.
namespace tarragonsill {

class NodePeers
{
public:
  NodePeers(Member aSelf,
            std::vector<Endpoint> aSeeds,
            std::uint64_t aSeed,
            Counters& aCounters,
            Mechanisms aMechanisms = {});

  /// Sets how long watches stay fresh and how long they wait.
  void SetWatchTimes(WatchTimes const& aTimes) { mRelay.SetTimes(aTimes); }
  WatchTimes const& Times() const { return mRelay.Times(); }
  /// Sets whether the whole deployment starts for the first time.
  void SetFirstStart(bool aIsFirst) { mIsFirstStart = aIsFirst; }

  /// Advances timers; must be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  /// Handles a message that was queued here for `aMaxAge` at most.
  void Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox,
              Duration aMaxAge = {});
  /// Fills in the fields that every message has; must be called before messages
  /// are sent.
  void FillCommonFields(TimePoint aNow, Outbox& aOutbox);

  /// Sets the last changes to announce to peers and the positions up to which
  /// state is known without a gap.
  void SetDigest(KnowledgeDigest const& aLastChanges,
                 KnowledgeDigest const& aGapless)
  {
    mDigest = aLastChanges;
    mGaplessDigest = aGapless;
  }
  void SetStage(MemberStage aStage) { mMembership.SetSelfStage(aStage); }
  /// Returns the peer to query for newer state now, if any.
  std::optional<Member> NextPeerToQuery(TimePoint aNow, bool aIsComplete);
  /// Sets whether this VM knows of all recent returns of zones. If not, it
  /// queries peers although they have no newer state.
  void SetKnowsReturns(bool aKnowsReturns);
  /// Returns the name hashes of the VMs of the zone that admit flows, including
  /// this VM. Empty until this VM has had time to find the others.
  std::vector<std::uint64_t> AdmittingVms(TimePoint aNow) const;
  /// Determines the watch role of this VM.
  WatchRole Role(TimePoint aNow);
  /// Whether any peer has reported fresh watches.
  bool HasFreshPeerWatch(TimePoint aNow) const
  {
    return mRelay.HasFreshPeerWatch(aNow);
  }
  /// Sets when the store last answered all watches of this VM; unset if this
  /// VM does not watch.
  void SetLastWatchAnswer(std::optional<TimePoint> aAt)
  {
    mLastWatchAnswer = aAt;
  }
  /// Sets the store position up to which no change is missing.
  void SetCompleteTo(StorePosition aUpTo) { mCompleteTo = aUpTo; }
  /// Records a position that a call of this VM confirmed.
  void RecordConfirmed(ConfirmedPosition const& aConfirmed)
  {
    mFreshness.RecordAnswer(aConfirmed);
  }
  /// Forgets them after a time that the steady clock did not count, as their
  /// ages are unknown then.
  void ForgetConfirmed();
  /// The positions that calls of this VM and of its peers confirmed.
  StoreFreshness const& Freshness() const { return mFreshness; }
  /// Sets the highest observed era of the store. Watches of peers that have
  /// observed only an older era are not relied on.
  void SetEra(std::uint64_t aEra) { mEra = aEra; }
  /// Lets the next tick report this VM's watches to the VMs that rely on them.
  void ReportNow() { mNextReport = {}; }
  /// Relays an update from this VM's own watches to the VMs that rely on them.
  void RelayUpdate(StoreUpdate const& aUpdate, Outbox& aOutbox);
  /// Reports upstreams whose process may have ended, and which are new to this
  /// VM, to the VMs that tell others or need to know.
  void ReportRestart(UpstreamRestart const& aRestart,
                     std::string const& aZone,
                     Outbox& aOutbox);
  /// Tells the other VMs of the zone where flows are open whose opening packet
  /// several upstreams may answer. What exceeds the budget is left out.
  void ReportHeldOpenings(TimePoint aNow,
                          HeldOpenings const& aOpenings,
                          Outbox& aOutbox);
  /// Whether this VM may leave: with fewer than half of the zone's VMs ready,
  /// routers also use VMs that are down.
  bool MayLeave() const;
  /// Whether the zone is cut off: VMs of other zones are known, but no message
  /// arrives from any of them.
  bool IsZoneCutOff(TimePoint aNow) const;
  /// Sets what this VM has observed of its own zone's upstreams.
  void SetZoneReach(ZoneReach aReach) { mZoneReach.SetOwn(aReach); }
  /// Whether no upstream of the own zone answers, as observed by this VM or, if
  /// it has observed nothing, by other VMs of the zone.
  bool IsZoneSilent(TimePoint aNow) const { return mZoneReach.IsSilent(aNow); }
  /// Records what this VM has observed of its own zone's upstreams since the
  /// previous call, and adds the load reports that are due.
  void RecordObservations(TimePoint aNow,
                          std::vector<UpstreamObservation> const& aObservations,
                          Outbox& aOutbox);
  /// Returns what the other VMs of the zone observe, if it may have changed
  /// since the previous call.
  SharedLoadsPointer TakeSharedLoads(TimePoint aNow);
  /// Sets whether other zones answer this VM.
  void SetOutboundReach(TimePoint aNow, ZoneReach aReach)
  {
    mOutboundReach.SetOwn(aNow, mMembership.Self().mName, aReach);
  }
  /// Whether nothing gets out of the zone, though other zones serve.
  bool IsOutboundLost(TimePoint aNow) const
  {
    return mOutboundReach.IsLost(aNow);
  }
  std::uint64_t SelfHash() const { return mMembership.Self().NameHash(); }
  Membership const& Members() const { return mMembership; }

private:
  void RequestMembers(TimePoint aNow, Outbox& aOutbox);
  void HandleWatchReport(TimePoint aNow,
                         TimePoint aSentAt,
                         wire::PeerMessage const& aMessage,
                         bool aIsOwnZone);
  void AnswerJoinRequest(Member const& aFrom,
                         std::uint32_t aOffset,
                         Outbox& aOutbox) const;
  bool HasServingPeer() const;
  /// Returns the peer to query for returns of zones now, if any.
  std::optional<Member> NextPeerWithReturns(TimePoint aNow);
  std::vector<Member> ZoneMembers() const;
  void ReportWatches(TimePoint aNow, Outbox& aOutbox);
  void UpdateServingVms();
  void HandleLoadReport(TimePoint aNow,
                        Member const& aFrom,
                        wire::LoadReport const& aMessage,
                        Outbox& aOutbox);
  void AddLoadReport(Endpoint aTo, LoadReport const& aReport, Outbox& aOutbox);

  Membership mMembership;
  std::vector<Endpoint> mSeeds;
  StoreFreshness mFreshness;
  KnowledgeSync mSync;
  WatchRelay mRelay;
  ZoneReachReports mZoneReach;
  OutboundReachReports mOutboundReach;
  WatchRole mRole = WatchRole::ReliesOnPeers;
  bool mIsFirstStart = false;
  std::optional<TimePoint> mLastWatchAnswer;
  StorePosition mCompleteTo;
  std::uint64_t mEra = 0;
  TimePoint mNextReport{};
  KnowledgeDigest mDigest;
  KnowledgeDigest mGaplessDigest;
  /// The updates of one kind that this VM's watch has read without a gap.
  struct RelayChain
  {
    StorePosition mRelayedTo; ///< All changes up to this one were relayed.
    StorePosition mWatchedTo; ///< No other change exists up to this one.
  };
  std::map<ObjectKind, RelayChain> mRelayChains;
  Counters& mCounters;
  bool mUsesLoadReports;
  LoadExchange mLoadExchange;
  /// The generations of the members and the shared loads that were last used.
  std::uint64_t mServingGeneration = 0;
  std::uint64_t mLoadsGeneration = 0;
  TimePoint mNextLoadsCheck{};
  /// The control endpoints of the zone's VMs, by the hashes of their names.
  std::unordered_map<std::uint64_t, Endpoint> mZoneControls;
  TimePoint mStarted{};
  TimePoint mOtherZonesSeenAt{};
  TimePoint mNextMemberRequest{};
  bool mKnowsReturns = true;
  /// The peers that were queried for returns since they were last known.
  std::set<std::string> mQueriedForReturns;
  TimePoint mNextReturnsQuery{};
  TokenBucket mHeldOpeningsBudget;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_PEERS_HPP_INCLUDED
