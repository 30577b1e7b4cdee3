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
struct StoreNews
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::vector<ObjectChange> mChanges;
  /// The changes are the whole list: what is not in it is not there.
  bool mIsWholeList = false;
  /// The store's revision to which they are up to date.
  std::uint64_t mRevision = 0;
  /// Changes only: nothing is missing after this revision.
  std::uint64_t mAfter = 0;
};

/// One line for the log: what changed in the VM's belief, and why.
struct BeliefChange
{
  std::string mWhat;    ///< For instance "upstream".
  std::string mSubject; ///< Its name.
  std::string mOutcome; ///< The state now.
  std::uint64_t mRevision = 0;
  bool mIsOrdinary = false; ///< An upstream that serves as most of them do.
};

class Directory
{
public:
  /// A missing registration is back within about two seconds of the store's
  /// return (platform); until then it says nothing about the upstream.
  static constexpr milliseconds kReturnPatience{ 2000 };

  explicit Directory(NodeSettings const& aSettings);

  /// Goes by other bounds and times from now on.
  void Adopt(NodeSettings const& aSettings);
  /// Takes news; returns what it changed.
  std::vector<BeliefChange> Apply(TimePoint aNow, StoreNews const& aNews);
  /// Notes whether the store answers. Registrations that lapse while it does
  /// not, or right after its return, are taken for missing, not for gone.
  void NoteStore(TimePoint aNow, bool aAnswers);
  /// The VMs of the zone that decide, this one included.
  void SetDeciders(std::vector<std::uint64_t> aDeciders, std::uint64_t aSelf);

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
  KnowledgeDigest Held() const;
  /// The revision of the store up to which no change of a kind is missing; 0
  /// before it was listed.
  std::uint64_t CompleteTo(ObjectKind aKind) const;
  /// The same for all kinds.
  std::uint64_t CompleteTo() const;
  /// A peer that misses nothing up to a revision announced its last changes.
  void NoteComplete(KnowledgeDigest const& aLastChanges,
                    std::uint64_t aRevision);
  /// What is known beyond what a peer holds; kinds that are no newer or were
  /// never listed whole are left out.
  StoreLists NewerThan(KnowledgeDigest const& aHeld, TimePoint aNow) const;

private:
  struct KnownUpstream
  {
    UpstreamRecord mRecord;
    std::uint64_t mRevision = 0;
    /// The store's revision by which its last change had happened; a removal
    /// may carry the revision of the change before.
    std::uint64_t mChangedBy = 0;
    TimePoint mColdUntil{};
    bool mIsRegistered = true;
    TimePoint mRemovedAt{};
  };
  struct KnownZone
  {
    std::uint64_t mRevision = 0;
    bool mIsEvacuated = false;
    TimePoint mReturnedAt{};
  };
  using Changes = std::vector<BeliefChange>;

  void ApplyConfiguration(ObjectChange const& aChange, Changes& aChanges);
  void ApplyUpstream(TimePoint aNow,
                     ObjectChange const& aChange,
                     Changes& aChanges);
  void RemoveUpstream(TimePoint aNow,
                      std::string const& aName,
                      std::uint64_t aRevision,
                      Changes& aChanges);
  void ApplyEvacuation(TimePoint aNow,
                       ObjectChange const& aChange,
                       Changes& aChanges);
  /// The upstreams that changed after a revision, removed ones too, or all
  /// that are registered.
  ObjectPage UpstreamsAfter(std::uint64_t aRevision, TimePoint aNow) const;
  ObjectPage AllUpstreams(TimePoint aNow) const;
  ObjectChange ToChange(KnownUpstream const& aUpstream, TimePoint aNow) const;
  ObjectPage EvacuationList() const;
  void NoteReach(StoreNews const& aNews);
  void NoteChanged(Changes const& aChanges, std::uint64_t aRevision);
  std::uint64_t LastChange(ObjectKind aKind) const;
  std::uint64_t HeldOf(ObjectKind aKind) const;
  void RemoveUnlisted(TimePoint aNow,
                      StoreNews const& aNews,
                      Changes& aChanges);
  std::uint32_t SlotFor(TimePoint aNow, std::string const& aName);
  UpstreamUse UseOf(TimePoint aNow, KnownUpstream const& aUpstream) const;
  TimePoint ColdUntil(KnownUpstream const& aUpstream) const;
  ServiceRule const* FindRule(std::string const& aService) const;
  void AddRoutes(RoutingView& aView) const;
  void AddUpstreams(TimePoint aNow, RoutingView& aView);

  NodeSettings mSettings;
  std::optional<RoutingConfiguration> mConfiguration;
  /// Routes that a former version had.
  std::map<Endpoint, RouteEntry> mRemovedRoutes;
  std::vector<KnownUpstream> mUpstreams; ///< By slot.
  std::map<std::string, std::uint32_t> mSlots;
  /// Removals up to this revision may be forgotten.
  std::uint64_t mForgottenUpTo = 0;
  std::map<std::string, KnownZone> mZones;
  std::uint64_t mConfigurationRevision = 0;
  /// How far knowledge of a kind goes.
  struct Reach
  {
    std::uint64_t mComplete = 0;   ///< No change up to here is missing.
    std::uint64_t mMissedUpTo = 0; ///< Some change before this one may be.
  };
  /// Kinds of which a whole list was taken.
  std::map<ObjectKind, Reach> mListed;
  /// The newest revision of any object of a kind.
  std::map<ObjectKind, std::uint64_t> mLastChange;
  std::vector<std::uint64_t> mDeciders;
  std::uint64_t mSelf = 0;
  bool mStoreAnswers = true;
  TimePoint mStoreBackAt{};
  bool mIsDirty = true;
  /// When time alone changes the view next.
  TimePoint mNextChange{};
};

/// The cookie of an upstream, the same on every VM; never 0.
std::uint32_t CookieOf(std::string const& aUpstream);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_HPP_INCLUDED
