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

/// The read-only view on which packets are steered: one configuration and one
/// view of the entry VMs, with every placement worked out in advance.
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

struct SnapshotUpstream
{
  Upstream mUpstream;
  std::size_t mService = 0;
  bool mZoneIn = true;
  std::uint64_t mKey = 0;
  /// The first owner candidate in service; none if its zone has no entry VM.
  std::optional<EntryIndex> mOwner;

  bool TakesNewWork() const
  {
    return mZoneIn && mUpstream.mState == UpstreamAdminState::Serving;
  }
};

/// A base share with the entry VMs that look after its flows.
struct SnapshotBaseShare
{
  Endpoint mAddress;
  bool mZoneIn = true;
  /// The share's upstream in the present configuration, if it still exists.
  std::optional<std::size_t> mUpstream;
  /// The homes in order: two of the share's own zone, then the first of each
  /// other zone in service. The first one decides.
  std::vector<EntryIndex> mHomeChain;
  /// Entry VMs that would be homes if they answered: the first of each zone in
  /// service where that one has failed. After a cut they may hold records that
  /// no home of the chain has.
  std::vector<EntryIndex> mFailedHomes;
  /// Whether the first home lies in the share's own zone.
  bool mIsFirstHomeInZone = false;
};

struct SnapshotService
{
  Service mService;
  SteeringTable mTable;
  std::vector<SnapshotBaseShare> mBase;
  std::vector<std::size_t> mUpstreams; ///< Indices into `mUpstreams`.
};

struct SteeringSnapshot
{
  std::uint64_t mVersion = 0; ///< Configuration version.
  std::vector<Member> mEntries;
  std::optional<EntryIndex> mSelf;
  std::vector<Zone> mZones;
  std::vector<SnapshotService> mServices;
  std::vector<SnapshotUpstream> mUpstreams;
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mServiceByAddress;
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mUpstreamByAddress;
  /// Addresses of removed upstreams, by service.
  std::unordered_map<Endpoint, std::size_t, EndpointHash> mRetired;

  /// Works out every placement. Steering tables are taken over from
  /// `aPrevious` where the base is unchanged; it may be null.
  static std::shared_ptr<SteeringSnapshot const> Build(
    Configuration const& aConfiguration,
    std::vector<Member> aEntries,
    std::string const& aSelf,
    SteeringSnapshot const* aPrevious);

  bool IsSelf(EntryIndex aEntry) const { return mSelf && *mSelf == aEntry; }

  /// The upstreams of a service that may take a new flow, in the order in
  /// which they are asked: the pure choice, others of its zone, other zones.
  std::vector<std::size_t> Candidates(std::size_t aService,
                                      std::uint64_t aFlow) const;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_SNAPSHOT_HPP_INCLUDED
