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

/// The coordination of one entry VM: membership, ownership, joining, leaving
/// and the hand-over of exceptions. Sans I/O and single-threaded.
namespace tarragonsill {

class ControlPlane
{
public:
  struct Options
  {
    Membership::Options mMembership;
    Ownership::Options mOwnership;
  };

  /// The number of ranges into which the call identities of a zone fall.
  static constexpr std::uint16_t kCallRangeCount = 32;
  /// The key under which a range of call identities is owned.
  static Endpoint CallRangeKey(std::uint16_t aRange) { return { {}, aRange }; }

  ControlPlane(Options aOptions,
               Member aSelf,
               std::vector<Endpoint> aSeeds,
               Counters& aCounters);

  /// Advances timers; to be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  void Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox);
  void HandleVmList(TimePoint aNow,
                    std::vector<PlatformVm> const& aVms,
                    Outbox& aOutbox);
  /// Takes a configuration into use whose position is higher.
  void SetConfiguration(std::shared_ptr<Configuration const> aConfiguration);
  void SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                   std::uint64_t aLeasesRevision);
  void SendExceptions(TimePoint aNow,
                      std::vector<ExceptionTransfer> aTransfers);
  std::vector<ExceptionTransfer> TakeReceivedExceptions();

  /// Stops deciding and starts to hand over.
  void BeginLeaving();
  /// Set once everything that only this VM knew has been handed over.
  bool IsHandoverComplete() const;
  /// Prepares outgoing messages; to be called once for each before sending.
  void FillCommonFields(Outbox& aOutbox);

  /// The current view; null until there is a configuration. In a burst of
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
  /// A peer that announced a newer configuration than the one in force.
  std::optional<Member> TakePeerWithNewerConfiguration();

private:
  void AdvanceJoin(TimePoint aNow, Outbox& aOutbox);
  void ContactSeeds(Outbox& aOutbox);
  void RequestAcknowledgements(Outbox& aOutbox);
  /// Lets every VM that joins the zone acknowledge that this one serves.
  void TellJoiners(TimePoint aNow, Outbox& aOutbox);
  void AnswerJoinRequest(Member const& aFrom,
                         wire::JoinRequest const& aRequest,
                         Outbox& aOutbox);
  void HandleJoinAck(Member const& aFrom, wire::JoinAck const& aAck);
  /// Identifies the set of the zone's members but one; independent of order.
  std::uint64_t ZoneDigest(std::string const& aExcept) const;
  /// The zone's members that are not gone, but one.
  std::vector<Member> ZoneMembersBut(std::string const& aExcept) const;
  bool AllAcknowledged() const;
  void Restart(TimePoint aNow);
  void RefreshOwnership();
  void ReceiveExceptions(Member const& aFrom,
                         wire::ExceptionBatch const& aBatch,
                         Outbox& aOutbox);
  bool IsZonePeer(Member const& aMember) const;

  Options mOptions;
  Counters& mCounters;
  Membership mMembership;
  Ownership mOwnership;
  ExceptionSender mSender;
  std::vector<Endpoint> mSeeds;
  std::shared_ptr<Configuration const> mConfiguration;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  std::uint64_t mSnapshotGeneration = 0;
  TimePoint mNextSnapshot{};
  std::uint64_t mOwnershipGeneration = 0;
  std::vector<ExceptionTransfer> mReceived;
  std::set<std::string> mJoinAcks;
  /// Joining VMs that have acknowledged that this one serves.
  std::set<std::string> mToldJoiners;
  /// How far the lists of members of others have been read.
  std::map<std::string, std::uint32_t> mJoinOffsets;
  std::size_t mNextSeed = 0;
  /// VMs of this zone that the platform lists as live.
  std::set<std::string> mListedPeers;
  std::set<std::string> mAnnouncers; ///< Of newer configurations.
  bool mPeersKnown = false; ///< A list or a peer has told who is there.
  bool mZoneHasHistory = false;
  TimePoint mJoinStarted{};
  TimePoint mNextJoin{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CONTROL_PLANE_HPP_INCLUDED
