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

/// One VM of the platform's list; the list lags.
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
    /// Suspicion time in a group of ten; it grows with the logarithm.
    milliseconds mSuspicionTimeout{ 1000 };
    std::uint64_t mSeed = 1;
  };

  Membership(Options aOptions, Member aSelf, Counters& aCounters);

  /// Advances timers; to be called at least every 50 ms.
  void Tick(TimePoint aNow, Outbox& aOutbox);
  /// Handles the membership part of a message. Returns false if the message
  /// comes from an outdated incarnation and must be ignored.
  bool Handle(TimePoint aNow,
              wire::PeerMessage const& aMessage,
              Outbox& aOutbox);
  /// Uses the platform's list: unknown VMs are contacted, a removed VM that
  /// does not answer is taken for gone.
  void HandleVmList(TimePoint aNow,
                    std::vector<PlatformVm> const& aVms,
                    Outbox& aOutbox);
  /// Contacts an address at which an entry VM may listen.
  void Contact(Endpoint aControl, Outbox& aOutbox);

  void SetSelfStage(MemberStage aStage);
  /// Starts a new identity after others declared this one gone.
  void Rejoin(std::uint64_t aIncarnation);
  Member const& Self() const { return mSelf; }
  /// All known members with this one, ordered by name.
  std::vector<Member> Members() const;
  Member const* Find(std::string const& aName) const;
  std::optional<std::string> NameAt(Endpoint aControl) const;
  /// Rises whenever a member or its stage or health changes.
  std::uint64_t Generation() const { return mGeneration; }
  /// Set once this process learns that others consider it gone.
  bool IsDeclaredGone() const { return mDeclaredGone; }

  /// What this member says about a known one; empty for an unknown name.
  wire::MemberUpdate UpdateOf(std::string const& aName) const;
  /// Fills in the sender and piggybacked updates of an outgoing message.
  void FillCommonFields(wire::PeerMessage& aMessage);
  /// Lets the driver announce the configuration version in force.
  void SetConfiguration(StorePosition aPosition) { mConfiguration = aPosition; }

private:
  struct Peer
  {
    Member mMember;
    std::uint32_t mRevision = 0;
    TimePoint mSuspectSince{};
    TimePoint mLastHeard{};
  };
  struct Probe
  {
    std::string mTarget;
    std::uint32_t mSequence = 0;
    TimePoint mSentAt{};
    bool mIndirect = false;
  };
  struct Rumour
  {
    std::string mName;
    unsigned mSendsLeft = 0;
    /// Trouble spreads before news of joins.
    bool mIsUrgent = false;
  };

  void StartProbe(TimePoint aNow, Outbox& aOutbox);
  void CheckProbe(TimePoint aNow, Outbox& aOutbox);
  void ExpireSuspicions(TimePoint aNow);
  std::optional<std::string> NextTarget();
  void ProbeHealedZone(Outbox& aOutbox);
  /// Pings a member and tells it what it is accused of.
  void SendAccusingPing(Peer const& aPeer,
                        std::uint32_t aSequence,
                        Outbox& aOutbox);
  void SendPing(Endpoint aTo, std::uint32_t aSequence, Outbox& aOutbox);
  void HandleBody(TimePoint aNow,
                  wire::PeerMessage const& aMessage,
                  Outbox& aOutbox);
  void Apply(TimePoint aNow, wire::MemberUpdate const& aUpdate, bool aDirect);
  void ApplyAboutSelf(wire::MemberUpdate const& aUpdate);
  void SetHealth(TimePoint aNow, Peer& aPeer, MemberHealth aHealth);
  void Spread(std::string const& aName, bool aIsUrgent);
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
  /// Failed members of a zone from which another member was just heard.
  std::vector<std::string> mHealed;
  std::uint32_t mSequence = 0;
  std::vector<Rumour> mRumours;
  std::mt19937_64 mRandom;
  std::uint64_t mGeneration = 1;
  StorePosition mConfiguration; ///< Era and version.
  bool mDeclaredGone = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_MEMBERSHIP_HPP_INCLUDED
