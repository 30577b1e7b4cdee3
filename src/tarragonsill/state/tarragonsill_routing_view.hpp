#ifndef TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED
#define TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_routing.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// The routing view: an immutable snapshot of routes and upstreams for the
/// packet path.
namespace tarragonsill {

/// Which flows an upstream may get.
enum class UpstreamAvailability : std::uint8_t
{
  Serving,
  Draining, ///< Established flows only.
  /// Its registration is missing, possibly due to a failure of the store. It
  /// gets new flows only if there is no other upstream.
  Missing,
  Gone, ///< Established flows only, while some may be left.
};

std::string_view ToText(UpstreamAvailability aAvailability);

/// An upstream with the indices and limits that its registration leads to.
struct ResolvedUpstream
{
  UpstreamRegistration mRegistration;
  /// Identifies the upstream in packets; unique among the upstreams in use.
  std::uint32_t mCookie = 0;
  std::uint32_t mZone = 0; ///< Index of the zone.
  /// Index of the service; past the end if the configuration does not have it.
  std::uint32_t mService = 0;
  UpstreamAvailability mAvailability = UpstreamAvailability::Gone;
  bool mEvacuated = false; ///< Its zone must get no new work.
  StorePosition mPosition; ///< Of its registration.
  TimePoint mColdUntil{};
  /// The maximum of new flows per second from all entry VMs while it is cold.
  double mColdLimit = 0.0;
  /// How long a process of its service stays cold after its start.
  milliseconds mColdTime{ 0 };
};

/// A service with its upstreams.
struct ResolvedService
{
  std::string mName;
  std::vector<std::uint32_t> mUpstreams; ///< Slots of its upstreams.
};

/// A route with the indices of its services.
struct ResolvedRoute
{
  std::string mName;
  RequestKind mKind = RequestKind::NotIdempotent;
  milliseconds mLatencyTarget{ 500 };
  std::uint32_t mPriority = 0; ///< 0 is the highest.
  bool mRemoved = false;       ///< Only an earlier version has the route.
  struct Share
  {
    std::uint32_t mService = 0; ///< Index of the service.
    std::uint32_t mWeight = 1;
  };
  std::vector<Share> mShares;

  /// Whether new flows of the route go to a service.
  bool SendsTo(std::uint32_t aService) const;
};

/// The snapshot by which an entry VM steers flows.
struct RoutingView
{
  std::uint64_t mVersion = 0; ///< Configuration version.
  /// Whether each kind of objects was listed at least once, so none is missing.
  bool mIsComplete = false;
  milliseconds mIdleTimeout{ 15000 };
  milliseconds mMaxFlowTime{ 60000 };
  /// Upstreams that leave serve for at least this time after reporting it.
  milliseconds mDrainTime{ 3000 };
  std::map<Endpoint, ResolvedRoute> mRoutes;
  std::vector<ResolvedService> mServices;
  /// Indexed by slot. A slot is reused only after every flow of its former
  /// upstream must have ended.
  std::vector<ResolvedUpstream> mUpstreams;
  std::unordered_map<std::uint32_t, std::uint32_t> mSlotByCookie;
  std::vector<std::string> mZones;
  std::uint32_t mOwnZone = 0;
  /// Hashes of the entry VMs that may admit flows to a cold upstream, as
  /// observed by this VM.
  std::vector<std::uint64_t> mAdmittingVms;
  std::uint64_t mSelf = 0; ///< The hash of this VM in `mAdmittingVms`.
};

using RoutingViewPointer = std::shared_ptr<RoutingView const>;

} // namespace tarragonsill

#endif // TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED
