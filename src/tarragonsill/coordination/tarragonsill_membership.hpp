#ifndef TARRAGONSILL_MEMBERSHIP_HPP_INCLUDED
#define TARRAGONSILL_MEMBERSHIP_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_outbox.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Failure detection and dissemination among the entry VMs of a region, after
/// Das et al., SWIM, DSN 2002: direct probes, indirect probes, suspicion.
namespace tarragonsill {

/// An entry of the platform's list of VMs. The list may be out of date.
struct PlatformVm
{
  enum class State : std::uint8_t
  {
    Live,
    Leaving,
    Removed,
  };
  std::string mName;
  std::string mZone;
  Endpoint mControl;
  State mState = State::Live;
};

class Membership
{
public:
  struct Options
  {
    milliseconds mProbePeriod{ 250 };
    milliseconds mProbeTimeout{ 100 };
    /// For groups of up to ten members; the timeout of larger groups grows with
    /// the logarithm of their size.
    milliseconds mSuspicionTimeout{ 1000 };
    std::uint64_t mSeed = 1;
  };

  Membership(Options aOptions, Member aSelf, Counters& aCounters);

  /// Advances timers; must be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  /// Handles the membership part of a message. Returns false if the message
  /// must be ignored: its sender is an outdated incarnation, has no name or has
  /// the name of this VM.
  bool Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox);
  /// Contacts unknown live VMs of the platform's list, and marks failed members
  /// that the platform has removed as gone.
  void HandleVmList(TimePoint aNow,
                    std::vector<PlatformVm> const& aVms,
                    Outbox& aOutbox);
  /// Pings an address at which an unknown entry VM may listen.
  void Contact(Endpoint aControl, Outbox& aOutbox);

  void SetSelfStage(MemberStage aStage);
  /// Starts a new incarnation after peers declared this one gone.
  void Rejoin(std::uint64_t aIncarnation);
  Member const& Self() const { return mSelf; }
  /// All known members including this one, ordered by name.
  std::vector<Member> Members() const;
  Member const* Find(std::string const& aName) const;
  std::optional<std::string> NameAt(Endpoint aControl) const;
  /// Rises whenever a member or its stage or health changes.
  std::uint64_t Generation() const { return mGeneration; }
  /// Whether a peer has declared this incarnation gone.
  bool IsDeclaredGone() const { return mDeclaredGone; }

  /// The state of a peer as it is sent to others; empty for an unknown name.
  wire::MemberUpdate UpdateOf(std::string const& aName) const;
  /// Fills in the fields that every outgoing message has: the sender, the
  /// position of the configuration and piggybacked updates.
  void FillCommonFields(wire::PeerMessage& aMessage);
  /// Sets the position of the configuration in force, which messages announce.
  void SetConfiguration(StorePosition aPosition)
  {
    mConfigurationPosition = aPosition;
  }

private:
  struct Peer
  {
    Member mMember;
    std::uint32_t mRevision = 0;
    TimePoint mSuspectedAt{};
  };
  /// The probe whose answer is awaited.
  struct Probe
  {
    std::string mTarget;
    std::uint32_t mSequence = 0;
    TimePoint mSentAt{};
    bool mIndirect = false;
  };
  /// A member whose state is piggybacked on outgoing messages.
  struct Rumor
  {
    std::string mName;
    unsigned mSendsLeft = 0;
    /// Failures and departures are sent before joins.
    bool mIsUrgent = false;
  };

  void StartProbe(TimePoint aNow, Outbox& aOutbox);
  void CheckProbeTimeout(TimePoint aNow, Outbox& aOutbox);
  void ExpireSuspicions(TimePoint aNow);
  std::optional<std::string> NextProbeTarget();
  /// Pings the next failed member of a zone that is reachable again.
  void ProbeHealedZoneMember(Outbox& aOutbox);
  /// Pings a member. Unless the member is alive, the ping holds its health as
  /// seen from here.
  void SendPingWithHealth(Peer const& aPeer,
                          std::uint32_t aSequence,
                          Outbox& aOutbox);
  void SendPing(Endpoint aTo, std::uint32_t aSequence, Outbox& aOutbox);
  void HandleBody(TimePoint aNow,
                  wire::PeerMessage const& aMessage,
                  Outbox& aOutbox);
  /// Applies an update about a member; `aDirect` is set if the member sent it.
  void ApplyUpdate(TimePoint aNow,
                   wire::MemberUpdate const& aUpdate,
                   bool aDirect);
  void ApplyUpdateAboutSelf(wire::MemberUpdate const& aUpdate);
  void SetHealth(TimePoint aNow, Peer& aPeer, MemberHealth aHealth);
  /// Queues the state of a member to be piggybacked on outgoing messages.
  void QueueRumor(std::string const& aName, bool aIsUrgent);
  Duration SuspicionTimeout() const;
  wire::MemberUpdate ToUpdate(Member const& aMember,
                              std::uint32_t aRevision) const;

  Options mOptions;
  Member mSelf;
  std::uint32_t mSelfRevision = 1;
  Counters& mCounters;
  std::map<std::string, Peer> mPeers;
  std::vector<std::string> mProbeOrder;
  std::uint64_t mProbeCount = 0;
  std::optional<Probe> mProbe;
  TimePoint mNextProbe{};
  /// The failed members of a zone in which another failed member has sent a
  /// message, so that a network partition may have healed.
  std::vector<std::string> mHealedZoneMembers;
  std::uint32_t mSequence = 0;
  std::vector<Rumor> mRumors;
  std::mt19937_64 mRandom;
  std::uint64_t mGeneration = 1;
  StorePosition mConfigurationPosition;
  bool mDeclaredGone = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_MEMBERSHIP_HPP_INCLUDED
