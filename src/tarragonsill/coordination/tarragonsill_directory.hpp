#ifndef TARRAGONSILL_DIRECTORY_HPP_INCLUDED
#define TARRAGONSILL_DIRECTORY_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_knowledge_sync.hpp"
#include "tarragonsill/protocol/tarragonsill_knowledge_message.hpp"
#include "tarragonsill/state/tarragonsill_node_settings.hpp"
#include "tarragonsill/state/tarragonsill_routing_view.hpp"
#include "tarragonsill/state/tarragonsill_upstream_restart.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// State that a VM learns from the store and from its peers: configuration,
/// upstreams and evacuated zones. The state never reverts to an older one.
namespace tarragonsill {

/// Changes to objects of one kind, or the whole list of that kind.
struct StoreUpdate
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::vector<ObjectChange> mChanges;
  /// Whether the changes are the whole list; objects not in it do not exist.
  bool mIsWholeList = false;
  /// Store position up to which the update is complete.
  StorePosition mUpTo{};
  /// Store position after which no change is missing; unset for a whole list.
  StorePosition mAfter{};
  /// Whether a whole list also has the removals before it that the store still
  /// knew of.
  bool mHasHistory = false;
};

/// A change of the directory's state, for the log.
struct DirectoryChange
{
  std::string mKind;    ///< Kind of the object, for instance "upstream".
  std::string mSubject; ///< Name of the object.
  std::string mOutcome; ///< State after the change.
  StorePosition mPosition{};
  /// Set if the upstream serves and is warm, the most frequent change. Long
  /// lists are logged without such changes.
  bool mIsOrdinary = false;
};

/// A store rollback: the store was restored from an older copy, and its era
/// rose. Counts and position describe the directory at that moment.
struct StoreRollback
{
  std::uint64_t mFrom = 0; ///< The last era.
  std::uint64_t mTo = 0;   ///< The new era.
  StorePosition mKnownTo;  ///< Position up to which upstreams were known.
  std::size_t mUpstreams = 0;
  std::size_t mEvacuatedZones = 0;
};

class Directory
{
public:
  /// Upstreams register again within about two seconds of the store's recovery
  /// (platform documentation). Until then a missing registration is no sign of
  /// a failure.
  static constexpr milliseconds kReregistrationTimeout{ 2000 };
  /// A registration lapses after three heartbeats without renewal (platform
  /// documentation). A restored registration that is still there one heartbeat
  /// later belongs to a running upstream.
  static constexpr int kHeartbeatsToLapse = 4;
  /// Evacuations that a store rollback lost are written again, but the platform
  /// documents no deadline. This is twice the longest time until an evacuation
  /// takes effect.
  static constexpr milliseconds kEvacuationRewriteTimeout{ 10000 };

  explicit Directory(NodeSettings const& aSettings);

  /// Applies new bounds and heartbeat period.
  void ApplySettings(NodeSettings const& aSettings);
  /// Applies an update and returns the changes it caused.
  std::vector<DirectoryChange> Apply(TimePoint aNow,
                                     StoreUpdate const& aUpdate);
  /// Records whether the store answers. Registrations that lapse while it does
  /// not, or shortly after its recovery, count as missing rather than gone.
  void RecordStoreAvailability(TimePoint aNow, bool aAnswers);
  /// Observes the store's era from an answer or a peer. If it has risen after
  /// something was listed, returns the rollback; earlier lists no longer count
  /// as complete.
  std::optional<StoreRollback> ObserveEra(std::uint64_t aEra);
  /// Records that evacuations were listed in the store. A list shows none that
  /// has ended, unless it has the history before it: the store keeps that for
  /// longer than a return matters.
  void RecordEvacuationList(TimePoint aNow, bool aHasHistory);
  /// Applies the returns of zones that a peer knows. Returns the changes.
  std::vector<DirectoryChange> ApplyReturns(TimePoint aNow,
                                            ZoneReturns const& aReturns);
  /// Whether this VM misses no return of a zone that still matters.
  bool KnowsReturns(TimePoint aNow) const;
  /// Reports of a restart that reach a VM by several ways differ by less.
  static constexpr milliseconds kMinRestartExtension{ 500 };
  /// Records that another process may run under an upstream's name. Returns
  /// whether that was not known: the upstream counts as cold for longer by
  /// `kMinRestartExtension` or more.
  bool RecordRestart(TimePoint aNow, UpstreamRestart const& aRestart);
  /// The zone of an upstream; empty if it is not known.
  std::string ZoneOf(std::string const& aUpstream) const;
  /// Ends evacuations that were not written again in time after a store
  /// rollback. Returns the changes; must be called periodically.
  std::vector<DirectoryChange> ExpireUnconfirmedEvacuations(TimePoint aNow);
  /// The highest observed era.
  std::uint64_t Era() const { return mEra; }
  /// Sets the name hashes of the VMs of the zone that admit flows, including
  /// this VM, and the hash of this VM.
  void SetAdmittingVms(std::vector<std::uint64_t> aAdmittingVms,
                       std::uint64_t aSelf);

  /// Whether each kind was listed at least once and a configuration is known.
  bool IsComplete() const;
  /// Whether a view built now may differ from the last one.
  bool HasChanged(TimePoint aNow) const;
  RoutingViewPointer BuildView(TimePoint aNow);

  std::uint64_t ConfigurationVersion() const;
  /// Whether any upstream of this VM's zone may get new flows.
  bool OwnZoneServes(TimePoint aNow) const;
  /// The positions of the last known changes, announced to peers.
  KnowledgeDigest Digest() const;
  /// The positions up to which state is known without a gap. A peer whose last
  /// change is newer has state that is missing here.
  KnowledgeDigest GaplessDigest() const;
  /// The store position up to which no change of a kind is missing; unset until
  /// the kind was listed in the store's current era.
  StorePosition CompleteTo(ObjectKind aKind) const;
  /// The store position up to which no change of any kind is missing; unset
  /// until all kinds were listed in the store's current era.
  StorePosition CompleteTo() const;
  /// The store positions of a kind between which changes may be missing; unset
  /// if none is.
  std::optional<PositionRange> MissingChanges(ObjectKind aKind) const;
  /// Advances the complete position of each kind in which this VM is not behind
  /// the last changes of a peer that is complete up to the given position.
  void AdvanceCompleteTo(KnowledgeDigest const& aLastChanges,
                         StorePosition aUpTo);
  /// Returns the state that is newer than a peer's. Leaves out kinds that are
  /// not newer or were never listed completely.
  KnowledgeLists NewerThan(KnowledgeDigest const& aHeld, TimePoint aNow) const;

private:
  struct KnownUpstream
  {
    UpstreamRegistration mRegistration;
    StorePosition mPosition;
    /// Upper bound of the store position of the last change. A removal may
    /// carry the revision of the change before it.
    StorePosition mMaxChangePosition;
    TimePoint mColdUntil{};
    /// Until when it may be cold because another process may run.
    TimePoint mRestartColdUntil{};
    bool mIsRegistered = true;
    TimePoint mRemovedAt{};
    /// The upstream was gone, but a store rollback restored its registration:
    /// it counts as missing until this time.
    TimePoint mUnconfirmedUntil{};
  };
  struct KnownZone
  {
    StorePosition mPosition;
    bool mIsEvacuated = false;
    TimePoint mReturnedAt{};
    /// A store rollback lost the zone's evacuation: the zone stays evacuated
    /// until this time unless the evacuation is written again.
    TimePoint mUnconfirmedUntil{};
  };
  using Changes = std::vector<DirectoryChange>;
  /// Bounds the memory for early removals; the oldest ones are dropped.
  static constexpr std::size_t kMaxEarlyRemovals = 1024;

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
  /// Records the removal of an upstream that is not known, whose registration
  /// may still arrive.
  void RecordEarlyRemoval(std::string const& aName, StorePosition aPosition);
  /// Merges a registration that a store rollback restored into the newer state
  /// that is known of the upstream.
  void MergeRestored(TimePoint aNow,
                     KnownUpstream& aKnown,
                     ObjectChange const& aRestored,
                     Changes& aChanges);
  /// Whether the update is the first whole list of its kind in a new era. That
  /// list shows the restored copy, not what was written afterwards.
  bool IsFirstListAfterRollback(StoreUpdate const& aUpdate) const;
  /// Returns the end of a time span, or an unset time for an empty span.
  static TimePoint EndOf(TimePoint aNow, milliseconds aSpan)
  {
    return aSpan > milliseconds{ 0 } ? aNow + aSpan : TimePoint{};
  }
  /// Keeps a zone evacuated although its evacuation is missing after a store
  /// rollback.
  static void KeepEvacuated(TimePoint aNow,
                            StorePosition aUpTo,
                            std::string const& aName,
                            KnownZone& aZone,
                            Changes& aChanges);
  void ApplyEvacuation(TimePoint aNow,
                       ObjectChange const& aChange,
                       Changes& aChanges);
  /// Returns the upstreams that changed after a position, including removed
  /// ones.
  ObjectPage UpstreamsAfter(StorePosition aPosition, TimePoint aNow) const;
  /// Returns all registered upstreams.
  ObjectPage AllUpstreams(TimePoint aNow) const;
  ObjectChange ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const;
  ObjectPage EvacuationList(TimePoint aNow) const;
  ZoneReturns RecentReturns(TimePoint aNow) const;
  /// How long the upstreams of a returned zone count as cold.
  milliseconds ReturnColdTime(milliseconds aColdTime) const;
  /// The longest such time of any service.
  milliseconds MaxReturnColdTime() const;
  void UpdatePositions(StoreUpdate const& aUpdate, Changes const& aChanges);
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
  /// Schedules a rebuild of the view for the given time at the latest.
  void ScheduleRebuild(TimePoint aAt);

  NodeSettings mSettings;
  std::optional<RoutingConfiguration> mConfiguration;
  /// Routes that earlier versions had and the current one does not.
  std::map<Endpoint, ResolvedRoute> mRemovedRoutes;
  std::vector<KnownUpstream> mUpstreams; ///< By slot.
  std::map<std::string, std::uint32_t> mSlots;
  /// Removals of upstreams that were not known. Changes may arrive out of
  /// order, so an older registration must not put the upstream into use.
  std::map<std::string, StorePosition> mEarlyRemovals;
  /// Removals up to this position may no longer be in `mUpstreams`.
  StorePosition mForgottenRemovalsTo;
  std::map<std::string, KnownZone> mZones;
  /// The time from which on this VM knows of all returns of zones; unset until
  /// the store or a peer has sent evacuations.
  TimePoint mReturnsKnownSince{};
  StorePosition mConfigurationPosition;
  std::uint64_t mEra = 0;
  /// The positions up to which no change of a kind is missing, of the kinds of
  /// which a whole list was applied.
  std::map<ObjectKind, StorePosition> mCompleteTo;
  /// The position of the last known change of each kind, or an upper bound if
  /// that was a removal.
  std::map<ObjectKind, StorePosition> mLastChange;
  std::vector<std::uint64_t> mAdmittingVms;
  std::uint64_t mSelf = 0;
  bool mStoreAnswers = true;
  TimePoint mStoreRecoveredAt{};
  bool mIsDirty = true;
  /// Next time at which the view changes without an update; unset if none.
  TimePoint mNextRebuild{};
};

/// Returns the cookie of an upstream: the same on every VM, never 0.
std::uint32_t CookieOf(std::string const& aUpstream);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_HPP_INCLUDED
