#ifndef TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
#define TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Decides which VMs of a zone watch the store and to which VMs each of them
/// relays updates. A VM without a report of a fresh watch watches the store
/// itself, so that a network cut or a refusal by the store never leaves it with
/// stale state.
namespace tarragonsill {

/// How a VM takes part in watching the store.
enum class WatchRole : std::uint8_t
{
  ReliesOnPeers,     ///< Relies on updates that watchers relay.
  Watcher,           ///< Is one of its zone's watchers, or has no lists yet.
  ConfirmingWatcher, ///< Is the first of all zones' watchers: it confirms the
                     ///< position for the others.
  StandbyWatcher,    ///< Watches because the zone's watchers get no answer.
  FallbackWatcher,   ///< Watches because no watcher reports to this VM.
};

std::string_view ToText(WatchRole aRole);

/// Times of watches, derived from the time in which a change has to be in
/// force. Waits are short so that a watch whose answer was lost is renewed
/// soon.
struct WatchTimes
{
  /// How long the store may delay its answer while nothing changes.
  milliseconds mWait{ 800 };
  /// State is fresh for this long after the time as of which it is confirmed to
  /// be current.
  milliseconds mFreshFor{ 2000 };
  /// Age of its position from which a watch is confirmed, which costs the store
  /// ten times as much as a call that may be answered by a lagging replica.
  milliseconds mConfirmAfter{ 1200 };
  /// The same for the one watch that confirms the position for all VMs, after
  /// each wait.
  milliseconds mConfirmForAllAfter{ 400 };

  /// Returns the times for a bound on the time until a change is in force.
  static WatchTimes For(milliseconds aMaxChangeTime);
  /// Returns the age from which a VM confirms its watch of a kind of objects.
  milliseconds ConfirmAfter(WatchRole aRole, ObjectKind aKind) const;
};

class WatchRelay
{
public:
  /// A zone has one watcher for this many VMs, but at least `kMinWatchers`.
  static constexpr std::size_t kVmsPerWatcher = 16;
  static constexpr std::size_t kMinWatchers = 2;
  /// Each VM gets relayed updates from this many watchers.
  static constexpr std::size_t kWatchersPerVm = 2;
  /// Watchers report twice a second. A watcher is silent when three reports are
  /// missing.
  static constexpr milliseconds kReportTimeout{ 1500 };
  /// When the store does not answer the watchers, a few other VMs watch, since
  /// the store may refuse only some VMs. Calls from all VMs would overload it.
  static constexpr std::size_t kInitialStandbyWatchers = 2;
  static constexpr std::size_t kMaxStandbyWatchers = 6;
  static constexpr milliseconds kMoreStandbyWatchersAfter{ 500 };
  /// How long a starting VM waits for its peers before it asks the store. Seeds
  /// answer within milliseconds, so less than one tick (50 ms) is enough; a
  /// peer with complete state needs longer to transfer it.
  static constexpr milliseconds kSeedTimeout{ 40 };
  static constexpr milliseconds kTransferTimeout{ 400 };
  /// The same in the first start of a whole deployment, for watchers and for
  /// other VMs: VMs find each other before they ask the store, and the watchers
  /// transfer their state to most of them.
  static constexpr milliseconds kFirstStartTimeout{ 1500 };
  static constexpr milliseconds kFirstTransferTimeout{ 3500 };

  /// State of a VM that determines its role.
  struct RoleInputs
  {
    bool mHasLists = false; ///< Upstreams and evacuated zones were listed.
    bool mHasCompletePeer = false; ///< Some peer has complete state.
    bool mIsFirstStart = false;    ///< First start of the whole deployment.
  };

  WatchRelay() = default;
  explicit WatchRelay(Mechanisms aMechanisms)
    : mMechanisms(aMechanisms)
  {
  }

  void SetTimes(WatchTimes const& aTimes) { mTimes = aTimes; }
  WatchTimes const& Times() const { return mTimes; }
  /// Records the age of the state of a peer that watches the store.
  void RecordReport(TimePoint aNow,
                    std::string const& aPeer,
                    milliseconds aAge);
  /// Returns the role of this VM. `aMembers` holds the members of all zones,
  /// including itself.
  WatchRole Role(TimePoint aNow,
                 std::vector<Member> const& aMembers,
                 std::string const& aSelf,
                 RoleInputs const& aInputs);
  /// Whether any peer has reported fresh watches.
  bool HasFreshPeerWatch(TimePoint aNow) const;
  /// Returns the members to which a watching VM relays updates and reports. A
  /// standby watcher relays to its whole zone, since no other VM may have its
  /// updates. So that no other watcher has to confirm its position, the
  /// confirming watcher relays to the first watcher of each zone too, and that
  /// one to all watchers of its zone.
  static std::vector<Member> Recipients(std::vector<Member> const& aMembers,
                                        std::string const& aSelf,
                                        WatchRole aRole);

private:
  struct PeerWatch
  {
    TimePoint mFreshAt{};
    TimePoint mReportedAt{};
  };

  bool WaitsForPeers(TimePoint aNow,
                     bool aIsWatcher,
                     RoleInputs const& aInputs) const;
  /// Returns the role of a VM that is not one of its zone's watchers.
  WatchRole NonWatcherRole(TimePoint aNow,
                           std::vector<Member> const& aRankedBefore,
                           std::size_t aWatchers) const;
  /// Returns the newest times of the reports of these members.
  PeerWatch NewestReport(std::vector<Member> const& aMembers) const;

  Mechanisms mMechanisms;
  WatchTimes mTimes;
  TimePoint mStarted{};
  std::map<std::string, PeerWatch> mPeers;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
