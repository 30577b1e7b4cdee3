#include "deployments.hpp"

#include <array>

namespace tarragonsill::Examples {

namespace {

using Declare::DeploymentBuilder;
using Declare::ServiceBuilder;
using Declare::UpstreamBuilder;

constexpr std::uint32_t kConnections = 2000;
constexpr std::uint32_t kColdConnections = 100;
constexpr std::uint32_t kColdSlots = 1;
constexpr std::uint16_t kFlowPort = 8443;
constexpr std::uint16_t kCallPort = 9443;

/// Adds upstreams, assigned to the zones in turn.
ServiceBuilder
WithUpstreams(ServiceBuilder aService,
              std::string const& aPrefix,
              std::array<std::string, 3> const& aZones,
              unsigned aUpstreams,
              std::string const& aNetwork,
              std::uint32_t aSlots)
{
  for (unsigned index = 0; index < aUpstreams; ++index) {
    auto const address = aNetwork + std::to_string(index + 1);
    aService = std::move(aService).Add(
      UpstreamBuilder::Named(aPrefix + "-" + std::to_string(index + 1))
        .InZone(aZones[index % aZones.size()])
        .At(address + ":" + std::to_string(kFlowPort))
        .WithCallAddress(address + ":" + std::to_string(kCallPort))
        .WithLimit(kConnections, aSlots)
        .WithColdLimit(kColdConnections, kColdSlots));
  }
  return aService;
}

DeploymentBuilder
WithZones(DeploymentBuilder aDeployment,
          std::array<std::string, 3> const& aZones)
{
  for (auto const& zone : aZones) {
    aDeployment = std::move(aDeployment).Zone(zone);
  }
  return aDeployment;
}

} // namespace

DeploymentBuilder
ReykjavikDeployment()
{
  constexpr std::uint32_t kSlots = 4;
  std::array<std::string, 3> const zones = { "hofud-a", "hofud-b", "hofud-c" };
  return WithZones(DeploymentBuilder::Named("reykjavik"), zones)
    .Add(WithUpstreams(
      ServiceBuilder::Named("askrift-app").At("198.51.100.10:443"),
      "app",
      zones,
      14,
      "10.20.1.",
      kSlots))
    .Add(WithUpstreams(ServiceBuilder::Named("midar").At("198.51.100.11:443"),
                       "midar",
                       zones,
                       4,
                       "10.20.2.",
                       kSlots));
}

DeploymentBuilder
AmmanDeployment()
{
  constexpr std::uint32_t kSlots = 2;
  std::array<std::string, 3> const zones = { "amman-a", "amman-b", "amman-c" };
  return WithZones(DeploymentBuilder::Named("amman"), zones)
    .Add(WithUpstreams(ServiceBuilder::Named("booking").At("203.0.113.10:443"),
                       "booking",
                       zones,
                       14,
                       "10.30.1.",
                       kSlots))
    .Add(WithUpstreams(ServiceBuilder::Named("routes").At("203.0.113.11:443"),
                       "routes",
                       zones,
                       4,
                       "10.30.2.",
                       kSlots));
}

} // namespace tarragonsill::Examples
