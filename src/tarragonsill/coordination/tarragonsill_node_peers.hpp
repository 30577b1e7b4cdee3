#ifndef TARRAGONSILL_NODE_PEERS_HPP_INCLUDED
#define TARRAGONSILL_NODE_PEERS_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_knowledge_sync.hpp"
#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"

#include <map>
#include <optional>
#include <vector>

/// The other entry VMs of a deployment without a list of them: found through
/// seeds, followed by gossip, asked for what the store would tell.
namespace tarragonsill {

class NodePeers
{
public:
  NodePeers(Member aSelf,
            std::vector<Endpoint> aSeeds,
            std::uint64_t aSeed,
            Counters& aCounters,
            Mechanisms aMechanisms = {});

  /// How old knowledge may get and how long watches wait.
  void SetWatchTimes(WatchTimes const& aTimes) { mRelay.SetTimes(aTimes); }
  WatchTimes const& Times() const { return mRelay.Times(); }
  /// The whole deployment starts for the first time.
  void SetFirstStart(bool aIsFirst) { mIsFirstStart = aIsFirst; }

  /// Advances timers; to be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  void Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox);
  /// Fills in what every message carries; to be called before sending.
  void FillCommonFields(TimePoint aNow, Outbox& aOutbox);

  /// What to announce to peers, and how far knowledge goes without a gap.
  void SetDigest(KnowledgeDigest const& aLastChanges,
                 KnowledgeDigest const& aHeld)
  {
    mDigest = aLastChanges;
    mHeld = aHeld;
  }
  void SetStage(MemberStage aStage) { mMembership.SetSelfStage(aStage); }
  /// The peer to ask for its knowledge now, if any.
  std::optional<Member> NextQuestion(TimePoint aNow, bool aIsComplete);
  /// The VMs that decide about the zone's upstreams, this one included; empty
  /// until this VM has had time to find them.
  std::vector<std::uint64_t> AdmittingVms(TimePoint aNow) const;
  /// Whether this VM is to watch the store itself.
  WatchRole Role(TimePoint aNow);
  /// Whether peers whose watches are fresh are heard.
  bool HearsFreshWatch(TimePoint aNow) const
  {
    return mRelay.HearsFreshWatch(aNow);
  }
  /// Says when the store last answered all of this VM's watches; nothing if it
  /// does not watch.
  void SetWatched(std::optional<TimePoint> aAt) { mWatchedAt = aAt; }
  /// Says up to which position of the store nothing is missing.
  void SetCompleteTo(StorePosition aUpTo) { mCompleteTo = aUpTo; }
  /// The store's era as far as it is known here; watches of peers that know an
  /// older one only are not relied on.
  void SetEra(std::uint64_t aEra) { mEra = aEra; }
  /// Tells those that rely on this VM's watches at once how far they go.
  void ReportNow() { mNextReport = {}; }
  /// Passes on what this VM's own watches brought to those that rely on it.
  void PassOn(StoreUpdate const& aUpdate, Outbox& aOutbox);
  /// Whether routers would still find enough VMs in the zone without this one:
  /// with fewer than half of them ready they use those that are down, too.
  bool MayLeave() const;
  /// Whether VMs of other zones are known and none of them is heard: the zone
  /// is cut off.
  bool IsZoneCutOff(TimePoint aNow) const;
  std::uint64_t SelfHash() const { return mMembership.Self().NameHash(); }
  Membership const& Members() const { return mMembership; }

private:
  void AskForMembers(TimePoint aNow, Outbox& aOutbox);
  void AnswerJoinRequest(Member const& aFrom,
                         std::uint32_t aOffset,
                         Outbox& aOutbox) const;
  bool KnowsServingPeer() const;
  std::vector<Member> ZoneMembers() const;
  void ReportWatches(TimePoint aNow, Outbox& aOutbox);

  Membership mMembership;
  std::vector<Endpoint> mSeeds;
  KnowledgeSync mSync;
  WatchRelay mRelay;
  WatchRole mRole = WatchRole::ReliesOnPeers;
  bool mIsFirstStart = false;
  std::optional<TimePoint> mWatchedAt;
  StorePosition mCompleteTo;
  std::uint64_t mEra = 0;
  TimePoint mNextReport{};
  KnowledgeDigest mDigest;
  KnowledgeDigest mHeld;
  /// The position up to which changes were passed on.
  std::map<ObjectKind, StorePosition> mPassedOn;
  TimePoint mStarted{};
  TimePoint mOtherZonesHeardAt{};
  TimePoint mNextAsk{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_PEERS_HPP_INCLUDED
