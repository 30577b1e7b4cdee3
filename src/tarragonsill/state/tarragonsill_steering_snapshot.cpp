#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::size_t kHomesInZone = 2;

/// Builds a snapshot.
class Builder
{
public:
  Builder(Configuration const& aConfiguration,
          std::vector<Member> aEntries,
          std::string const& aSelf,
          SteeringSnapshot const* aPrevious)
    : mConfiguration(aConfiguration)
    , mPrevious(aPrevious)
    , mSnapshot(std::make_shared<SteeringSnapshot>())
  {
    mSnapshot->mVersion = aConfiguration.mVersion;
    mSnapshot->mZones = aConfiguration.mZones;
    mSnapshot->mEntries = std::move(aEntries);
    for (std::size_t index = 0; index < mSnapshot->mEntries.size(); ++index) {
      auto const& entry = mSnapshot->mEntries[index];
      mHashes.push_back(entry.NameHash());
      if (entry.mName == aSelf) {
        mSnapshot->mSelf = static_cast<EntryIndex>(index);
      }
    }
  }

  std::shared_ptr<SteeringSnapshot const> Run()
  {
    for (auto const& service : mConfiguration.mServices) {
      AddService(service);
    }
    return mSnapshot;
  }

private:
  bool IsZoneInService(std::string const& aZone) const
  {
    auto const* zone = mConfiguration.FindZone(aZone);
    return zone != nullptr && zone->mState == ZoneState::In;
  }

  /// The first `aMax` serving entry VMs of a zone in placement order.
  std::vector<EntryIndex> RankZone(std::uint64_t aKey,
                                   std::string const& aZone,
                                   std::size_t aMax) const
  {
    std::vector<std::pair<std::uint64_t, EntryIndex>> scored;
    for (std::size_t index = 0; index < mSnapshot->mEntries.size(); ++index) {
      auto const& entry = mSnapshot->mEntries[index];
      if (entry.mZone != aZone || !entry.IsServing()) {
        continue;
      }
      scored.emplace_back(PlacementScore(aKey, mHashes[index]),
                          static_cast<EntryIndex>(index));
    }
    std::sort(scored.rbegin(), scored.rend());
    std::vector<EntryIndex> ranked;
    for (auto const& [score, entry] : scored) {
      if (ranked.size() == aMax) {
        break;
      }
      ranked.push_back(entry);
    }
    return ranked;
  }

  /// The first entry VM of a zone in placement order if it has failed.
  std::optional<EntryIndex> FirstHomeIfFailed(std::uint64_t aKey,
                                              std::string const& aZone) const
  {
    std::optional<std::pair<std::uint64_t, EntryIndex>> first;
    for (std::size_t index = 0; index < mSnapshot->mEntries.size(); ++index) {
      auto const& entry = mSnapshot->mEntries[index];
      bool const isCandidate = entry.mStage == MemberStage::Serving &&
                               entry.mHealth != MemberHealth::Gone;
      if (entry.mZone != aZone || !isCandidate) {
        continue;
      }
      std::pair const scored(PlacementScore(aKey, mHashes[index]),
                             static_cast<EntryIndex>(index));
      first = first ? std::max(*first, scored) : scored;
    }
    bool const hasFailed =
      first &&
      mSnapshot->mEntries[first->second].mHealth == MemberHealth::Failed;
    return hasFailed ? std::optional(first->second) : std::nullopt;
  }

  /// The other zones in service, in placement order.
  std::vector<std::string> OtherZones(std::uint64_t aKey,
                                      std::string const& aZone) const
  {
    std::vector<std::string> names;
    std::vector<std::uint64_t> hashes;
    for (auto const& zone : mConfiguration.mZones) {
      if (zone.mName == aZone || zone.mState == ZoneState::Out) {
        continue;
      }
      names.push_back(zone.mName);
      hashes.push_back(HashText(zone.mName));
    }
    std::vector<std::string> ordered;
    for (auto const index : RankCandidates(aKey, hashes)) {
      ordered.push_back(names[index]);
    }
    return ordered;
  }

  SnapshotBaseShare MakeBaseShare(BaseShare const& aShare) const
  {
    SnapshotBaseShare share;
    share.mAddress = aShare.mAddress;
    share.mIsZoneInService = IsZoneInService(aShare.mZone);
    auto const key = PlacementKey(aShare.mAddress);
    auto const addFailedHome = [&](std::string const& aZone) {
      if (auto const failed = FirstHomeIfFailed(key, aZone)) {
        share.mFailedHomes.push_back(*failed);
      }
    };
    if (share.mIsZoneInService) {
      share.mHomeChain = RankZone(key, aShare.mZone, kHomesInZone);
      share.mIsFirstHomeInZone = !share.mHomeChain.empty();
      addFailedHome(aShare.mZone);
    }
    for (auto const& zone : OtherZones(key, aShare.mZone)) {
      auto const ranked = RankZone(key, zone, 1);
      share.mHomeChain.insert(
        share.mHomeChain.end(), ranked.begin(), ranked.end());
      addFailedHome(zone);
    }
    auto const found = mSnapshot->mUpstreamByAddress.find(aShare.mAddress);
    if (found != mSnapshot->mUpstreamByAddress.end()) {
      share.mUpstream = found->second;
    }
    return share;
  }

  SteeringTable MakeTable(Service const& aService) const
  {
    if (mPrevious != nullptr) {
      for (auto const& previous : mPrevious->mServices) {
        bool const same = previous.mService.mName == aService.mName &&
                          previous.mService.mBase == aService.mBase;
        if (same) {
          return previous.mTable;
        }
      }
    }
    return SteeringTable::Build(aService.mBase);
  }

  void AddUpstream(SnapshotService& aService,
                   std::size_t aServiceIndex,
                   Upstream const& aUpstream)
  {
    SnapshotUpstream upstream;
    upstream.mUpstream = aUpstream;
    upstream.mService = aServiceIndex;
    upstream.mIsZoneInService = IsZoneInService(aUpstream.mZone);
    upstream.mKey = PlacementKey(aUpstream.mAddress);
    auto const ranked = RankZone(upstream.mKey, aUpstream.mZone, 1);
    if (!ranked.empty()) {
      upstream.mOwner = ranked.front();
    }
    auto const index = mSnapshot->mUpstreams.size();
    mSnapshot->mUpstreamByAddress[aUpstream.mAddress] = index;
    aService.mUpstreams.push_back(index);
    mSnapshot->mUpstreams.push_back(std::move(upstream));
  }

  void AddService(Service const& aService)
  {
    auto const index = mSnapshot->mServices.size();
    SnapshotService service;
    service.mService = aService;
    service.mTable = MakeTable(aService);
    for (auto const& upstream : aService.mUpstreams) {
      AddUpstream(service, index, upstream);
    }
    for (auto const& share : aService.mBase) {
      service.mBase.push_back(MakeBaseShare(share));
    }
    for (auto const& retired : aService.mRetired) {
      mSnapshot->mRetired[retired] = index;
    }
    mSnapshot->mServiceByAddress[aService.mAddress] = index;
    mSnapshot->mServices.push_back(std::move(service));
  }

  Configuration const& mConfiguration;
  SteeringSnapshot const* mPrevious;
  std::shared_ptr<SteeringSnapshot> mSnapshot;
  std::vector<std::uint64_t> mHashes;
};

} // namespace

std::shared_ptr<SteeringSnapshot const>
SteeringSnapshot::Build(Configuration const& aConfiguration,
                        std::vector<Member> aEntries,
                        std::string const& aSelf,
                        SteeringSnapshot const* aPrevious)
{
  return Builder(aConfiguration, std::move(aEntries), aSelf, aPrevious).Run();
}

std::vector<std::size_t>
SteeringSnapshot::Candidates(std::size_t aService, std::uint64_t aFlow) const
{
  auto const& service = mServices[aService];
  std::string zone;
  std::optional<std::size_t> hashChoice;
  if (!service.mTable.Empty()) {
    auto const share = service.mTable.Pick(aFlow);
    hashChoice = service.mBase[share].mUpstream;
    zone = service.mService.mBase[share].mZone;
  }
  struct Scored
  {
    unsigned mTier;
    std::uint64_t mScore;
    std::size_t mUpstream;
  };
  std::vector<Scored> scored;
  for (auto const index : service.mUpstreams) {
    auto const& upstream = mUpstreams[index];
    if (!upstream.TakesNewWork()) {
      continue;
    }
    unsigned const tier = hashChoice == index                ? 0
                          : upstream.mUpstream.mZone == zone ? 1
                                                             : 2;
    scored.push_back({ tier, PlacementScore(aFlow, upstream.mKey), index });
  }
  std::sort(scored.begin(), scored.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mTier != aRight.mTier ? aLeft.mTier < aRight.mTier
                                       : aLeft.mScore > aRight.mScore;
  });
  std::vector<std::size_t> ordered;
  for (auto const& candidate : scored) {
    ordered.push_back(candidate.mUpstream);
  }
  return ordered;
}

} // namespace tarragonsill
