#ifndef TARRAGONSILL_STEERING_SNAPSHOT_HPP_INCLUDED
#define TARRAGONSILL_STEERING_SNAPSHOT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_steering_table.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

/// The steering snapshot: an immutable combination of one configuration and one
/// view of the entry VMs, with all placements precomputed for the packet path.
namespace tarragonsill {

struct EndpointHash
{
  std::size_t operator()(Endpoint aEndpoint) const
  {
    return MixHash(aEndpoint.mAddress.mValue, aEndpoint.mPort);
  }
};

/// An index into `SteeringSnapshot::mEntries`.
using EntryIndex = std::uint16_t;

/// An upstream with its precomputed placement.
struct SnapshotUpstream
{
  Upstream mUpstream;
  std::size_t mService = 0;
  bool mIsZoneInService = true;
  std::uint64_t mKey = 0; ///< Its key in rendezvous hashing.
  /// The admission owner; none if its zone has no serving entry VM.
  std::optional<EntryIndex> mOwner;

  bool TakesNewWork() const
  {
    return mIsZoneInService && mUpstream.mState == UpstreamAdminState::Serving;
  }
};

/// A base share with its homes, the entry VMs that hold records of its flows.
struct SnapshotBaseShare
{
  Endpoint mAddress;
  bool mIsZoneInService = true;
  /// The share's upstream, if the configuration still has it.
  std::optional<std::size_t> mUpstream;
  /// The homes in order: two in the share's own zone, then the first of each
  /// other zone in service. The first home decides.
  std::vector<EntryIndex> mHomeChain;
  /// Entry VMs that would be homes if they had not failed: of each zone in
  /// service, the first one if it has failed. After a network partition they
  /// may hold records that no home in the chain has.
  std::vector<EntryIndex> mFailedHomes;
  /// Whether the first home is in the share's own zone.
  bool mIsFirstHomeInZone = false;
};

/// A service with its steering table.
struct SnapshotService
{
  Service mService;
  SteeringTable mTable;
  std::vector<SnapshotBaseShare> mBase;
  /// Indices into `SteeringSnapshot::mUpstreams`.
  std::vector<std::size_t> mUpstreams;
};

/// The snapshot by which an entry VM steers packets.
struct SteeringSnapshot
{
  std::uint64_t mVersion = 0; ///< Configuration version.
  std::vector<Member> mEntries;
  std::optional<EntryIndex> mSelf; ///< This VM, if it is in `mEntries`.
  std::vector<Zone> mZones;
  std::vector<SnapshotService> mServices;
  std::vector<SnapshotUpstream> mUpstreams;
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mServiceByAddress;
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mUpstreamByAddress;
  /// Indices of services by the addresses of their removed upstreams.
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mRetired;

  /// Computes all placements. Steering tables are copied from `aPrevious`,
  /// which may be null, for services whose base is unchanged.
  static std::shared_ptr<SteeringSnapshot const> Build(
    Configuration const& aConfiguration,
    std::vector<Member> aEntries,
    std::string const& aSelf,
    SteeringSnapshot const* aPrevious);

  bool IsSelf(EntryIndex aEntry) const { return mSelf && *mSelf == aEntry; }

  /// Returns the upstreams of a service that may get a new flow, in the order
  /// of the admission attempts: the hash choice, others of its zone, other
  /// zones.
  std::vector<std::size_t> Candidates(std::size_t aService,
                                      std::uint64_t aFlow) const;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_SNAPSHOT_HPP_INCLUDED
