#ifndef TARRAGONSILL_DECLARE_HPP_INCLUDED
#define TARRAGONSILL_DECLARE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The operators' library: builds the configuration of a deployment in C++ and
/// writes it as YAML for `tarragonsill apply`. Errors are collected and
/// reported by `Build` and `ToYaml`.
namespace tarragonsill::Declare {

/// Builds an upstream.
class UpstreamBuilder
{
public:
  static UpstreamBuilder Named(std::string aName);

  UpstreamBuilder InZone(std::string aZone) &&;
  /// Sets the destination of its flows, `ADDRESS:PORT`.
  UpstreamBuilder At(std::string_view aAddress) &&;
  /// Sets the destination of its calls, `ADDRESS:PORT`.
  UpstreamBuilder WithCallAddress(std::string_view aAddress) &&;
  /// Sets its limit when it is warm.
  UpstreamBuilder WithLimit(std::uint32_t aConnections,
                            std::uint32_t aSlots) &&;
  /// Sets its limit right after a start.
  UpstreamBuilder WithColdLimit(std::uint32_t aConnections,
                                std::uint32_t aSlots) &&;
  UpstreamBuilder Draining() &&;

private:
  friend class ServiceBuilder;
  UpstreamBuilder() = default;
  /// Parses an address; an error is added to `mErrors`.
  Endpoint Parse(std::string_view aAddress);

  Upstream mUpstream;
  std::vector<std::string> mErrors;
};

/// Builds a service.
class ServiceBuilder
{
public:
  static ServiceBuilder Named(std::string aName);

  /// Sets the address that callers use, `ADDRESS:PORT`.
  ServiceBuilder At(std::string_view aAddress) &&;
  ServiceBuilder WithIdleTimeout(Duration aTimeout) &&;
  ServiceBuilder Add(UpstreamBuilder aUpstream) &&;

private:
  friend class DeploymentBuilder;
  ServiceBuilder() = default;

  Service mService;
  std::vector<std::string> mErrors;
};

/// Builds the configuration of a deployment.
class DeploymentBuilder
{
public:
  static DeploymentBuilder Named(std::string aName);

  DeploymentBuilder Zone(std::string aName,
                         ZoneState aState = ZoneState::In) &&;
  DeploymentBuilder Add(ServiceBuilder aService) &&;

  /// Returns the checked configuration. Fails with `Invalid` and a text that
  /// lists all errors.
  Result<Configuration> Build() const;
  /// Returns the configuration as YAML. Fails like `Build`.
  Result<std::string> ToYaml() const;

private:
  DeploymentBuilder() = default;

  Configuration mConfiguration;
  std::vector<std::string> mErrors;
};

} // namespace tarragonsill::Declare

#endif // TARRAGONSILL_DECLARE_HPP_INCLUDED
