#ifndef TARRAGONSILL_SHARED_LOAD_HPP_INCLUDED
#define TARRAGONSILL_SHARED_LOAD_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_hash.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

/// What the VMs of a zone observe of its upstreams and tell each other. It
/// guides the placement of new flows, and proves nothing about an upstream's
/// health.
namespace tarragonsill {

/// Identifies a process of an upstream: one that starts again under its name
/// has another key. Keys may collide, which only misplaces a few flows.
inline std::uint32_t
ProcessKey(UpstreamRegistration const& aRegistration)
{
  return static_cast<std::uint32_t>(
    MixHash(HashText(aRegistration.mName),
            static_cast<std::uint64_t>(aRegistration.mStartMark)));
}

/// What one VM has observed of an upstream since its previous observation.
struct UpstreamObservation
{
  /// Identifies the upstream's process; see `ProcessKey`.
  std::uint32_t mProcess = 0;
  std::uint32_t mFlows = 0;      ///< Open flows.
  std::uint32_t mInProgress = 0; ///< Unanswered requests.
  std::uint32_t mAnswers = 0;
  /// The mean time of these answers, relative to the usual time of their kind
  /// of request.
  double mRelativeTime = 1.0;
};

using UpstreamObservations = std::vector<UpstreamObservation>;
using ObservationsPointer = std::shared_ptr<UpstreamObservations const>;

/// What the other VMs of the zone know of an upstream.
struct SharedLoad
{
  double mFlows = 0.0;
  double mInProgress = 0.0;
  /// The answers of the last seconds, from all VMs, that `mRelativeTime` rests
  /// on.
  double mAnswers = 0.0;
  /// Below 1 for an upstream that is faster than usual.
  double mRelativeTime = 1.0;
  TimePoint mAsOf{}; ///< When the oldest part was observed.
};

/// An immutable set of shared loads for the packet path.
struct SharedLoads
{
  std::unordered_map<std::uint32_t, SharedLoad> mByProcess;
  /// The VMs of the zone whose observations are included, without this one.
  std::uint32_t mReporters = 0;
};

using SharedLoadsPointer = std::shared_ptr<SharedLoads const>;

} // namespace tarragonsill

#endif // TARRAGONSILL_SHARED_LOAD_HPP_INCLUDED
