#ifndef TARRAGONSILL_DECLARE_HPP_INCLUDED
#define TARRAGONSILL_DECLARE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The operators' library: declares a deployment in C++ and prints the
/// configuration to apply. Faults are collected and reported by `ToYaml`.
namespace tarragonsill::Declare {

/// Declares one upstream.
class UpstreamBuilder
{
public:
  static UpstreamBuilder Named(std::string aName);

  UpstreamBuilder InZone(std::string aZone) &&;
  /// Where its flows go: `ADDRESS:PORT`.
  UpstreamBuilder At(std::string_view aAddress) &&;
  /// Where its calls go: `ADDRESS:PORT`.
  UpstreamBuilder WithCallAddress(std::string_view aAddress) &&;
  /// What it bears when warm.
  UpstreamBuilder WithLimit(std::uint32_t aConnections,
                            std::uint32_t aSlots) &&;
  /// What it bears right after a cold start.
  UpstreamBuilder WithColdLimit(std::uint32_t aConnections,
                                std::uint32_t aSlots) &&;
  UpstreamBuilder Draining() &&;

private:
  friend class ServiceBuilder;
  UpstreamBuilder() = default;
  Endpoint Parse(std::string_view aAddress);

  Upstream mUpstream;
  std::vector<std::string> mErrors;
};

/// Declares one service.
class ServiceBuilder
{
public:
  static ServiceBuilder Named(std::string aName);

  /// The address that callers use: `ADDRESS:PORT`.
  ServiceBuilder At(std::string_view aAddress) &&;
  ServiceBuilder WithIdleTimeout(Duration aTimeout) &&;
  ServiceBuilder Add(UpstreamBuilder aUpstream) &&;

private:
  friend class DeploymentBuilder;
  ServiceBuilder() = default;

  Service mService;
  std::vector<std::string> mErrors;
};

/// Declares a deployment.
class DeploymentBuilder
{
public:
  static DeploymentBuilder Named(std::string aName);

  DeploymentBuilder Zone(std::string aName,
                         ZoneState aState = ZoneState::In) &&;
  DeploymentBuilder Add(ServiceBuilder aService) &&;

  /// Checks the declaration; the reason is `Invalid` and names every fault.
  Result<Configuration> Build() const;
  /// Prints the configuration as YAML; reasons as for `Build`.
  Result<std::string> ToYaml() const;

private:
  DeploymentBuilder() = default;

  Configuration mConfiguration;
  std::vector<std::string> mErrors;
};

} // namespace tarragonsill::Declare

#endif // TARRAGONSILL_DECLARE_HPP_INCLUDED
