#include "tarragonsill/declare/tarragonsill_declare.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

namespace tarragonsill::Declare {

UpstreamSpec
UpstreamSpec::Named(std::string aName)
{
  UpstreamSpec spec;
  spec.mUpstream.mName = std::move(aName);
  return spec;
}

Endpoint
UpstreamSpec::Parse(std::string_view aAddress)
{
  auto const endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    mErrors.push_back("upstream " + mUpstream.mName + ": " +
                      endpoint.LastReason().mText);
    return {};
  }
  return *endpoint;
}

UpstreamSpec
UpstreamSpec::InZone(std::string aZone) &&
{
  mUpstream.mZone = std::move(aZone);
  return std::move(*this);
}

UpstreamSpec
UpstreamSpec::At(std::string_view aAddress) &&
{
  mUpstream.mAddress = Parse(aAddress);
  return std::move(*this);
}

UpstreamSpec
UpstreamSpec::CallsAt(std::string_view aAddress) &&
{
  mUpstream.mCallAddress = Parse(aAddress);
  return std::move(*this);
}

UpstreamSpec
UpstreamSpec::Bears(std::uint32_t aConnections, std::uint32_t aSlots) &&
{
  mUpstream.mLimit = { aConnections, aSlots };
  return std::move(*this);
}

UpstreamSpec
UpstreamSpec::BearsCold(std::uint32_t aConnections, std::uint32_t aSlots) &&
{
  mUpstream.mColdLimit = { aConnections, aSlots };
  return std::move(*this);
}

UpstreamSpec
UpstreamSpec::Draining() &&
{
  mUpstream.mState = UpstreamAdminState::Draining;
  return std::move(*this);
}

ServiceSpec
ServiceSpec::Named(std::string aName)
{
  ServiceSpec spec;
  spec.mService.mName = std::move(aName);
  return spec;
}

ServiceSpec
ServiceSpec::At(std::string_view aAddress) &&
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

ServiceSpec
ServiceSpec::IdleAfter(Duration aTimeout) &&
{
  mService.mIdleTimeout = aTimeout;
  return std::move(*this);
}

ServiceSpec
ServiceSpec::Add(UpstreamSpec aUpstream) &&
{
  mService.mUpstreams.push_back(std::move(aUpstream.mUpstream));
  mErrors.insert(
    mErrors.end(), aUpstream.mErrors.begin(), aUpstream.mErrors.end());
  return std::move(*this);
}

DeploymentSpec
DeploymentSpec::Named(std::string aName)
{
  DeploymentSpec spec;
  spec.mConfiguration.mDeployment = std::move(aName);
  return spec;
}

DeploymentSpec
DeploymentSpec::Zone(std::string aName, ZoneState aState) &&
{
  mConfiguration.mZones.push_back({ std::move(aName), aState });
  return std::move(*this);
}

DeploymentSpec
DeploymentSpec::Add(ServiceSpec aService) &&
{
  mConfiguration.mServices.push_back(std::move(aService.mService));
  mErrors.insert(
    mErrors.end(), aService.mErrors.begin(), aService.mErrors.end());
  return std::move(*this);
}

Result<Configuration>
DeploymentSpec::Build() const
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
DeploymentSpec::Print() const
{
  auto const configuration = Build();
  if (!configuration) {
    return configuration.LastReason();
  }
  return WriteConfiguration(*configuration, false);
}

} // namespace tarragonsill::Declare
