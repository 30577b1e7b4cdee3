#include "tarragonsill/coordination/tarragonsill_restart_relay.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <set>

namespace tarragonsill {

namespace {

/// Returns the members that serve in a zone and rank first for a key.
std::vector<Member>
FirstOfZone(std::vector<Member> const& aMembers,
            std::string const& aZone,
            std::uint64_t aKey,
            std::size_t aMax)
{
  std::vector<Member const*> zone;
  std::vector<std::uint64_t> hashes;
  for (auto const& member : aMembers) {
    if (member.mZone != aZone || !member.IsServing()) {
      continue;
    }
    zone.push_back(&member);
    hashes.push_back(member.NameHash());
  }
  std::vector<Member> first;
  for (auto const index : RankCandidates(aKey, hashes, aMax)) {
    first.push_back(*zone[index]);
  }
  return first;
}

} // namespace

UpstreamRestarts
RestartRelay::TakeNew(UpstreamRestarts const& aObserved)
{
  UpstreamRestarts fresh;
  std::map<std::string, UpstreamRestart> reported;
  for (auto const& restart : aObserved) {
    auto const before = mReported.find(restart.mUpstream);
    bool const isReported = before != mReported.end() &&
                            before->second.mStartMark == restart.mStartMark &&
                            before->second.mIsRunning == restart.mIsRunning;
    if (!isReported) {
      fresh.push_back(restart);
    }
    reported[restart.mUpstream] = restart;
  }
  mReported = std::move(reported);
  return fresh;
}

std::vector<Member>
RestartRelay::Recipients(std::vector<Member> const& aMembers,
                         std::string const& aSelf,
                         std::string_view aUpstream,
                         std::string const& aZone)
{
  auto const key = HashText(aUpstream);
  auto recipients = FirstOfZone(aMembers, aZone, key, kRelays);
  auto const isSelf = [&](Member const& aMember) {
    return aMember.mName == aSelf;
  };
  if (std::any_of(recipients.begin(), recipients.end(), isSelf)) {
    recipients.clear();
    std::set<std::string> otherZones;
    for (auto const& member : aMembers) {
      if (member.mZone != aZone) {
        otherZones.insert(member.mZone);
        continue;
      }
      // Also VMs that are starting: they may already have taken a list from a
      // peer that did not know yet.
      if (member.mHealth != MemberHealth::Gone) {
        recipients.push_back(member);
      }
    }
    for (auto const& zone : otherZones) {
      for (auto& member : FirstOfZone(aMembers, zone, key, kPerOtherZone)) {
        recipients.push_back(std::move(member));
      }
    }
  }
  std::erase_if(recipients, isSelf);
  return recipients;
}

} // namespace tarragonsill
