#ifndef TARRAGONSILL_ROUTING_HPP_INCLUDED
#define TARRAGONSILL_ROUTING_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Routes, services and self-registered upstreams: what a VM that steers by
/// flow cookie knows of its deployment.
namespace tarragonsill {

/// A service and its part of a route's new flows.
struct RouteShare
{
  std::string mService;
  std::uint32_t mWeight = 1; ///< Relative to the route's other shares.
};

/// What kind of requests a route carries.
enum class RequestKind : std::uint8_t
{
  Idempotent,
  NotIdempotent,
};

/// An address that callers use and the services behind it.
struct ServiceRoute
{
  std::string mName;
  Endpoint mAddress;
  std::vector<RouteShare> mShares;
  RequestKind mKind = RequestKind::NotIdempotent;
  /// The time within which callers want an answer.
  milliseconds mLatencyTarget{ 500 };
};

/// What a service allows its upstreams to be given.
struct ServiceRule
{
  std::string mName;
  /// How long an upstream stays cold after its start.
  milliseconds mColdTime{ 0 };
  /// New flows a second that a cold upstream bears, before any allowance.
  double mColdFlowsPerSecond = 0.0;
};

/// One version of the operator's configuration.
struct RoutingConfiguration
{
  std::uint64_t mVersion = 0; ///< Only rises.
  std::vector<ServiceRoute> mRoutes;
  std::vector<ServiceRule> mServices;
  /// A flow that is silent for this long may be forgotten.
  milliseconds mIdleTimeout{ 15000 };
};

/// An upstream as it registered itself.
struct UpstreamRegistration
{
  std::string mName;
  /// Written before each datagram so that only this upstream takes it.
  std::uint64_t mIdentity = 0;
  Endpoint mAddress;
  std::string mService;
  std::string mZone;
  std::uint32_t mSlots = 1; ///< Requests it works on at once.
  bool mDraining = false;
  /// How much longer it stays slow, counted from when it said so.
  milliseconds mRemainingColdTime{ 0 };
  /// The upstream's own mark of its start; 0 if it named none. A new mark under
  /// the same name is a new process that knows nothing of earlier flows.
  std::int64_t mStartMark = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ROUTING_HPP_INCLUDED
