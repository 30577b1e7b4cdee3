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

/// Exclusive, leased ownership of things that are placed on the entry VMs of
/// one availability zone.
namespace tarragonsill {

/// A thing that has one owner at a time: an upstream of the zone, or a range
/// of call identities (address 0, the range as the port).
struct LeasedResource
{
  Endpoint mKey;
  WorkLimit mLimit;
  /// Set for a thing that did not exist before: nobody can have used it.
  bool mIsNew = false;
};

/// The first entry VM in a thing's rendezvous order owns it while it holds a
/// lease from the second one. The second one stands first as soon as the
/// first is gone; it then waits until its own promise has run out. An owner
/// tells the second one, before it uses it, the most work it may have open
/// (the ceiling), so that a successor knows how much may be left.
class Ownership
{
public:
  struct Options
  {
    milliseconds mLease{ 2000 };
    /// Allowance for clocks that run at different rates.
    milliseconds mMargin{ 200 };
    milliseconds mAskPeriod{ 500 };
    /// A longer silence of the driver counts as a pause of the process.
    milliseconds mPauseLimit{ 1000 };
  };

  Ownership(Options aOptions, std::string aSelf, Counters& aCounters);

  /// Takes a new set of things into use.
  void Configure(std::vector<LeasedResource> aResources);
  /// Takes a new view of the zone's entry VMs into use.
  void SetMembers(std::vector<Member> const& aZoneMembers);
  /// Notes the open work as the packet worker and the call ledger count it.
  /// `aRevision` is the revision of the rights that the counts reflect.
  void SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                   std::uint64_t aRevision);

  /// Sends asks that are due. Returns true if the process was paused; all
  /// rights are dropped then.
  bool Tick(TimePoint aNow, Outbox& aOutbox);
  void HandleAsk(TimePoint aNow,
                 Member const& aFrom,
                 wire::LeaseAsk const& aAsk,
                 Outbox& aOutbox);
  void HandleGrant(TimePoint aNow,
                   Member const& aFrom,
                   wire::LeaseGrant const& aGrant);
  /// Says that no entry VM served the zone before this one's start. Nothing is
  /// open then at the things of which this VM is the first in line; of the
  /// others, those ahead of it will tell.
  void Bootstrap();
  /// Says that the platform listed this VM as live after the last pause. Until
  /// then a VM that believes to be alone in its zone owns nothing.
  void ConfirmAlone() { mAloneConfirmed = true; }
  /// Says whether every VM that joins the zone knows that this one serves. One
  /// that does not could begin without asking what this VM has used alone.
  void SetJoinersKnow(bool aKnow) { mJoinersKnow = aKnow; }
  /// Forgets what was known of earlier owners; the whole limit of a thing may
  /// be in use then.
  void Forget();
  /// Gives up every right, for instance before leaving.
  void DropAll();

  /// The rights in force; those that have lapsed are left out.
  AdmissionLeases Leases(TimePoint aNow) const;
  /// Rises with every change of the rights.
  std::uint64_t Revision() const { return mRevision; }

private:
  /// The most work that may be open, as of an owner's term.
  struct Knowledge
  {
    std::uint64_t mTerm = 0;
    WorkLimit mOpen;
  };
  /// A lease granted to another entry VM, binding until the time given.
  struct Promise
  {
    std::string mTo;
    TimePoint mUntil{};
  };
  struct Seat
  {
    LeasedResource mResource;
    std::string mFirst;
    std::string mSecond;
    /// A joining entry VM is ahead of the first one. It may begin to own as
    /// soon as every member has acknowledged it, so this VM stops before.
    bool mContested = false;
    std::optional<Knowledge> mKnowledge;
    /// The knowledge is the count of this VM's own ledger.
    bool mKnowledgeIsOwn = false;
    Promise mPromise;
    /// Own right, if first: valid until the time given, 0 if none.
    TimePoint mUntil{};
    std::uint64_t mTerm = 0;
    WorkLimit mAdopted;
    WorkLimit mCeiling;
    WorkLimit mUsed;
    WorkLimit mLastAsked; ///< As second: the ceiling of the first one's ask.
    /// The rights revision from which this VM no longer admits.
    std::uint64_t mStoppedAt = 0;

    bool Holds() const { return mTerm != 0; }
  };
  struct PendingAsk
  {
    std::uint64_t mSequence = 0;
    TimePoint mSentAt{};
    std::map<Endpoint, WorkLimit> mCeilings;
  };

  void Rank(Seat& aSeat);
  void StopActing(Seat& aSeat);
  void Begin(Seat& aSeat, TimePoint aUntil);
  void RenewAlone(TimePoint aNow, Seat& aSeat);
  WorkLimit ProposedCeiling(Seat const& aSeat) const;
  bool MayGrant(TimePoint aNow, Seat const& aSeat, Member const& aFrom) const;
  void LowerCeilings(std::map<std::string, PendingAsk> const& aAsks);
  static void StoreCeiling(Seat& aSeat, Knowledge aAsked);
  static void Learn(Seat& aSeat, Knowledge aKnowledge);
  std::optional<Endpoint> ControlOf(std::string const& aName) const;

  Options mOptions;
  std::string mSelf;
  Counters& mCounters;
  std::map<Endpoint, Seat> mSeats;
  std::vector<Member> mMembers;
  std::vector<std::uint64_t> mJoining; ///< Name hashes.
  std::map<std::string, PendingAsk> mPending;
  /// Incarnation and sequence of the last ask of each entry VM.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> mLastAsks;
  std::uint64_t mSequence = 0;
  std::uint64_t mRevision = 1;
  TimePoint mNextAsk{};
  TimePoint mLastTick{};
  bool mAloneConfirmed = true;
  bool mJoinersKnow = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_OWNERSHIP_HPP_INCLUDED
