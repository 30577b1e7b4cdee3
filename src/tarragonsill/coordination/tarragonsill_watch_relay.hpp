#ifndef TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
#define TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Decides which VMs of a zone watch the store, and to whom each of them passes
/// on what it hears. A VM that hears of no fresh watch watches itself, so that
/// a cut or a refusal by the store never leaves it on old knowledge.
namespace tarragonsill {

/// What a VM does about the store.
enum class WatchRole : std::uint8_t
{
  ReliesOnPeers, ///< Others watch and pass on.
  Watcher, ///< It is one of its zone's watchers, or nobody told it anything.
  StandbyWatcher,  ///< It watches as the store does not answer its zone's
                   ///< watchers.
  FallbackWatcher, ///< It watches for itself, as it hears no watcher.
};

std::string_view ToText(WatchRole aRole);

/// The times of watches, as parts of the time in which a change has to be in
/// force. Waits are short, so that a watch that hears nothing is soon made
/// anew.
struct WatchTimes
{
  /// How long the store may hold back its answer while nothing changes.
  milliseconds mWait{ 800 };
  /// What was fresh longer ago than this is not relied on.
  milliseconds mFreshFor{ 2000 };

  static WatchTimes For(milliseconds aChangeInForce);
};

class WatchRelay
{
public:
  /// One watcher for this many VMs of a zone, but at least two.
  static constexpr std::size_t kVmsPerWatcher = 16;
  static constexpr std::size_t kMinWatchers = 2;
  /// Every VM is told by this many watchers.
  static constexpr std::size_t kWatchersPerVm = 2;
  /// Watchers report twice a second; three reports are missing.
  static constexpr milliseconds kReportTimeout{ 1500 };
  /// When the store does not answer the watchers, a few others try: it may
  /// refuse only some VMs. All of them at once would be a storm of calls.
  static constexpr std::size_t kInitialStandbyWatchers = 2;
  static constexpr std::size_t kMaxStandbyWatchers = 6;
  static constexpr milliseconds kMoreStandbyWatchersAfter{ 500 };
  /// A VM that starts asks its peers first. Seeds answer within milliseconds,
  /// so one tick (50 ms) is enough; one that knows everything hands it over in
  /// some more.
  static constexpr milliseconds kSeedTimeout{ 40 };
  static constexpr milliseconds kTransferTimeout{ 400 };
  /// When the whole deployment starts for the first time, VMs find each other
  /// before they ask the store, and most of them are told by its watchers.
  static constexpr milliseconds kFirstStartTimeout{ 1500 };
  static constexpr milliseconds kFirstTransferTimeout{ 3500 };

  /// What this VM knows when it decides.
  struct RoleInputs
  {
    bool mHasLists = false; ///< Upstreams and evacuated zones were listed.
    bool mHasCompletePeer = false; ///< Some peer knows everything.
    bool mIsFirstStart = false;    ///< Of the whole deployment.
  };

  WatchRelay() = default;
  explicit WatchRelay(Mechanisms aMechanisms)
    : mMechanisms(aMechanisms)
  {
  }

  void SetTimes(WatchTimes const& aTimes) { mTimes = aTimes; }
  WatchTimes const& Times() const { return mTimes; }
  /// A peer reported the age of its watches.
  void RecordReport(TimePoint aNow,
                    std::string const& aPeer,
                    milliseconds aAge);
  /// The duty of this VM. The members are those of its zone, itself included.
  WatchRole Role(TimePoint aNow,
                 std::vector<Member> const& aZone,
                 std::string const& aSelf,
                 RoleInputs const& aInputs);
  /// Whether some peer's watches are fresh.
  bool HasFreshPeerWatch(TimePoint aNow) const;
  /// The members to which a VM on duty passes on what it hears. What a
  /// stand-in hears nobody else may know.
  static std::vector<Member> Recipients(std::vector<Member> const& aZone,
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
  /// The duty of a VM that is none of its zone's watchers.
  WatchRole NonWatcherRole(TimePoint aNow,
                           std::vector<Member> const& aRankedBefore,
                           std::size_t aWatchers) const;
  /// The newest report of any of these.
  PeerWatch NewestReport(std::vector<Member> const& aMembers) const;

  Mechanisms mMechanisms;
  WatchTimes mTimes;
  TimePoint mStarted{};
  std::map<std::string, PeerWatch> mPeers;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
