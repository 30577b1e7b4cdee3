#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"

#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"
#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace tarragonsill {

namespace {

constexpr std::uint64_t kRangeSeed = 0x72616E67;
constexpr std::uint64_t kZoneSeed = 0x7A6F6E65;

std::optional<EntryIndex>
HomeInZone(SteeringSnapshot const& aSnapshot,
           std::string const& aZone,
           std::uint16_t aRange)
{
  auto const key = PlacementKey(ControlPlane::CallRangeKey(aRange));
  std::optional<EntryIndex> best;
  std::uint64_t bestScore = 0;
  for (std::size_t index = 0; index < aSnapshot.mEntries.size(); ++index) {
    auto const& entry = aSnapshot.mEntries[index];
    if (entry.mZone != aZone || !entry.IsServing()) {
      continue;
    }
    auto const score = PlacementScore(key, entry.NameHash());
    if (!best || score > bestScore) {
      best = static_cast<EntryIndex>(index);
      bestScore = score;
    }
  }
  return best;
}

/// The number of slots of a service's upstreams in each zone in service.
std::map<std::string, std::uint64_t>
SlotsByZone(SteeringSnapshot const& aSnapshot, std::size_t aService)
{
  std::map<std::string, std::uint64_t> slots;
  for (auto const& zone : aSnapshot.mZones) {
    if (zone.mState == ZoneState::In) {
      slots[zone.mName] = 0;
    }
  }
  for (auto const index : aSnapshot.mServices[aService].mUpstreams) {
    auto const& upstream = aSnapshot.mUpstreams[index];
    if (upstream.TakesNewWork()) {
      slots[upstream.mUpstream.mZone] += upstream.mUpstream.mLimit.mSlots;
    }
  }
  return slots;
}

} // namespace

std::uint16_t
CallRange(std::string const& aCallId)
{
  return static_cast<std::uint16_t>(HashText(aCallId, kRangeSeed) %
                                    ControlPlane::kCallRangeCount);
}

std::vector<EntryIndex>
CallHomes(SteeringSnapshot const& aSnapshot,
          std::size_t aService,
          std::string const& aCallId)
{
  auto const slots = SlotsByZone(aSnapshot, aService);
  std::uint64_t total = 0;
  for (auto const& [zone, count] : slots) {
    total += count;
  }
  auto const hash = HashText(aCallId, kZoneSeed);
  auto draw = total == 0 ? 0 : hash % total;
  std::string chosen;
  for (auto const& [zone, count] : slots) {
    if (draw < count) {
      chosen = zone;
      break;
    }
    draw -= count;
  }
  std::vector<std::string> order;
  if (!chosen.empty()) {
    order.push_back(chosen);
  }
  for (auto const& [zone, count] : slots) {
    if (zone != chosen) {
      order.push_back(zone);
    }
  }
  std::vector<EntryIndex> homes;
  for (auto const& zone : order) {
    if (auto const home = HomeInZone(aSnapshot, zone, CallRange(aCallId))) {
      homes.push_back(*home);
    }
  }
  return homes;
}

std::vector<std::size_t>
CallCandidates(SteeringSnapshot const& aSnapshot,
               std::size_t aService,
               std::string const& aCallId,
               std::string const& aZone,
               std::uint32_t aRetry)
{
  auto const key = HashText(aCallId, aRetry);
  std::vector<std::size_t> candidates;
  for (auto const index : aSnapshot.mServices[aService].mUpstreams) {
    auto const& upstream = aSnapshot.mUpstreams[index];
    bool const usable = upstream.TakesNewWork() && upstream.mOwner &&
                        upstream.mUpstream.mLimit.mSlots > 0 &&
                        upstream.mUpstream.mCallAddress.mPort != 0;
    if (usable) {
      candidates.push_back(index);
    }
  }
  auto const rank = [&](std::size_t aIndex) {
    auto const& upstream = aSnapshot.mUpstreams[aIndex];
    return std::pair(upstream.mUpstream.mZone != aZone,
                     PlacementScore(key, upstream.mKey));
  };
  std::sort(candidates.begin(), candidates.end(), [&](auto aLeft, auto aRight) {
    return rank(aLeft) < rank(aRight);
  });
  return candidates;
}

} // namespace tarragonsill
