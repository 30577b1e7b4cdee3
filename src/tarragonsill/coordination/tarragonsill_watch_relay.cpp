#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Key of the rendezvous hash that ranks the VMs of a zone as watchers.
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

/// Returns the members of the zone of the named one.
std::vector<Member>
ZoneOf(std::vector<Member> aMembers, std::string const& aName)
{
  auto const self =
    std::find_if(aMembers.begin(), aMembers.end(), [&](Member const& aMember) {
      return aMember.mName == aName;
    });
  auto const zone = self == aMembers.end() ? std::string() : self->mZone;
  std::erase_if(aMembers,
                [&](Member const& aMember) { return aMember.mZone != zone; });
  return aMembers;
}

/// Returns the members that rank before the named one as watchers, or all
/// members if it is not among them.
std::vector<Member>
RankedBefore(std::vector<Member> aMembers, std::string const& aName)
{
  bool const isMember =
    std::any_of(aMembers.begin(), aMembers.end(), [&](Member const& aMember) {
      return aMember.mName == aName;
    });
  if (!isMember) {
    return aMembers;
  }
  auto const own = PlacementScore(kWatcherKey, HashText(aName));
  std::erase_if(aMembers, [&](Member const& aMember) {
    return PlacementScore(kWatcherKey, aMember.NameHash()) <= own;
  });
  return aMembers;
}

/// Returns the names of the first watchers of all zones, by zone.
std::map<std::string, std::string>
FirstWatchers(std::vector<Member> const& aMembers)
{
  std::map<std::string, Member const*> first;
  for (auto const& member : aMembers) {
    if (!member.IsServing()) {
      continue;
    }
    auto& best = first[member.mZone];
    bool const isBetter =
      best == nullptr || PlacementScore(kWatcherKey, member.NameHash()) >
                           PlacementScore(kWatcherKey, best->NameHash());
    best = isBetter ? &member : best;
  }
  std::map<std::string, std::string> names;
  for (auto const& [zone, member] : first) {
    names[zone] = member->mName;
  }
  return names;
}

/// Whether the named member serves and ranks before all other ones that do.
bool
RanksFirst(std::vector<Member> const& aMembers, std::string const& aName)
{
  auto const own = PlacementScore(kWatcherKey, HashText(aName));
  bool isServing = false;
  for (auto const& member : aMembers) {
    if (!member.IsServing()) {
      continue;
    }
    isServing = isServing || member.mName == aName;
    if (PlacementScore(kWatcherKey, member.NameHash()) > own) {
      return false;
    }
  }
  return isServing;
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
WatchTimes::For(milliseconds aMaxChangeTime)
{
  // A VM whose state is stale still has a third of the time left to ask the
  // store itself. Several answers arrive while a watch counts as fresh. A
  // position that gets too old during a wait is confirmed after it.
  auto const wait = aMaxChangeTime * 4 / 15;
  return { wait, aMaxChangeTime * 2 / 3, wait * 3 / 2, wait / 2 };
}

milliseconds
WatchTimes::ConfirmAfter(WatchRole aRole, ObjectKind aKind) const
{
  // An answer confirms the position of the store, not only of one kind.
  bool const confirmsForAll =
    aRole == WatchRole::ConfirmingWatcher && aKind == ObjectKind::Upstreams;
  return confirmsForAll ? mConfirmForAllAfter : mConfirmAfter;
}

std::string_view
ToText(WatchRole aRole)
{
  switch (aRole) {
    case WatchRole::ReliesOnPeers:
      return "rely_on_peers";
    case WatchRole::Watcher:
      return "watch";
    case WatchRole::ConfirmingWatcher:
      return "watch_and_confirm";
    case WatchRole::StandbyWatcher:
      return "watch_as_watchers_get_no_answer";
    case WatchRole::FallbackWatcher:
      return "watch_as_no_watcher_is_heard";
  }
  return "unknown";
}

void
WatchRelay::RecordReport(TimePoint aNow,
                         std::string const& aPeer,
                         milliseconds aAge)
{
  auto& peer = mPeers[aPeer];
  peer.mFreshAt = std::max(peer.mFreshAt, aNow - aAge);
  peer.mReportedAt = aNow;
}

WatchRelay::PeerWatch
WatchRelay::NewestReport(std::vector<Member> const& aMembers) const
{
  PeerWatch newest;
  for (auto const& member : aMembers) {
    auto const peer = mPeers.find(member.mName);
    if (peer == mPeers.end()) {
      continue;
    }
    newest.mFreshAt = std::max(newest.mFreshAt, peer->second.mFreshAt);
    newest.mReportedAt = std::max(newest.mReportedAt, peer->second.mReportedAt);
  }
  return newest;
}

bool
WatchRelay::HasFreshPeerWatch(TimePoint aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](auto const& aPeer) {
    return aNow < aPeer.second.mFreshAt + mTimes.mFreshFor;
  });
}

bool
WatchRelay::WaitsForPeers(TimePoint aNow,
                          bool aIsWatcher,
                          RoleInputs const& aInputs) const
{
  if (!mMechanisms.Uses(Mechanism::PeersFirst)) {
    return false;
  }
  auto const since = aNow - mStarted;
  if (aInputs.mIsFirstStart) {
    return since < (aIsWatcher ? kFirstStartTimeout : kFirstTransferTimeout);
  }
  return since < (aInputs.mHasCompletePeer ? kTransferTimeout : kSeedTimeout);
}

WatchRole
WatchRelay::Role(TimePoint aNow,
                 std::vector<Member> const& aMembers,
                 std::string const& aSelf,
                 RoleInputs const& aInputs)
{
  auto const zone = ZoneOf(aMembers, aSelf);
  if (mStarted == TimePoint{}) {
    mStarted = aNow;
  }
  if (!aInputs.mHasLists) {
    // No member is serving in a first start, so all of them are ranked.
    bool const isWatcher =
      RankedBefore(zone, aSelf).size() < WatcherCount(zone.size());
    return WaitsForPeers(aNow, isWatcher, aInputs) ? WatchRole::ReliesOnPeers
                                                   : WatchRole::Watcher;
  }
  if (!mMechanisms.Uses(Mechanism::DrawnWatchers)) {
    return WatchRole::Watcher;
  }
  auto const serving = ServingOf(zone);
  auto const watchers = WatcherCount(serving.size());
  auto const rankedBefore = RankedBefore(serving, aSelf);
  if (RanksFirst(aMembers, aSelf)) {
    return WatchRole::ConfirmingWatcher;
  }
  if (rankedBefore.size() < watchers) {
    return WatchRole::Watcher;
  }
  return NonWatcherRole(aNow, rankedBefore, watchers);
}

WatchRole
WatchRelay::NonWatcherRole(TimePoint aNow,
                           std::vector<Member> const& aRankedBefore,
                           std::size_t aWatchers) const
{
  auto const newest = NewestReport(aRankedBefore);
  if (aNow < newest.mFreshAt + mTimes.mFreshFor) {
    return WatchRole::ReliesOnPeers;
  }
  // In a large zone each VM gets reports from only two of many watchers.
  bool const hasReportsOfAllWatchers = aWatchers <= kWatchersPerVm;
  if (aNow >= newest.mReportedAt + kReportTimeout || !hasReportsOfAllWatchers) {
    return WatchRole::FallbackWatcher;
  }
  auto const standbyWatchers =
    aNow < newest.mFreshAt + mTimes.mFreshFor + kMoreStandbyWatchersAfter
      ? kInitialStandbyWatchers
      : kMaxStandbyWatchers;
  return aRankedBefore.size() < aWatchers + standbyWatchers
           ? WatchRole::StandbyWatcher
           : WatchRole::ReliesOnPeers;
}

std::vector<Member>
WatchRelay::Recipients(std::vector<Member> const& aMembers,
                       std::string const& aSelf,
                       WatchRole aRole)
{
  auto const zone = ZoneOf(aMembers, aSelf);
  auto const watchers = Watchers(zone);
  auto const hashes = HashesOf(watchers);
  auto const firstWatchers = FirstWatchers(aMembers);
  auto const isFirstWatcher = [&](Member const& aMember) {
    auto const first = firstWatchers.find(aMember.mZone);
    return first != firstWatchers.end() && first->second == aMember.mName;
  };
  bool const relaysToWatchers = RanksFirst(zone, aSelf);
  auto const isOwnRecipient = [&](Member const& aMember) {
    auto const drawn =
      RankCandidates(aMember.NameHash(), hashes, kWatchersPerVm);
    bool const reliesOnSelf =
      std::any_of(drawn.begin(), drawn.end(), [&](auto aIndex) {
        return watchers[aIndex].mName == aSelf;
      });
    bool const isWatcher = std::any_of(
      watchers.begin(), watchers.end(), [&](Member const& aWatcher) {
        return aWatcher.mName == aMember.mName;
      });
    return aRole == WatchRole::StandbyWatcher || reliesOnSelf ||
           (relaysToWatchers && isWatcher);
  };
  std::vector<Member> recipients;
  for (auto const& member : aMembers) {
    if (member.mName == aSelf || member.mHealth == MemberHealth::Gone) {
      continue;
    }
    bool const isOwnZone = !zone.empty() && member.mZone == zone.front().mZone;
    bool const isRecipient =
      isOwnZone
        ? isOwnRecipient(member)
        : aRole == WatchRole::ConfirmingWatcher && isFirstWatcher(member);
    if (isRecipient) {
      recipients.push_back(member);
    }
  }
  return recipients;
}

} // namespace tarragonsill
