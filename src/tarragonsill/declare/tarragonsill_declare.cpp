#include "tarragonsill/declare/tarragonsill_declare.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

namespace tarragonsill::Declare {

UpstreamBuilder
UpstreamBuilder::Named(std::string aName)
{
  UpstreamBuilder builder;
  builder.mUpstream.mName = std::move(aName);
  return builder;
}

Endpoint
UpstreamBuilder::Parse(std::string_view aAddress)
{
  auto const endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    mErrors.push_back("upstream " + mUpstream.mName + ": " +
                      endpoint.LastReason().mText);
    return {};
  }
  return *endpoint;
}

UpstreamBuilder
UpstreamBuilder::InZone(std::string aZone) &&
{
  mUpstream.mZone = std::move(aZone);
  return std::move(*this);
}

UpstreamBuilder
UpstreamBuilder::At(std::string_view aAddress) &&
{
  mUpstream.mAddress = Parse(aAddress);
  return std::move(*this);
}

UpstreamBuilder
UpstreamBuilder::WithCallAddress(std::string_view aAddress) &&
{
  mUpstream.mCallAddress = Parse(aAddress);
  return std::move(*this);
}

UpstreamBuilder
UpstreamBuilder::WithLimit(std::uint32_t aConnections, std::uint32_t aSlots) &&
{
  mUpstream.mLimit = { aConnections, aSlots };
  return std::move(*this);
}

UpstreamBuilder
UpstreamBuilder::WithColdLimit(std::uint32_t aConnections,
                               std::uint32_t aSlots) &&
{
  mUpstream.mColdLimit = { aConnections, aSlots };
  return std::move(*this);
}

UpstreamBuilder
UpstreamBuilder::Draining() &&
{
  mUpstream.mState = UpstreamAdminState::Draining;
  return std::move(*this);
}

ServiceBuilder
ServiceBuilder::Named(std::string aName)
{
  ServiceBuilder builder;
  builder.mService.mName = std::move(aName);
  return builder;
}

ServiceBuilder
ServiceBuilder::At(std::string_view aAddress) &&
{
  auto const endpoint = ParseEndpoint(aAddress);
  if (endpoint) {
    mService.mAddress = *endpoint;
  } else {
    mErrors.push_back("service " + mService.mName + ": " +
                      endpoint.LastReason().mText);
  }
  return std::move(*this);
}

ServiceBuilder
ServiceBuilder::WithIdleTimeout(Duration aTimeout) &&
{
  mService.mIdleTimeout = aTimeout;
  return std::move(*this);
}

ServiceBuilder
ServiceBuilder::Add(UpstreamBuilder aUpstream) &&
{
  mService.mUpstreams.push_back(std::move(aUpstream.mUpstream));
  mErrors.insert(
    mErrors.end(), aUpstream.mErrors.begin(), aUpstream.mErrors.end());
  return std::move(*this);
}

DeploymentBuilder
DeploymentBuilder::Named(std::string aName)
{
  DeploymentBuilder builder;
  builder.mConfiguration.mDeployment = std::move(aName);
  return builder;
}

DeploymentBuilder
DeploymentBuilder::Zone(std::string aName, ZoneState aState) &&
{
  mConfiguration.mZones.push_back({ std::move(aName), aState });
  return std::move(*this);
}

DeploymentBuilder
DeploymentBuilder::Add(ServiceBuilder aService) &&
{
  mConfiguration.mServices.push_back(std::move(aService.mService));
  mErrors.insert(
    mErrors.end(), aService.mErrors.begin(), aService.mErrors.end());
  return std::move(*this);
}

Result<Configuration>
DeploymentBuilder::Build() const
{
  auto errors = mErrors;
  for (auto const& error : Validate(mConfiguration)) {
    errors.push_back(error.mKey + ": " + error.mText);
  }
  if (errors.empty()) {
    return mConfiguration;
  }
  std::string text;
  for (auto const& error : errors) {
    text += (text.empty() ? "" : "; ") + error;
  }
  return Reason{ ReasonCode::Invalid, text };
}

Result<std::string>
DeploymentBuilder::ToYaml() const
{
  auto const configuration = Build();
  if (!configuration) {
    return configuration.LastReason();
  }
  return WriteConfiguration(*configuration, false);
}

} // namespace tarragonsill::Declare
