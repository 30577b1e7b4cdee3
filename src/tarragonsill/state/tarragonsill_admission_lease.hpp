#ifndef TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED
#define TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <memory>
#include <vector>

/// The leased right of this entry VM to admit work to an upstream.
namespace tarragonsill {

struct AdmissionLease
{
  Endpoint mUpstream;
  /// Admission is allowed strictly before this monotonic time.
  TimePoint mUntil{};
  /// The most work that may be open; the other party of the lease knows it.
  WorkLimit mCeiling;
  /// Rises whenever the right is acquired anew.
  std::uint64_t mTerm = 0;
  /// Work that earlier owners may have left open when the term began.
  WorkLimit mAdopted;
};

/// The rights held at present, one for each owned upstream.
using AdmissionLeases = std::vector<AdmissionLease>;

/// Open work of one upstream as its owner counts it.
struct UpstreamOpenWork
{
  Endpoint mUpstream;
  WorkLimit mWork;
  bool mIsCold = true;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ADMISSION_LEASE_HPP_INCLUDED
