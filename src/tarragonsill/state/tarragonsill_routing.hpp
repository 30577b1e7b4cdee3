#ifndef TARRAGONSILL_ROUTING_HPP_INCLUDED
#define TARRAGONSILL_ROUTING_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Routes, services and self-registered upstreams: the input of entry VMs that
/// steer flows by cookies.
namespace tarragonsill {

/// A service and its share of a route's new flows.
struct RouteShare
{
  std::string mService;
  std::uint32_t mWeight = 1; ///< Relative to the other shares of the route.
};

/// Whether the requests of a route may be repeated.
enum class RequestKind : std::uint8_t
{
  Idempotent,
  NotIdempotent,
};

/// An address for callers and the services that handle its flows.
struct ServiceRoute
{
  std::string mName;
  Endpoint mAddress;
  std::vector<RouteShare> mShares;
  RequestKind mKind = RequestKind::NotIdempotent;
  /// The time within which callers expect an answer.
  milliseconds mLatencyTarget{ 500 };
  std::uint32_t mPriority = 0; ///< 0 is the highest.
};

/// The limits of a service for its cold upstreams.
struct ServiceRule
{
  std::string mName;
  /// How long an upstream stays cold after its start.
  milliseconds mColdTime{ 0 };
  /// The rate limit of a cold upstream, without `NodeBounds::mColdFactor` and
  /// `NodeBounds::mColdAllowance`.
  double mColdFlowsPerSecond = 0.0;
};

/// One version of the operator's configuration.
struct RoutingConfiguration
{
  std::uint64_t mVersion = 0; ///< Increases with every change.
  std::vector<ServiceRoute> mRoutes;
  std::vector<ServiceRule> mServices;
  /// The state of flows without packets for this time may be discarded.
  milliseconds mIdleTimeout{ 15000 };
};

/// The registration that an upstream writes to the store.
struct UpstreamRegistration
{
  std::string mName;
  /// Sent ahead of each datagram; only the upstream of this identity accepts
  /// it.
  std::uint64_t mIdentity = 0;
  Endpoint mAddress;
  std::string mService;
  std::string mZone;
  std::uint32_t mSlots = 1; ///< Concurrent requests.
  bool mDraining = false;
  /// How much longer the upstream stays cold, counted from the registration.
  milliseconds mRemainingColdTime{ 0 };
  /// Identifies a start of the upstream; 0 if the registration has none. A
  /// different mark under the same name means a new process, which does not
  /// have the flows of the earlier one.
  std::int64_t mStartMark = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ROUTING_HPP_INCLUDED
