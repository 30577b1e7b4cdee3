#ifndef TARRAGONSILL_CONFIGURATION_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The declared state of a deployment: zones, services and upstreams.
namespace tarragonsill {

/// Whether an availability zone takes part.
enum class ZoneState : std::uint8_t
{
  In,
  Out,
};

struct Zone
{
  std::string mName;
  ZoneState mState = ZoneState::In;
};

enum class UpstreamAdminState : std::uint8_t
{
  Serving,
  Draining, ///< Established flows go on; new work goes elsewhere.
};

/// A bound on the work that an upstream carries at once.
struct WorkLimit
{
  std::uint32_t mConnections = 0; ///< Open flows.
  std::uint32_t mSlots = 0;       ///< Calls in progress.
  auto operator<=>(WorkLimit const&) const = default;
};

struct Upstream
{
  std::string mName;
  std::string mZone;
  Endpoint mAddress;     ///< Where its flows go, inside the fabric.
  Endpoint mCallAddress; ///< Where its calls go (gRPC); zero for none.
  WorkLimit mLimit;
  WorkLimit mColdLimit; ///< What it bears right after a cold start.
  UpstreamAdminState mState = UpstreamAdminState::Serving;
};

/// One entry of the steering base, which never changes while flows rely on it.
struct BaseShare
{
  Endpoint mAddress;
  std::string mZone;
  std::uint32_t mShare = 0; ///< Relative weight.
  auto operator<=>(BaseShare const&) const = default;
};

struct Service
{
  std::string mName;
  Endpoint mAddress; ///< The address that callers use, for TCP and UDP.
  Duration mIdleTimeout = seconds{ 300 };
  std::vector<Upstream> mUpstreams;
  std::vector<BaseShare> mBase;
  /// Addresses of removed upstreams. Their answers are still recognised, and
  /// no other service may take them over.
  std::vector<Endpoint> mRetired;
};

/// A whole deployment as the operators declare it.
struct Configuration
{
  std::string mDeployment;
  std::uint64_t mVersion = 0; ///< Assigned by the platform.
  /// Of the platform when this version was written. A platform that comes back
  /// from an older copy gives versions out again, with a higher era.
  std::uint64_t mEra = 0;
  std::vector<Zone> mZones;
  std::vector<Service> mServices;

  /// What is in force only rises in this order.
  StorePosition Position() const { return { mEra, mVersion }; }
  Zone const* FindZone(std::string const& aName) const;
  Service const* FindService(std::string const& aName) const;
  /// Finds an upstream of any service; null if there is none of that name.
  Upstream const* FindUpstream(std::string const& aName) const;
  Upstream* FindUpstream(std::string const& aName);
};

/// One broken rule of a configuration and the key at which it was found.
struct ConfigurationError
{
  std::string mKey;
  std::string mText;
};

/// Checks the rules that span several keys: unique names and addresses, zones
/// that exist, limits that leave room for work.
std::vector<ConfigurationError> Validate(Configuration const& aConfiguration);

/// Fills in the steering base and the retired addresses of a configuration
/// that replaces `aCurrent` (null for the first one). The reason is `Invalid`
/// where an address would change its service.
Result<Configuration> MakeSuccessor(Configuration aNext,
                                    Configuration const* aCurrent);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_HPP_INCLUDED
