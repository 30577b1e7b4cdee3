#ifndef TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED
#define TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <memory>
#include <vector>

/// Leases under which this entry VM admits work to upstreams.
namespace tarragonsill {

/// A lease to admit work to one upstream.
struct AdmissionLease
{
  Endpoint mUpstream;
  /// Expiry on the monotonic clock; no work is admitted at or after it.
  TimePoint mUntil{};
  /// The maximum of open work, at most the ceiling that the grantor has stored.
  WorkLimit mCeiling;
  /// Incremented each time the lease is acquired anew.
  std::uint64_t mTerm = 0;
  /// Work admitted by earlier holders that may still be open at the start of
  /// the term.
  WorkLimit mAdoptedWork;
};

/// The leases held at present, one for each owned upstream.
using AdmissionLeases = std::vector<AdmissionLease>;

/// The open work of one upstream, as counted by its admission owner.
struct UpstreamOpenWork
{
  Endpoint mUpstream;
  WorkLimit mWork;
  bool mIsCold = true; ///< The upstream is still ramping up.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED
