#ifndef TARRAGONSILL_OWNERSHIP_HPP_INCLUDED
#define TARRAGONSILL_OWNERSHIP_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_outbox.hpp"
#include "tarragonsill/state/tarragonsill_admission_lease.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Exclusive, leased ownership of the upstreams and call ranges of one
/// availability zone by its entry VMs.
namespace tarragonsill {

/// A resource with at most one lease holder at a time: an upstream of the
/// zone, or a range of call IDs (address 0, the range as the port).
struct LeasedResource
{
  Endpoint mKey;
  WorkLimit mLimit;
  /// Set if the resource is not in the configuration that was in force before,
  /// so that no VM can have open work at it.
  bool mIsNew = false;
};

/// Grants and holds leases. The first entry VM in the rendezvous order of a
/// resource is its designated holder, the second one is its grantor. The holder
/// owns the resource while it holds a lease from the grantor. When the holder
/// is gone, the grantor becomes the designated holder, and waits until the
/// lease that it granted has expired. Before a holder uses a ceiling (the
/// maximum of its open work), it sends the ceiling to the grantor, so that a
/// successor has an upper bound on the work that is still open.
class Ownership
{
public:
  struct Options
  {
    milliseconds mLeaseDuration{ 2000 };
    /// Added to a lease by its grantor, as clocks run at different rates.
    milliseconds mClockMargin{ 200 };
    milliseconds mAskPeriod{ 500 };
    /// A longer time between two calls of `Tick` counts as a local pause.
    milliseconds mMaxTickInterval{ 1000 };
  };

  Ownership(Options aOptions, std::string aSelf, Counters& aCounters);

  /// Replaces the set of resources; those in both sets keep their state.
  void Configure(std::vector<LeasedResource> aResources);
  /// Replaces the entry VMs of the zone, this one included.
  void SetMembers(std::vector<Member> const& aZoneMembers);
  /// Records the open work as the packet worker and the call ledger count it.
  /// `aRevision` is the revision of the leases that the counts reflect.
  void SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                   std::uint64_t aRevision);

  /// Sends the requests for leases that are due. Returns whether the process
  /// was paused; all leases are dropped then.
  bool Tick(TimePoint aNow, Outbox& aOutbox);
  void HandleAsk(TimePoint aNow,
                 Member const& aFrom,
                 wire::LeaseAsk const& aAsk,
                 Outbox& aOutbox);
  void HandleGrant(TimePoint aNow,
                   Member const& aFrom,
                   wire::LeaseGrant const& aGrant);
  /// To be called if no entry VM served the zone before this one started.
  /// Resources of which this VM is the designated holder then have no open
  /// work; for the others, the VMs that rank ahead report it.
  void AssumeNoOpenWork();
  /// Records that the platform listed this VM as live after the last pause.
  /// Until then it holds no lease without a grantor: the platform may have
  /// replaced it during the pause.
  void ConfirmListedLive() { mListedLiveSincePause = true; }
  /// Sets whether every joining VM of the zone has acknowledged that this one
  /// serves. One that has not could start to own resources without asking for
  /// the work that this VM admitted without a grantor.
  void SetAcknowledgedByJoiners(bool aAcknowledged)
  {
    mAcknowledgedByJoiners = aAcknowledged;
  }
  /// Drops all bounds on the open work of earlier holders. The whole limit of a
  /// resource is then assumed to be in use.
  void ClearOpenWorkBounds();
  /// Gives up every lease, for instance before leaving.
  void DropAllLeases();

  /// The leases that have not expired.
  AdmissionLeases Leases(TimePoint aNow) const;
  /// Rises with every change of the leases.
  std::uint64_t Revision() const { return mRevision; }

private:
  /// An upper bound on the open work of a resource, as of a holder's term.
  struct OpenWorkBound
  {
    std::uint64_t mTerm = 0;
    WorkLimit mMaxOpen;
  };
  /// A lease of another VM, granted by this one or assumed to be held without a
  /// grantor. It binds this VM until `mUntil`.
  struct Grant
  {
    std::string mHolder;
    TimePoint mUntil{};
  };
  /// The lease of one resource, as holder and as grantor.
  struct LeaseState
  {
    LeasedResource mResource;
    std::string mDesignatedHolder; ///< First in the rendezvous order.
    std::string mGrantor;          ///< Second; empty if there is only one VM.
    /// Set if a joining entry VM ranks ahead of this one. It may own the
    /// resource as soon as every member has acknowledged it, so this VM stops
    /// before that.
    bool mJoinerRanksAhead = false;
    std::optional<OpenWorkBound> mOpenWorkBound;
    /// Set if the bound is the count of this VM's own ledger.
    bool mBoundIsOwnCount = false;
    Grant mGrant;
    /// The end of the lease held by this VM; 0 without one.
    TimePoint mUntil{};
    std::uint64_t mTerm = 0; ///< Of the lease held by this VM; 0 without one.
    /// Work that earlier holders may have left open.
    WorkLimit mAdoptedWork;
    WorkLimit mCeiling;  ///< The maximum of the open work under the lease.
    WorkLimit mOpenWork; ///< As counted by this VM.
    /// As grantor: the ceiling in the holder's last request.
    WorkLimit mLastAskedCeiling;
    /// The revision of the leases since which this VM does not admit work to
    /// the resource; 0 once its count reflects that.
    std::uint64_t mStoppedAtRevision = 0;

    bool HoldsLease() const { return mTerm != 0; }
  };
  /// A request for leases whose grant has not arrived.
  struct PendingAsk
  {
    std::uint64_t mSequence = 0;
    TimePoint mSentAt{};
    std::map<Endpoint, WorkLimit> mCeilings;
  };

  /// Determines the designated holder and the grantor of a resource.
  void UpdateRanking(LeaseState& aState);
  void DropLease(LeaseState& aState);
  /// Sets the end of the lease; begins a new term if none is held.
  void AcquireOrExtend(LeaseState& aState, TimePoint aUntil);
  /// Renews the lease of a VM that is alone in its zone.
  void RenewWithoutGrantor(TimePoint aNow, LeaseState& aState);
  WorkLimit ProposedCeiling(LeaseState const& aState) const;
  bool CanGrant(TimePoint aNow,
                LeaseState const& aState,
                Member const& aFrom) const;
  void LowerCeilings(std::map<std::string, PendingAsk> const& aAsks);
  /// As grantor: stores the ceiling that a holder asks for.
  static void StoreCeiling(LeaseState& aState, OpenWorkBound aAsked);
  /// Replaces the bound unless the stored one is of a later term.
  static void UpdateBound(LeaseState& aState, OpenWorkBound aBound);
  std::optional<Endpoint> ControlEndpointOf(std::string const& aName) const;

  Options mOptions;
  std::string mSelf;
  Counters& mCounters;
  std::map<Endpoint, LeaseState> mLeaseStates;
  std::vector<Member> mMembers;
  std::vector<std::uint64_t> mJoiningHashes; ///< Name hashes of joining VMs.
  std::map<std::string, PendingAsk> mPendingAsks;
  /// Incarnation and sequence of the last request of each entry VM.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> mLastAsks;
  std::uint64_t mSequence = 0;
  std::uint64_t mRevision = 1;
  TimePoint mNextAsk{};
  TimePoint mLastTick{};
  bool mListedLiveSincePause = true;
  bool mAcknowledgedByJoiners = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_OWNERSHIP_HPP_INCLUDED
