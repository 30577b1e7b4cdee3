#ifndef TARRAGONSILL_DIRECTORY_HPP_INCLUDED
#define TARRAGONSILL_DIRECTORY_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_knowledge_sync.hpp"
#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_node_settings.hpp"
#include "tarragonsill/state/tarragonsill_routing_view.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What a VM knows from the store and its peers: configuration, upstreams and
/// evacuated zones. It never goes back to an older state.
namespace tarragonsill {

/// Changes of one kind, or the whole list of a kind.
struct StoreUpdate
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::vector<ObjectChange> mChanges;
  /// The changes are the whole list: what is not in it is not there.
  bool mIsWholeList = false;
  /// The store's position to which they are up to date.
  StorePosition mUpTo{};
  /// Changes only: nothing is missing after this position.
  StorePosition mAfter{};
};

/// One line for the log: what changed in the VM's belief, and why.
struct DirectoryChange
{
  std::string mKind;    ///< For instance "upstream".
  std::string mSubject; ///< Its name.
  std::string mOutcome; ///< The state now.
  StorePosition mPosition{};
  bool mIsOrdinary = false; ///< An upstream that serves as most of them do.
};

/// The store came back from an older copy of itself.
struct StoreRollback
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  StorePosition mKnownTo; ///< How far upstreams were known.
  std::size_t mUpstreams = 0;
  std::size_t mEvacuatedZones = 0;
};

class Directory
{
public:
  /// A missing registration is back within about two seconds of the store's
  /// return (platform); until then it says nothing about the upstream.
  static constexpr milliseconds kReregistrationTimeout{ 2000 };
  /// A registration lapses after three heartbeats of silence (platform); one
  /// that an older copy shows for longer belongs to an upstream that lives.
  static constexpr int kHeartbeatsToLapse = 4;
  /// What the operator wrote is written again after the store came back older;
  /// no page says by when. Twice the longest time in which it takes effect.
  static constexpr milliseconds kEvacuationRewriteTimeout{ 10000 };

  explicit Directory(NodeSettings const& aSettings);

  /// Goes by other bounds and times from now on.
  void ApplySettings(NodeSettings const& aSettings);
  /// Takes news; returns what it changed.
  std::vector<DirectoryChange> Apply(TimePoint aNow,
                                     StoreUpdate const& aUpdate);
  /// Notes whether the store answers. Registrations that lapse while it does
  /// not, or right after its return, are taken for missing, not for gone.
  void RecordStoreAvailability(TimePoint aNow, bool aAnswers);
  /// Notes the store's era as an answer or a peer names it. With a new one,
  /// nothing that was listed before is known to be complete.
  std::optional<StoreRollback> ObserveEra(std::uint64_t aEra);
  /// Ends doubts whose time is over: zones return whose evacuation nobody has
  /// said again. Returns what it changed; to be called now and then.
  std::vector<DirectoryChange> ExpireUnconfirmedEvacuations(TimePoint aNow);
  /// The highest era that was heard of.
  std::uint64_t Era() const { return mEra; }
  /// The VMs of the zone that decide, this one included.
  void SetAdmittingVms(std::vector<std::uint64_t> aAdmittingVms,
                       std::uint64_t aSelf);

  /// Each kind has been listed at least once, and a configuration is there.
  bool IsComplete() const;
  /// Whether a view built now would differ from the last one.
  bool HasChanged(TimePoint aNow) const;
  RoutingViewPointer BuildView(TimePoint aNow);

  std::uint64_t ConfigurationVersion() const;
  /// Whether any upstream of the own zone may be given work.
  bool OwnZoneServes(TimePoint aNow) const;
  /// The last changes that are known, to be announced to peers.
  KnowledgeDigest Digest() const;
  /// How far knowledge goes without a gap. A peer whose last change lies beyond
  /// knows something that is missing here.
  KnowledgeDigest GaplessDigest() const;
  /// The position of the store up to which no change of a kind is missing;
  /// unset before it was listed in the store's present era.
  StorePosition CompleteTo(ObjectKind aKind) const;
  /// The same for all kinds.
  StorePosition CompleteTo() const;
  /// A peer that misses nothing up to a position announced its last changes.
  void AdvanceCompleteTo(KnowledgeDigest const& aLastChanges,
                         StorePosition aUpTo);
  /// What is known beyond what a peer holds; kinds that are no newer or were
  /// never listed whole are left out.
  StoreLists NewerThan(KnowledgeDigest const& aHeld, TimePoint aNow) const;

private:
  struct KnownUpstream
  {
    UpstreamRegistration mRegistration;
    StorePosition mPosition;
    /// The store's position by which its last change had happened; a removal
    /// may carry the revision of the change before.
    StorePosition mMaxChangePosition;
    TimePoint mColdUntil{};
    bool mIsRegistered = true;
    TimePoint mRemovedAt{};
    /// An older copy of the store shows it, although it had gone: it is taken
    /// for missing until then.
    TimePoint mUnconfirmedUntil{};
  };
  struct KnownZone
  {
    StorePosition mPosition;
    bool mIsEvacuated = false;
    TimePoint mReturnedAt{};
    /// An older copy of the store does not show its evacuation: it stays out
    /// until then, or until it is said again.
    TimePoint mUnconfirmedUntil{};
  };
  using Changes = std::vector<DirectoryChange>;

  void ApplyConfiguration(ObjectChange const& aChange, Changes& aChanges);
  void ApplyUpstream(TimePoint aNow,
                     ObjectChange const& aChange,
                     bool aIsAfterRollback,
                     Changes& aChanges);
  static void AddUpstreamChange(ObjectChange const& aChange,
                                UpstreamRegistration const& aRegistration,
                                Changes& aChanges);
  void RemoveUpstream(TimePoint aNow,
                      std::string const& aName,
                      StorePosition aPosition,
                      Changes& aChanges);
  /// Takes what a copy of the store from before its last era says of an
  /// upstream that is known from later.
  void MergeRestored(TimePoint aNow,
                     KnownUpstream& aKnown,
                     ObjectChange const& aRestored,
                     Changes& aChanges);
  /// Whether the whole list is the first one of the store's present era, so
  /// that it shows the copy and not what was written later.
  bool IsFirstListAfterRollback(StoreUpdate const& aUpdate) const;
  /// The end of a span of time; none for an empty one.
  static TimePoint EndOf(TimePoint aNow, milliseconds aSpan)
  {
    return aSpan > milliseconds{ 0 } ? aNow + aSpan : TimePoint{};
  }
  /// Leaves a zone out whose evacuation a copy of the store does not show.
  static void KeepEvacuated(TimePoint aNow,
                            StorePosition aUpTo,
                            std::string const& aName,
                            KnownZone& aZone,
                            Changes& aChanges);
  void ApplyEvacuation(TimePoint aNow,
                       ObjectChange const& aChange,
                       Changes& aChanges);
  /// The upstreams that changed after a position, removed ones too, or all
  /// that are registered.
  ObjectPage UpstreamsAfter(StorePosition aPosition, TimePoint aNow) const;
  ObjectPage AllUpstreams(TimePoint aNow) const;
  ObjectChange ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const;
  ObjectPage EvacuationList(TimePoint aNow) const;
  void UpdateCoverage(StoreUpdate const& aUpdate);
  void UpdateMaxChangePositions(Changes const& aChanges, StorePosition aUpTo);
  StorePosition LastChange(ObjectKind aKind) const;
  StorePosition GaplessPosition(ObjectKind aKind) const;
  void RemoveUnlisted(TimePoint aNow,
                      StoreUpdate const& aUpdate,
                      Changes& aChanges);
  std::uint32_t SlotFor(TimePoint aNow, std::string const& aName);
  UpstreamAvailability AvailabilityOf(TimePoint aNow,
                                      KnownUpstream const& aUpstream) const;
  TimePoint ColdUntil(KnownUpstream const& aUpstream) const;
  ServiceRule const* FindRule(std::string const& aService) const;
  void AddRoutes(RoutingView& aView) const;
  void AddUpstreams(TimePoint aNow, RoutingView& aView);
  /// The view has to be built anew by then at the latest.
  void ScheduleRebuild(TimePoint aAt);

  NodeSettings mSettings;
  std::optional<RoutingConfiguration> mConfiguration;
  /// Routes that a former version had.
  std::map<Endpoint, ResolvedRoute> mRemovedRoutes;
  std::vector<KnownUpstream> mUpstreams; ///< By slot.
  std::map<std::string, std::uint32_t> mSlots;
  /// Removals up to here may be forgotten.
  StorePosition mForgottenRemovalsTo;
  std::map<std::string, KnownZone> mZones;
  StorePosition mConfigurationPosition;
  std::uint64_t mEra = 0;
  /// How far knowledge of a kind goes.
  struct Coverage
  {
    StorePosition mComplete; ///< No change up to here is missing.
    StorePosition mGapEnd;   ///< Some change before this one may be.
  };
  /// Kinds of which a whole list was taken.
  std::map<ObjectKind, Coverage> mCoverage;
  /// The newest position of any object of a kind.
  std::map<ObjectKind, StorePosition> mLastChange;
  std::vector<std::uint64_t> mAdmittingVms;
  std::uint64_t mSelf = 0;
  bool mStoreAnswers = true;
  TimePoint mStoreRecoveredAt{};
  bool mIsDirty = true;
  /// When time alone changes the view next.
  TimePoint mNextRebuild{};
};

/// The cookie of an upstream, the same on every VM; never 0.
std::uint32_t CookieOf(std::string const& aUpstream);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_HPP_INCLUDED
