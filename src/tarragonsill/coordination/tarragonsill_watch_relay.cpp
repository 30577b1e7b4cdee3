#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// The key under which watchers are drawn among the VMs of a zone.
constexpr std::uint64_t kWatcherKey = 0x77617463;

std::vector<std::uint64_t>
HashesOf(std::vector<Member> const& aMembers)
{
  std::vector<std::uint64_t> hashes;
  for (auto const& member : aMembers) {
    hashes.push_back(member.NameHash());
  }
  return hashes;
}

std::vector<Member>
ServingOf(std::vector<Member> aZone)
{
  std::erase_if(aZone,
                [](auto const& aMember) { return !aMember.IsServing(); });
  return aZone;
}

/// Those that are drawn as watchers before one of the members; all of them if
/// it is none of them.
std::vector<Member>
DrawnBefore(std::vector<Member> aMembers, std::string const& aName)
{
  bool const isThere =
    std::any_of(aMembers.begin(), aMembers.end(), [&](Member const& aMember) {
      return aMember.mName == aName;
    });
  if (!isThere) {
    return aMembers;
  }
  auto const own = PlacementScore(kWatcherKey, HashText(aName));
  std::erase_if(aMembers, [&](Member const& aMember) {
    return PlacementScore(kWatcherKey, aMember.NameHash()) <= own;
  });
  return aMembers;
}

std::size_t
WatcherCount(std::size_t aServing)
{
  constexpr auto kVms = WatchRelay::kVmsPerWatcher;
  return std::max(WatchRelay::kMinWatchers, (aServing + kVms - 1) / kVms);
}

std::vector<Member>
Watchers(std::vector<Member> const& aZone)
{
  auto const serving = ServingOf(aZone);
  std::vector<Member> watchers;
  for (auto const index : RankCandidates(
         kWatcherKey, HashesOf(serving), WatcherCount(serving.size()))) {
    watchers.push_back(serving[index]);
  }
  return watchers;
}

} // namespace

WatchTimes
WatchTimes::For(milliseconds aChangeInForce)
{
  // A VM that finds what it knows too old still has a third of the time left to
  // ask the store itself; several answers come while it is fresh.
  return { aChangeInForce * 4 / 15, aChangeInForce * 2 / 3 };
}

std::string_view
ToText(WatchRole aRole)
{
  switch (aRole) {
    case WatchRole::ReliesOnPeers:
      return "rely_on_peers";
    case WatchRole::Watcher:
      return "watch";
    case WatchRole::StandbyWatcher:
      return "watch_as_watchers_get_no_answer";
    case WatchRole::FallbackWatcher:
      return "watch_as_no_watcher_is_heard";
  }
  return "unknown";
}

void
WatchRelay::Hear(TimePoint aNow, std::string const& aPeer, milliseconds aAge)
{
  auto& peer = mPeers[aPeer];
  peer.mFreshAt = std::max(peer.mFreshAt, aNow - aAge);
  peer.mHeardAt = aNow;
}

WatchRelay::PeerWatch
WatchRelay::Newest(std::vector<Member> const& aMembers) const
{
  PeerWatch newest;
  for (auto const& member : aMembers) {
    auto const peer = mPeers.find(member.mName);
    if (peer == mPeers.end()) {
      continue;
    }
    newest.mFreshAt = std::max(newest.mFreshAt, peer->second.mFreshAt);
    newest.mHeardAt = std::max(newest.mHeardAt, peer->second.mHeardAt);
  }
  return newest;
}

bool
WatchRelay::HearsFreshWatch(TimePoint aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](auto const& aPeer) {
    return aNow < aPeer.second.mFreshAt + mTimes.mFreshFor;
  });
}

bool
WatchRelay::WaitsForPeers(TimePoint aNow,
                          bool aIsWatcher,
                          Situation const& aSituation) const
{
  if (!mMechanisms.Uses(Mechanism::PeersFirst)) {
    return false;
  }
  auto const since = aNow - mStarted;
  if (aSituation.mIsFirstStart) {
    return since < (aIsWatcher ? kFirstStartTime : kFirstHandOverTime);
  }
  return since < (aSituation.mPeerKnows ? kHandOverTime : kSeedTime);
}

WatchRole
WatchRelay::Role(TimePoint aNow,
                 std::vector<Member> const& aZone,
                 std::string const& aSelf,
                 Situation const& aSituation)
{
  if (mStarted == TimePoint{}) {
    mStarted = aNow;
  }
  if (!aSituation.mKnowsLists) {
    // Nobody serves in a first start.
    bool const isFirst =
      DrawnBefore(aZone, aSelf).size() < WatcherCount(aZone.size());
    return WaitsForPeers(aNow, isFirst, aSituation) ? WatchRole::ReliesOnPeers
                                                    : WatchRole::Watcher;
  }
  if (!mMechanisms.Uses(Mechanism::DrawnWatchers)) {
    return WatchRole::Watcher;
  }
  auto const serving = ServingOf(aZone);
  auto const watchers = WatcherCount(serving.size());
  auto const before = DrawnBefore(serving, aSelf);
  if (before.size() < watchers) {
    return WatchRole::Watcher;
  }
  return NonWatcherRole(aNow, before, watchers);
}

WatchRole
WatchRelay::NonWatcherRole(TimePoint aNow,
                           std::vector<Member> const& aBefore,
                           std::size_t aWatchers) const
{
  auto const newest = Newest(aBefore);
  if (aNow < newest.mFreshAt + mTimes.mFreshFor) {
    return WatchRole::ReliesOnPeers;
  }
  // In a large zone every VM hears only two of many watchers.
  bool const hearsAllWatchers = aWatchers <= kWatchersPerVm;
  if (aNow >= newest.mHeardAt + kHeardFor || !hearsAllWatchers) {
    return WatchRole::FallbackWatcher;
  }
  auto const standbyWatchers =
    aNow < newest.mFreshAt + mTimes.mFreshFor + kMoreStandbyWatchersAfter
      ? kInitialStandbyWatchers
      : kMaxStandbyWatchers;
  return aBefore.size() < aWatchers + standbyWatchers
           ? WatchRole::StandbyWatcher
           : WatchRole::ReliesOnPeers;
}

std::vector<Member>
WatchRelay::Audience(std::vector<Member> const& aZone,
                     std::string const& aSelf,
                     WatchRole aRole)
{
  auto const watchers = Watchers(aZone);
  auto const hashes = HashesOf(watchers);
  std::vector<Member> audience;
  for (auto const& member : aZone) {
    if (member.mName == aSelf || member.mHealth == MemberHealth::Gone) {
      continue;
    }
    if (aRole == WatchRole::StandbyWatcher) {
      audience.push_back(member);
      continue;
    }
    for (auto const index :
         RankCandidates(member.NameHash(), hashes, kWatchersPerVm)) {
      if (watchers[index].mName == aSelf) {
        audience.push_back(member);
      }
    }
  }
  return audience;
}

} // namespace tarragonsill
