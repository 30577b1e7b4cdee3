#ifndef TARRAGONSILL_DECLARE_HPP_INCLUDED
#define TARRAGONSILL_DECLARE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The operators' library: declares a deployment in C++ and prints the
/// configuration to apply. Faults are collected and reported by `Print`.
namespace tarragonsill::Declare {

/// Declares one upstream.
class UpstreamSpec
{
public:
  static UpstreamSpec Named(std::string aName);

  UpstreamSpec InZone(std::string aZone) &&;
  /// Where its flows go: `ADDRESS:PORT`.
  UpstreamSpec At(std::string_view aAddress) &&;
  /// Where its calls go: `ADDRESS:PORT`.
  UpstreamSpec CallsAt(std::string_view aAddress) &&;
  /// What it bears when warm.
  UpstreamSpec Bears(std::uint32_t aConnections, std::uint32_t aSlots) &&;
  /// What it bears right after a cold start.
  UpstreamSpec BearsCold(std::uint32_t aConnections, std::uint32_t aSlots) &&;
  UpstreamSpec Draining() &&;

private:
  friend class ServiceSpec;
  UpstreamSpec() = default;
  Endpoint Parse(std::string_view aAddress);

  Upstream mUpstream;
  std::vector<std::string> mErrors;
};

/// Declares one service.
class ServiceSpec
{
public:
  static ServiceSpec Named(std::string aName);

  /// The address that callers use: `ADDRESS:PORT`.
  ServiceSpec At(std::string_view aAddress) &&;
  ServiceSpec IdleAfter(Duration aTimeout) &&;
  ServiceSpec Add(UpstreamSpec aUpstream) &&;

private:
  friend class DeploymentSpec;
  ServiceSpec() = default;

  Service mService;
  std::vector<std::string> mErrors;
};

/// Declares a deployment.
class DeploymentSpec
{
public:
  static DeploymentSpec Named(std::string aName);

  DeploymentSpec Zone(std::string aName, ZoneState aState = ZoneState::In) &&;
  DeploymentSpec Add(ServiceSpec aService) &&;

  /// Checks the declaration; the reason is `Invalid` and names every fault.
  Result<Configuration> Build() const;
  /// Prints the configuration as YAML; reasons as for `Build`.
  Result<std::string> Print() const;

private:
  DeploymentSpec() = default;

  Configuration mConfiguration;
  std::vector<std::string> mErrors;
};

} // namespace tarragonsill::Declare

#endif // TARRAGONSILL_DECLARE_HPP_INCLUDED
