#ifndef TARRAGONSILL_CONFIGURATION_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The configuration of a deployment: zones, services and upstreams.
namespace tarragonsill {

/// Whether an availability zone is in service.
enum class ZoneState : std::uint8_t
{
  In,
  Out, ///< Evacuated by the operator.
};

struct Zone
{
  std::string mName;
  ZoneState mState = ZoneState::In;
};

/// The state that the operator gave an upstream.
enum class UpstreamAdminState : std::uint8_t
{
  Serving,
  Draining, ///< Established flows continue; no new work is admitted.
};

/// The maximum of work that an upstream may have open at once.
struct WorkLimit
{
  std::uint32_t mConnections = 0; ///< Open flows.
  std::uint32_t mSlots = 0;       ///< Concurrent calls.
  auto operator<=>(WorkLimit const&) const = default;
};

struct Upstream
{
  std::string mName;
  std::string mZone;
  Endpoint mAddress;     ///< Destination of its flows inside the fabric.
  Endpoint mCallAddress; ///< Destination of its calls (gRPC); zero for none.
  WorkLimit mLimit;
  WorkLimit mColdLimit; ///< The limit right after a start of the upstream.
  UpstreamAdminState mState = UpstreamAdminState::Serving;
};

/// A base share: one entry of a service's steering base, and an upstream's part
/// of the hash space. The steering base is fixed with the first version of the
/// service, so that the hash choice of an established flow never changes.
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
  std::vector<BaseShare> mBase; ///< The steering base.
  /// Addresses of removed upstreams. Their answers are still recognised, and
  /// no other service may use the addresses.
  std::vector<Endpoint> mRetired;
};

/// The configuration of a whole deployment, as declared by the operators.
struct Configuration
{
  std::string mDeployment;
  std::uint64_t mVersion = 0; ///< Assigned by the platform.
  /// The store's era when this version was written. After a store rollback the
  /// platform assigns versions a second time, with a higher era.
  std::uint64_t mEra = 0;
  std::vector<Zone> mZones;
  std::vector<Service> mServices;

  /// The store position of this version. A version replaces only versions of
  /// lower positions.
  StorePosition Position() const { return { mEra, mVersion }; }
  Zone const* FindZone(std::string const& aName) const;
  Service const* FindService(std::string const& aName) const;
  /// Returns the upstream of that name in any service, or null.
  Upstream const* FindUpstream(std::string const& aName) const;
  Upstream* FindUpstream(std::string const& aName);
};

/// A violation of a rule by a configuration, and the key that causes it.
struct ConfigurationError
{
  std::string mKey;
  std::string mText;
};

/// Checks the rules that span several keys: names and addresses are unique,
/// zones are declared, and limits allow some work.
std::vector<ConfigurationError> Validate(Configuration const& aConfiguration);

/// Fills in the steering base and the retired addresses of a configuration
/// that replaces `aCurrent` (null for the first one). Fails with `Invalid` if
/// the result violates a rule, for instance if an address changes its service.
Result<Configuration> MakeSuccessor(Configuration aNext,
                                    Configuration const* aCurrent);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_HPP_INCLUDED
