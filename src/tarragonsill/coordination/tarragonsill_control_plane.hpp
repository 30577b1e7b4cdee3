#ifndef TARRAGONSILL_CONTROL_PLANE_HPP_INCLUDED
#define TARRAGONSILL_CONTROL_PLANE_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_exception_sender.hpp"
#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/coordination/tarragonsill_ownership.hpp"
#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Coordinates one entry VM with its peers: membership, ownership, joining,
/// leaving and the transfer of exceptions. Sans I/O and single-threaded.
namespace tarragonsill {

class ControlPlane
{
public:
  struct Options
  {
    Membership::Options mMembership;
    Ownership::Options mOwnership;
  };

  /// The number of ranges into which the call IDs of a zone are divided.
  static constexpr std::uint16_t kCallRangeCount = 32;
  /// The key of a range of call IDs as a leased resource.
  static Endpoint CallRangeKey(std::uint16_t aRange) { return { {}, aRange }; }

  ControlPlane(Options aOptions,
               Member aSelf,
               std::vector<Endpoint> aSeeds,
               Counters& aCounters);

  /// Advances timers; must be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  void Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox);
  void HandleVmList(TimePoint aNow,
                    std::vector<PlatformVm> const& aVms,
                    Outbox& aOutbox);
  /// Applies a configuration if its position is higher than the current one's.
  void SetConfiguration(std::shared_ptr<Configuration const> aConfiguration);
  void SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                   std::uint64_t aLeasesRevision);
  void SendExceptions(TimePoint aNow,
                      std::vector<ExceptionTransfer> aTransfers);
  std::vector<ExceptionTransfer> TakeReceivedExceptions();

  /// Drops all leases and transfers the remaining exceptions without delay.
  void BeginLeaving();
  /// Whether this VM is leaving and all its exceptions have been transferred.
  bool IsHandoverComplete() const;
  /// Fills in the fields that every message has; must be called once for each
  /// outbox, before its messages are sent.
  void FillCommonFields(Outbox& aOutbox);

  /// The current snapshot; null until there is a configuration. In a burst of
  /// changes it is rebuilt at most every 50 ms.
  std::shared_ptr<SteeringSnapshot const> Snapshot(TimePoint aNow);
  AdmissionLeases Leases(TimePoint aNow) const;
  std::uint64_t LeasesRevision() const { return mOwnership.Revision(); }
  Membership const& Members() const { return mMembership; }
  std::shared_ptr<Configuration const> const& CurrentConfiguration() const
  {
    return mConfiguration;
  }
  /// The position of the configuration in force; unset without one.
  StorePosition CurrentPosition() const;
  /// Removes and returns a peer that announced a newer configuration than the
  /// one in force.
  std::optional<Member> TakePeerWithNewerConfiguration();

private:
  /// Sends the messages of a joining VM. Enters the stage `Serving` once every
  /// member of the zone has acknowledged this VM.
  void AdvanceJoin(TimePoint aNow, Outbox& aOutbox);
  void ContactSeeds(Outbox& aOutbox);
  void RequestAcknowledgements(Outbox& aOutbox);
  /// Requests an acknowledgement that this VM serves from every joining VM of
  /// the zone.
  void NotifyJoiningVms(TimePoint aNow, Outbox& aOutbox);
  void AnswerJoinRequest(Member const& aFrom,
                         wire::JoinRequest const& aRequest,
                         Outbox& aOutbox);
  void HandleJoinAck(Member const& aFrom, wire::JoinAck const& aAck);
  /// A hash of the set returned by `ZoneMembersExcept`, independent of its
  /// order.
  std::uint64_t ZoneDigest(std::string const& aExcept) const;
  /// The members of the zone that are not gone, except for one.
  std::vector<Member> ZoneMembersExcept(std::string const& aExcept) const;
  bool HasAllJoinAcks() const;
  /// Starts a new incarnation after peers declared this one gone.
  void RejoinAfterRemoval(TimePoint aNow);
  void UpdateOwnershipMembers();
  void ReceiveExceptions(Member const& aFrom,
                         wire::ExceptionBatch const& aBatch,
                         Outbox& aOutbox);
  bool IsZonePeer(Member const& aMember) const;

  Options mOptions;
  Counters& mCounters;
  Membership mMembership;
  Ownership mOwnership;
  ExceptionSender mExceptionSender;
  std::vector<Endpoint> mSeeds;
  std::shared_ptr<Configuration const> mConfiguration;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  std::uint64_t mSnapshotGeneration = 0;
  TimePoint mNextSnapshotAt{};
  std::uint64_t mOwnershipGeneration = 0;
  std::vector<ExceptionTransfer> mReceivedExceptions;
  /// Members that have acknowledged that this VM joins.
  std::set<std::string> mJoinAcks;
  /// Joining VMs that have acknowledged that this one serves.
  std::set<std::string> mServingAcks;
  /// The offset from which each peer's list of members is requested next.
  std::map<std::string, std::uint32_t> mJoinOffsets;
  std::size_t mNextSeed = 0;
  /// VMs of this zone that the platform lists as live.
  std::set<std::string> mListedLivePeers;
  std::set<std::string> mPeersWithNewerConfiguration;
  /// Set once a list of VMs or a message of a peer has arrived.
  bool mHasPeerInformation = false;
  /// Set if other VMs have served the zone, so that its upstreams may have open
  /// work that this VM has not admitted.
  bool mZoneWasServed = false;
  TimePoint mJoinStartedAt{};
  TimePoint mNextJoinRound{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CONTROL_PLANE_HPP_INCLUDED
