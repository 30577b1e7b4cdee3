#include "deployments.hpp"

#include <array>

namespace tarragonsill::Examples {

namespace {

using Declare::DeploymentSpec;
using Declare::ServiceSpec;
using Declare::UpstreamSpec;

constexpr std::uint32_t kConnections = 2000;
constexpr std::uint32_t kColdConnections = 100;
constexpr std::uint32_t kColdSlots = 1;
constexpr std::uint16_t kFlowPort = 8443;
constexpr std::uint16_t kCallPort = 9443;

/// Adds upstreams, assigned to the zones in turn.
ServiceSpec
WithUpstreams(ServiceSpec aService,
              std::string const& aPrefix,
              std::array<std::string, 3> const& aZones,
              unsigned aUpstreams,
              std::string const& aNetwork,
              std::uint32_t aSlots)
{
  for (unsigned index = 0; index < aUpstreams; ++index) {
    auto const address = aNetwork + std::to_string(index + 1);
    aService = std::move(aService).Add(
      UpstreamSpec::Named(aPrefix + "-" + std::to_string(index + 1))
        .InZone(aZones[index % aZones.size()])
        .At(address + ":" + std::to_string(kFlowPort))
        .CallsAt(address + ":" + std::to_string(kCallPort))
        .Bears(kConnections, aSlots)
        .BearsCold(kColdConnections, kColdSlots));
  }
  return aService;
}

DeploymentSpec
WithZones(DeploymentSpec aDeployment, std::array<std::string, 3> const& aZones)
{
  for (auto const& zone : aZones) {
    aDeployment = std::move(aDeployment).Zone(zone);
  }
  return aDeployment;
}

} // namespace

DeploymentSpec
ReykjavikDeployment()
{
  constexpr std::uint32_t kSlots = 4;
  std::array<std::string, 3> const zones = { "hofud-a", "hofud-b", "hofud-c" };
  return WithZones(DeploymentSpec::Named("reykjavik"), zones)
    .Add(
      WithUpstreams(ServiceSpec::Named("askrift-app").At("198.51.100.10:443"),
                    "app",
                    zones,
                    14,
                    "10.20.1.",
                    kSlots))
    .Add(WithUpstreams(ServiceSpec::Named("midar").At("198.51.100.11:443"),
                       "midar",
                       zones,
                       4,
                       "10.20.2.",
                       kSlots));
}

DeploymentSpec
AmmanDeployment()
{
  constexpr std::uint32_t kSlots = 2;
  std::array<std::string, 3> const zones = { "amman-a", "amman-b", "amman-c" };
  return WithZones(DeploymentSpec::Named("amman"), zones)
    .Add(WithUpstreams(ServiceSpec::Named("booking").At("203.0.113.10:443"),
                       "booking",
                       zones,
                       14,
                       "10.30.1.",
                       kSlots))
    .Add(WithUpstreams(ServiceSpec::Named("routes").At("203.0.113.11:443"),
                       "routes",
                       zones,
                       4,
                       "10.30.2.",
                       kSlots));
}

} // namespace tarragonsill::Examples
