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

} // namespace

std::string_view
ToText(WatchDuty aDuty)
{
  switch (aDuty) {
    case WatchDuty::Rely:
      return "rely_on_peers";
    case WatchDuty::Regular:
      return "watch";
    case WatchDuty::Fallback:
      return "watch_as_nobody_seems_to";
  }
  return "unknown";
}

void
WatchRelay::Hear(TimePoint aNow, std::string const& aPeer, milliseconds aAge)
{
  auto& freshAt = mFreshAt[aPeer];
  freshAt = std::max(freshAt, aNow - aAge);
}

std::vector<Member>
WatchRelay::Watchers(std::vector<Member> const& aZone)
{
  std::vector<Member> serving;
  for (auto const& member : aZone) {
    if (member.IsServing()) {
      serving.push_back(member);
    }
  }
  auto const count = std::max(
    kLeastWatchers, (serving.size() + kVmsPerWatcher - 1) / kVmsPerWatcher);
  std::vector<Member> watchers;
  for (auto const index :
       RankCandidates(kWatcherKey, HashesOf(serving), count)) {
    watchers.push_back(serving[index]);
  }
  return watchers;
}

bool
WatchRelay::HearsFreshWatch(TimePoint aNow) const
{
  return std::any_of(mFreshAt.begin(), mFreshAt.end(), [&](auto const& aPeer) {
    return aNow < aPeer.second + kFreshFor;
  });
}

WatchDuty
WatchRelay::Duty(TimePoint aNow,
                 std::vector<Member> const& aZone,
                 std::string const& aSelf)
{
  if (mStarted == TimePoint{}) {
    mStarted = aNow;
  }
  auto const watchers = Watchers(aZone);
  bool const isWatcher =
    std::any_of(watchers.begin(), watchers.end(), [&](Member const& aWatcher) {
      return aWatcher.mName == aSelf;
    });
  if (isWatcher || aNow < mStarted + kStartTime) {
    return WatchDuty::Regular;
  }
  return HearsFreshWatch(aNow) ? WatchDuty::Rely : WatchDuty::Fallback;
}

std::vector<Member>
WatchRelay::Audience(std::vector<Member> const& aZone, std::string const& aSelf)
{
  auto const watchers = Watchers(aZone);
  auto const hashes = HashesOf(watchers);
  std::vector<Member> audience;
  for (auto const& member : aZone) {
    if (member.mName == aSelf || member.mHealth == MemberHealth::Gone) {
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
