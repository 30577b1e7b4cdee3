#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"

#include <algorithm>
#include <map>
#include <set>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr WatchRelay::RoleInputs kCompleteInputs{ true, true, false };

std::vector<Member>
Zone(std::size_t aCount,
     MemberStage aStage = MemberStage::Serving,
     std::string const& aName = "a")
{
  std::vector<Member> members;
  for (std::size_t index = 0; index < aCount; ++index) {
    Member member;
    member.mName =
      (aName == "a" ? "vm-" : aName + "-vm-") + std::to_string(index);
    member.mZone = aName;
    member.mStage = aStage;
    members.push_back(member);
  }
  return members;
}

/// The VMs of a zone, each with its own relay.
class SimulatedZone
{
public:
  explicit SimulatedZone(std::size_t aCount)
    : mMembers(Zone(aCount))
    , mRelays(aCount)
  {
  }

  WatchRole RoleOf(TimePoint aNow, std::size_t aIndex)
  {
    return mRelays[aIndex].Role(
      aNow, mMembers, mMembers[aIndex].mName, kCompleteInputs);
  }

  /// Returns the indices of the VMs with a role.
  std::vector<std::size_t> IndicesWith(TimePoint aNow, WatchRole aRole)
  {
    std::vector<std::size_t> indices;
    for (std::size_t index = 0; index < mRelays.size(); ++index) {
      if (RoleOf(aNow, index) == aRole) {
        indices.push_back(index);
      }
    }
    return indices;
  }

  /// Reports the age of one VM's watches to all other VMs.
  void Report(TimePoint aNow, std::size_t aFrom, milliseconds aAge)
  {
    for (std::size_t index = 0; index < mRelays.size(); ++index) {
      if (index != aFrom) {
        mRelays[index].RecordReport(aNow, mMembers[aFrom].mName, aAge);
      }
    }
  }

  std::vector<Member> const& Members() const { return mMembers; }

private:
  std::vector<Member> mMembers;
  std::vector<WatchRelay> mRelays;
};

} // namespace

TEST_GROUP(WatchRelay)
{
  SimulatedZone mZone{ 20 };
  std::vector<std::size_t> mWatchers;

  void setup() override
  {
    mWatchers = mZone.IndicesWith(kStart, WatchRole::Watcher);
    auto const confirming =
      mZone.IndicesWith(kStart, WatchRole::ConfirmingWatcher);
    mWatchers.insert(mWatchers.end(), confirming.begin(), confirming.end());
    ReportAll(kStart, milliseconds{ 0 });
  }

  void ReportAll(TimePoint aNow, milliseconds aAge)
  {
    for (auto const watcher : mWatchers) {
      mZone.Report(aNow, watcher, aAge);
    }
  }

  std::size_t Count(TimePoint aNow, WatchRole aRole)
  {
    return mZone.IndicesWith(aNow, aRole).size();
  }
};

TEST(WatchRelay, a_zone_of_twenty_vms_has_two_watchers)
{
  LONGS_EQUAL(2, mWatchers.size());
  LONGS_EQUAL(1, Count(kStart, WatchRole::ConfirmingWatcher));
  LONGS_EQUAL(18, Count(kStart, WatchRole::ReliesOnPeers));
}

TEST(WatchRelay, a_few_standby_watchers_watch_while_watchers_get_no_answer)
{
  // The watchers keep reporting, but the age of their watches grows.
  auto const age = milliseconds{ 2100 };
  ReportAll(kStart + age, age);
  LONGS_EQUAL(2, Count(kStart + age, WatchRole::StandbyWatcher));
  auto const later = milliseconds{ 9000 };
  ReportAll(kStart + later, later);
  LONGS_EQUAL(6, Count(kStart + later, WatchRole::StandbyWatcher));
  LONGS_EQUAL(0, Count(kStart + later, WatchRole::FallbackWatcher));
  LONGS_EQUAL(12, Count(kStart + later, WatchRole::ReliesOnPeers));
}

TEST(WatchRelay, an_answered_standby_watcher_lets_lower_ranked_ones_stop)
{
  auto const age = milliseconds{ 3000 };
  auto const now = kStart + age;
  ReportAll(now, age);
  auto const standbyWatchers =
    mZone.IndicesWith(now, WatchRole::StandbyWatcher);
  LONGS_EQUAL(6, standbyWatchers.size());
  for (auto const index : standbyWatchers) {
    auto const recipients = WatchRelay::Recipients(
      mZone.Members(), mZone.Members()[index].mName, WatchRole::StandbyWatcher);
    LONGS_EQUAL(19, recipients.size());
    mZone.Report(now, index, milliseconds{ 0 });
  }
  LONGS_EQUAL(1, Count(now, WatchRole::StandbyWatcher));
  LONGS_EQUAL(1, Count(now, WatchRole::Watcher));
  LONGS_EQUAL(1, Count(now, WatchRole::ConfirmingWatcher));
}

TEST(WatchRelay, one_watch_confirms_the_position_for_all_vms)
{
  WatchTimes const times;
  auto const confirming = WatchRole::ConfirmingWatcher;
  CHECK(times.ConfirmAfter(confirming, ObjectKind::Upstreams) < times.mWait);
  CHECK(times.ConfirmAfter(confirming, ObjectKind::Evacuations) > times.mWait);
  CHECK(times.ConfirmAfter(WatchRole::Watcher, ObjectKind::Upstreams) >
        times.mWait);
}

TEST(WatchRelay, a_change_is_known_in_time_however_far_replicas_lag)
{
  for (milliseconds const maxChangeTime :
       { seconds{ 1 }, seconds{ 3 }, seconds{ 9 } }) {
    auto const times = WatchTimes::For(maxChangeTime);
    // The watch is confirmed after the wait during which its position gets too
    // old.
    CHECK(times.mConfirmAfter + times.mWait <= maxChangeTime * 2 / 3);
  }
}

TEST(WatchRelay, the_confirming_watcher_reports_to_all_other_watchers)
{
  constexpr std::size_t kFourWatchers = 4 * WatchRelay::kVmsPerWatcher;
  SimulatedZone zone{ kFourWatchers };
  auto const watchers = zone.IndicesWith(kStart, WatchRole::Watcher);
  LONGS_EQUAL(3, watchers.size());
  auto const first =
    zone.IndicesWith(kStart, WatchRole::ConfirmingWatcher).front();
  auto const recipients = WatchRelay::Recipients(
    zone.Members(), zone.Members()[first].mName, WatchRole::ConfirmingWatcher);
  for (auto const watcher : watchers) {
    auto const& name = zone.Members()[watcher].mName;
    LONGS_EQUAL(1,
                std::count_if(recipients.begin(),
                              recipients.end(),
                              [&](Member const& aMember) {
                                return aMember.mName == name;
                              }));
  }
}

TEST(WatchRelay, vms_without_reports_of_watchers_watch_for_themselves)
{
  auto const now = kStart + WatchTimes{}.mFreshFor;
  LONGS_EQUAL(18, Count(now, WatchRole::FallbackWatcher));
}

TEST(WatchRelay, a_starting_vm_asks_its_peers_before_the_store)
{
  auto const members = Zone(20);
  auto const roleAfter = [&](milliseconds aTime, bool aHasCompletePeer) {
    WatchRelay relay;
    WatchRelay::RoleInputs const inputs{ false, aHasCompletePeer, false };
    (void)relay.Role(kStart, members, "vm-3", inputs);
    return relay.Role(kStart + aTime, members, "vm-3", inputs);
  };
  CHECK(roleAfter(milliseconds{ 30 }, false) == WatchRole::ReliesOnPeers);
  CHECK(roleAfter(milliseconds{ 50 }, false) == WatchRole::Watcher);
  CHECK(roleAfter(milliseconds{ 100 }, true) == WatchRole::ReliesOnPeers);
  CHECK(roleAfter(milliseconds{ 400 }, true) == WatchRole::Watcher);
}

TEST(WatchRelay, in_a_first_start_only_watchers_ask_the_store_early)
{
  auto const members = Zone(20, MemberStage::Joining);
  WatchRelay::RoleInputs const inputs{ false, false, true };
  std::size_t early = 0;
  std::size_t late = 0;
  for (auto const& member : members) {
    WatchRelay relay;
    (void)relay.Role(kStart, members, member.mName, inputs);
    auto const at = [&](milliseconds aTime) {
      return relay.Role(kStart + aTime, members, member.mName, inputs) ==
             WatchRole::Watcher;
    };
    early += at(WatchRelay::kFirstStartTimeout) ? 1 : 0;
    late += at(WatchRelay::kFirstTransferTimeout) ? 1 : 0;
  }
  LONGS_EQUAL(2, early);
  LONGS_EQUAL(20, late);
}

TEST(WatchRelay, times_are_derived_from_the_max_change_time)
{
  auto const times = WatchTimes::For(milliseconds{ 3000 });
  LONGS_EQUAL(WatchTimes{}.mWait.count(), times.mWait.count());
  LONGS_EQUAL(WatchTimes{}.mFreshFor.count(), times.mFreshFor.count());
  // The max change time includes the time for a watch that gets no answer and
  // for its renewal.
  auto const longer = WatchTimes::For(milliseconds{ 6000 });
  LONGS_EQUAL(1600, longer.mWait.count());
  LONGS_EQUAL(4000, longer.mFreshFor.count());
}

TEST(WatchRelay, the_confirmed_position_reaches_every_watcher_of_every_zone)
{
  constexpr std::size_t kThreeWatchers = 3 * WatchRelay::kVmsPerWatcher;
  std::vector<Member> members;
  for (char const* zone : { "a", "b", "c" }) {
    auto const added = Zone(kThreeWatchers, MemberStage::Serving, zone);
    members.insert(members.end(), added.begin(), added.end());
  }
  std::map<WatchRole, std::vector<std::string>> namesByRole;
  for (auto const& member : members) {
    WatchRelay relay;
    namesByRole[relay.Role(kStart, members, member.mName, kCompleteInputs)]
      .push_back(member.mName);
  }
  LONGS_EQUAL(1, namesByRole[WatchRole::ConfirmingWatcher].size());
  LONGS_EQUAL(8, namesByRole[WatchRole::Watcher].size());
  // Each watcher that hears of the position reports it in turn.
  auto const& confirming = namesByRole[WatchRole::ConfirmingWatcher].front();
  std::set<std::string> informed{ confirming };
  std::vector<std::string> next{ confirming };
  while (!next.empty()) {
    auto const self = next.back();
    next.pop_back();
    auto const role =
      self == confirming ? WatchRole::ConfirmingWatcher : WatchRole::Watcher;
    for (auto const& member : WatchRelay::Recipients(members, self, role)) {
      auto const& watchers = namesByRole[WatchRole::Watcher];
      bool const isWatcher =
        std::count(watchers.begin(), watchers.end(), member.mName) > 0;
      if (informed.insert(member.mName).second && isWatcher) {
        next.push_back(member.mName);
      }
    }
  }
  LONGS_EQUAL(members.size(), informed.size());
}
