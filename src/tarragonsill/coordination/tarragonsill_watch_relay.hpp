#ifndef TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
#define TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED

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
enum class WatchDuty : std::uint8_t
{
  Rely,     ///< Others watch and pass on.
  Regular,  ///< It is one of its zone's watchers, or has just started.
  Fallback, ///< It watches as nobody seems to; others may do the same.
};

std::string_view ToText(WatchDuty aDuty);

class WatchRelay
{
public:
  /// One watcher for this many VMs of a zone, but at least two.
  static constexpr std::size_t kVmsPerWatcher = 16;
  static constexpr std::size_t kLeastWatchers = 2;
  /// Every VM is told by this many watchers.
  static constexpr std::size_t kWatchersPerVm = 2;
  /// Every VM watches at its start, until its peers are known.
  static constexpr milliseconds kStartTime{ 1000 };
  /// What was fresh longer ago than this is not relied on; less than the
  /// bound for a new configuration in the operators' deployments (3 s).
  static constexpr milliseconds kFreshFor{ 2000 };

  /// A peer reported the age of its watches.
  void Hear(TimePoint aNow, std::string const& aPeer, milliseconds aAge);
  /// The duty of this VM. The members are those of its zone, itself included.
  WatchDuty Duty(TimePoint aNow,
                 std::vector<Member> const& aZone,
                 std::string const& aSelf);
  /// Whether some peer's watches are fresh.
  bool HearsFreshWatch(TimePoint aNow) const;
  /// The members to which a VM on duty passes on what it hears.
  static std::vector<Member> Audience(std::vector<Member> const& aZone,
                                      std::string const& aSelf);

private:
  static std::vector<Member> Watchers(std::vector<Member> const& aZone);

  TimePoint mStarted{};
  /// When each peer's watches were fresh last.
  std::map<std::string, TimePoint> mFreshAt;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_WATCH_RELAY_HPP_INCLUDED
