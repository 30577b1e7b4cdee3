#ifndef TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED
#define TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_routing.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// An immutable picture of routes and upstreams, read by the packet path.
namespace tarragonsill {

/// What an upstream may be given.
enum class UpstreamAvailability : std::uint8_t
{
  Serving,
  Draining, ///< Open flows only.
  /// Its registration is missing, which may be the store's fault: new flows
  /// only if nothing else is left.
  Missing,
  Gone, ///< Open flows only, for as long as any may be left.
};

std::string_view ToText(UpstreamAvailability aAvailability);

struct ResolvedUpstream
{
  UpstreamRegistration mRegistration;
  /// Identifies the upstream in packets; unique among upstreams in use.
  std::uint32_t mCookie = 0;
  std::uint32_t mZone = 0; ///< Index of the zone.
  /// Index of the service; past the end if the configuration has none such.
  std::uint32_t mService = 0;
  UpstreamAvailability mAvailability = UpstreamAvailability::Gone;
  bool mEvacuated = false; ///< Its zone is to be given no new work.
  TimePoint mColdUntil{};
  /// New flows a second that it bears while it is cold, from all VMs.
  double mColdLimit = 0.0;
};

struct ResolvedService
{
  std::string mName;
  std::vector<std::uint32_t> mUpstreams; ///< Slots of its upstreams.
};

struct ResolvedRoute
{
  std::string mName;
  RequestKind mKind = RequestKind::NotIdempotent;
  milliseconds mLatencyTarget{ 500 };
  bool mRemoved = false; ///< An earlier version had it.
  struct Share
  {
    std::uint32_t mService = 0; ///< Index of the service.
    std::uint32_t mWeight = 1;
  };
  std::vector<Share> mShares;
};

struct RoutingView
{
  std::uint64_t mVersion = 0; ///< Of the configuration.
  /// Every kind of object was listed once, so that nothing is missing.
  bool mIsComplete = false;
  milliseconds mIdleTimeout{ 15000 };
  milliseconds mMaxFlowTime{ 60000 };
  std::map<Endpoint, ResolvedRoute> mRoutes;
  std::vector<ResolvedService> mServices;
  /// By slot. A slot is used again only after every flow of its former
  /// upstream must have ended.
  std::vector<ResolvedUpstream> mUpstreams;
  std::unordered_map<std::uint32_t, std::uint32_t> mSlotByCookie;
  std::vector<std::string> mZones;
  std::uint32_t mOwnZone = 0;
  /// Entry VMs that may give work to a cold upstream, as seen from here.
  std::vector<std::uint64_t> mAdmittingVms;
  std::uint64_t mSelf = 0; ///< This VM among the deciders.
};

using RoutingViewPointer = std::shared_ptr<RoutingView const>;

} // namespace tarragonsill

#endif // TARRAGONSILL_ROUTING_VIEW_HPP_INCLUDED
