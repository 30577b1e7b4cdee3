#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"

#include "tarragonsill/state/tarragonsill_coarse_time.hpp"

namespace tarragonsill {

namespace {

constexpr std::uint32_t kMaxConnections = 1'000'000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr milliseconds kDefaultIdleTimeout{ 300'000 };

std::string
ItemKey(std::string const& aList, std::size_t aIndex)
{
  return aList + "[" + std::to_string(aIndex) + "]";
}

Zone
ReadZone(YamlMapping aMapping)
{
  Zone zone;
  zone.mName = aMapping.Text("name");
  bool const isOut = aMapping.IsSecondOption("state", "in", "out");
  zone.mState = isOut ? ZoneState::Out : ZoneState::In;
  aMapping.ReportUnreadKeys();
  return zone;
}

WorkLimit
ReadColdLimit(YamlMapping& aUpstream, WorkLimit aLimit)
{
  auto cold = aUpstream.Nested("cold", false);
  if (!cold) {
    constexpr std::uint32_t kColdLimitDivisor = 20;
    return { std::max(1U, aLimit.mConnections / kColdLimitDivisor),
             std::min(1U, aLimit.mSlots) };
  }
  WorkLimit limit;
  limit.mConnections = cold->Number("connections", 1, kMaxConnections);
  limit.mSlots = cold->Number("slots", 0, kMaxSlots, 0);
  cold->ReportUnreadKeys();
  return limit;
}

Upstream
ReadUpstream(YamlMapping aMapping)
{
  Upstream upstream;
  upstream.mName = aMapping.Text("name");
  upstream.mZone = aMapping.Text("zone");
  upstream.mAddress = aMapping.Address("address");
  upstream.mCallAddress =
    aMapping.OptionalAddress("calls").value_or(Endpoint{});
  upstream.mLimit.mConnections =
    aMapping.Number("connections", 1, kMaxConnections);
  upstream.mLimit.mSlots = aMapping.Number("slots", 0, kMaxSlots, 0);
  upstream.mColdLimit = ReadColdLimit(aMapping, upstream.mLimit);
  bool const isDraining =
    aMapping.IsSecondOption("state", "serving", "draining");
  upstream.mState =
    isDraining ? UpstreamAdminState::Draining : UpstreamAdminState::Serving;
  aMapping.ReportUnreadKeys();
  return upstream;
}

BaseShare
ReadBaseShare(YamlMapping aMapping)
{
  BaseShare share;
  share.mAddress = aMapping.Address("address");
  share.mZone = aMapping.Text("zone");
  share.mShare = aMapping.Number("share", 1, kMaxConnections);
  aMapping.ReportUnreadKeys();
  return share;
}

Service
ReadService(YamlMapping aMapping, YamlErrors& aErrors)
{
  Service service;
  auto const key = aMapping.Key();
  service.mName = aMapping.Text("name");
  service.mAddress = aMapping.Address("address");
  service.mIdleTimeout = aMapping.Time("idle_timeout",
                                       milliseconds{ 1000 },
                                       milliseconds{ CoarseTime::kMaxAge },
                                       kDefaultIdleTimeout);
  std::size_t index = 0;
  for (auto const& item : aMapping.Items("upstreams", true)) {
    YamlMapping mapping(item, ItemKey(key + ".upstreams", index++), aErrors);
    service.mUpstreams.push_back(ReadUpstream(std::move(mapping)));
  }
  index = 0;
  for (auto const& item : aMapping.Items("base", false)) {
    YamlMapping mapping(item, ItemKey(key + ".base", index++), aErrors);
    service.mBase.push_back(ReadBaseShare(std::move(mapping)));
  }
  index = 0;
  for (auto const& item : aMapping.Items("retired", false)) {
    auto const address = item.IsScalar() ? ParseEndpoint(item.Scalar())
                                         : Result<Endpoint>(Reason{});
    if (!address) {
      aErrors.Add(
        item, ItemKey(key + ".retired", index), "ADDRESS:PORT is expected");
    } else {
      service.mRetired.push_back(*address);
    }
    ++index;
  }
  aMapping.ReportUnreadKeys();
  return service;
}

void
AddValidationErrors(Configuration const& aConfiguration, YamlErrors& aErrors)
{
  for (auto const& error : Validate(aConfiguration)) {
    aErrors.AddAtLine(0, error.mKey, error.mText);
  }
}

void
WriteUpstream(YAML::Emitter& aOut, Upstream const& aUpstream)
{
  aOut << YAML::BeginMap;
  aOut << YAML::Key << "name" << YAML::Value << aUpstream.mName;
  aOut << YAML::Key << "zone" << YAML::Value << aUpstream.mZone;
  aOut << YAML::Key << "address" << YAML::Value << ToText(aUpstream.mAddress);
  if (aUpstream.mCallAddress.mPort != 0) {
    aOut << YAML::Key << "calls" << YAML::Value
         << ToText(aUpstream.mCallAddress);
  }
  aOut << YAML::Key << "connections" << YAML::Value
       << aUpstream.mLimit.mConnections;
  aOut << YAML::Key << "slots" << YAML::Value << aUpstream.mLimit.mSlots;
  aOut << YAML::Key << "cold" << YAML::Value << YAML::Flow << YAML::BeginMap;
  aOut << YAML::Key << "connections" << YAML::Value
       << aUpstream.mColdLimit.mConnections;
  aOut << YAML::Key << "slots" << YAML::Value << aUpstream.mColdLimit.mSlots;
  aOut << YAML::EndMap;
  if (aUpstream.mState == UpstreamAdminState::Draining) {
    aOut << YAML::Key << "state" << YAML::Value << "draining";
  }
  aOut << YAML::EndMap;
}

void
WriteDerived(YAML::Emitter& aOut, Service const& aService)
{
  aOut << YAML::Key << "base" << YAML::Value << YAML::BeginSeq;
  for (auto const& share : aService.mBase) {
    aOut << YAML::Flow << YAML::BeginMap;
    aOut << YAML::Key << "address" << YAML::Value << ToText(share.mAddress);
    aOut << YAML::Key << "zone" << YAML::Value << share.mZone;
    aOut << YAML::Key << "share" << YAML::Value << share.mShare;
    aOut << YAML::EndMap;
  }
  aOut << YAML::EndSeq;
  aOut << YAML::Key << "retired" << YAML::Value << YAML::BeginSeq;
  for (auto const& retired : aService.mRetired) {
    aOut << ToText(retired);
  }
  aOut << YAML::EndSeq;
}

} // namespace

std::optional<Configuration>
ReadConfiguration(std::string const& aText, YamlErrors& aErrors)
{
  auto const root = LoadYaml(aText, aErrors);
  if (!root) {
    return std::nullopt;
  }
  Configuration configuration;
  YamlMapping document(*root, "", aErrors);
  configuration.mDeployment = document.Text("deployment");
  std::size_t index = 0;
  for (auto const& item : document.Items("zones", true)) {
    YamlMapping mapping(item, ItemKey("zones", index++), aErrors);
    configuration.mZones.push_back(ReadZone(std::move(mapping)));
  }
  index = 0;
  for (auto const& item : document.Items("services", true)) {
    YamlMapping mapping(item, ItemKey("services", index++), aErrors);
    configuration.mServices.push_back(ReadService(std::move(mapping), aErrors));
  }
  document.ReportUnreadKeys();
  if (aErrors.All().empty()) {
    AddValidationErrors(configuration, aErrors);
  }
  if (!aErrors.All().empty()) {
    return std::nullopt;
  }
  return configuration;
}

std::string
WriteConfiguration(Configuration const& aConfiguration, bool aWithDerived)
{
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "deployment" << YAML::Value << aConfiguration.mDeployment;
  out << YAML::Key << "zones" << YAML::Value << YAML::BeginSeq;
  for (auto const& zone : aConfiguration.mZones) {
    out << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << zone.mName;
    out << YAML::Key << "state" << YAML::Value
        << (zone.mState == ZoneState::In ? "in" : "out");
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
  out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (auto const& service : aConfiguration.mServices) {
    auto const idleTimeout =
      std::chrono::duration_cast<milliseconds>(service.mIdleTimeout);
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << service.mName;
    out << YAML::Key << "address" << YAML::Value << ToText(service.mAddress);
    out << YAML::Key << "idle_timeout" << YAML::Value
        << std::to_string(idleTimeout.count()) + "ms";
    out << YAML::Key << "upstreams" << YAML::Value << YAML::BeginSeq;
    for (auto const& upstream : service.mUpstreams) {
      WriteUpstream(out, upstream);
    }
    out << YAML::EndSeq;
    if (aWithDerived) {
      WriteDerived(out, service);
    }
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

} // namespace tarragonsill
