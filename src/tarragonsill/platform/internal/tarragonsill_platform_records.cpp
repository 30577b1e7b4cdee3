#include "tarragonsill/platform/internal/tarragonsill_platform_records.hpp"

#include <algorithm>
#include <charconv>

namespace tarragonsill::Platform {

namespace {

/// Longer times are mistakes of their writer, and would overflow a time point.
constexpr milliseconds kLongestTime{ 24 * 3600 * 1000 };

milliseconds
FromMilliseconds(double aMilliseconds)
{
  auto const bounded =
    std::clamp(aMilliseconds, 0.0, static_cast<double>(kLongestTime.count()));
  return milliseconds{ static_cast<milliseconds::rep>(bounded) };
}

milliseconds
FromSeconds(double aSeconds)
{
  constexpr double kMillisecondsPerSecond = 1e3;
  return FromMilliseconds(aSeconds * kMillisecondsPerSecond);
}

/// More requests at once than any upstream runs.
constexpr std::uint64_t kMaxSlots = 1'000'000;

Reason
Malformed(std::string aText)
{
  return { ReasonCode::Malformed, std::move(aText) };
}

/// Reads the hexadecimal digits of a name, wherever they stand in it; nothing
/// if there are none or more than 64 bits.
std::optional<std::uint64_t>
IdentityOf(std::string const& aName)
{
  constexpr int kHexadecimal = 16;
  auto const dash = aName.rfind('-');
  auto const digits =
    dash == std::string::npos ? aName : aName.substr(dash + 1);
  std::uint64_t value = 0;
  auto const* const end = digits.data() + digits.size();
  auto const [stop, error] =
    std::from_chars(digits.data(), end, value, kHexadecimal);
  if (digits.empty() || error != std::errc{} || stop != end || value == 0) {
    return std::nullopt;
  }
  return value;
}

/// A port is written between slashes: "/8443/".
std::optional<std::uint16_t>
PortOf(std::string const& aPath)
{
  if (aPath.size() < 3 || aPath.front() != '/' || aPath.back() != '/') {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  auto const* const end = aPath.data() + aPath.size() - 1;
  auto const [stop, error] = std::from_chars(aPath.data() + 1, end, port);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return port;
}

std::vector<RouteShare>
DecodeShares(nlohmann::json const& aRoute)
{
  std::vector<RouteShare> shares;
  if (auto const service = Text(aRoute, "service")) {
    shares.push_back({ *service, 1 });
  }
  for (auto const& part : Member(aRoute, "split")) {
    auto const service = Text(part, "service");
    auto const weight = Unsigned(part, "weight");
    if (!service || !weight) {
      continue;
    }
    shares.push_back({ *service, static_cast<std::uint32_t>(*weight) });
  }
  return shares;
}

Result<ServiceRoute>
DecodeRoute(nlohmann::json const& aRoute)
{
  ServiceRoute route;
  route.mName = Text(aRoute, "name").value_or("");
  // The two names mislead: these are an address and a port, not a host name
  // and a path.
  auto const address = ParseAddress(Text(aRoute, "host").value_or(""));
  auto const port = PortOf(Text(aRoute, "pathPrefix").value_or(""));
  if (!address || !port) {
    return Malformed("route '" + route.mName + "' has no address or port");
  }
  route.mAddress = { *address, *port };
  route.mShares = DecodeShares(aRoute);
  auto const kind = Text(aRoute, "type").value_or("");
  bool const idempotent = kind == "safe" || kind == "download";
  route.mKind =
    idempotent ? RequestKind::Idempotent : RequestKind::NotIdempotent;
  if (auto const target = Number(aRoute, "latencyTargetMs")) {
    route.mLatencyTarget = FromMilliseconds(*target);
  }
  return route;
}

} // namespace

nlohmann::json const&
Member(nlohmann::json const& aObject, char const* aName)
{
  static nlohmann::json const sNull;
  if (!aObject.is_object()) {
    return sNull;
  }
  auto const found = aObject.find(aName);
  return found == aObject.end() ? sNull : *found;
}

std::optional<std::string>
Text(nlohmann::json const& aObject, char const* aName)
{
  auto const& member = Member(aObject, aName);
  return member.is_string() ? std::optional(member.get<std::string>())
                            : std::nullopt;
}

std::optional<std::uint64_t>
Unsigned(nlohmann::json const& aObject, char const* aName)
{
  auto const& member = Member(aObject, aName);
  return member.is_number_unsigned()
           ? std::optional(member.get<std::uint64_t>())
           : std::nullopt;
}

std::optional<double>
Number(nlohmann::json const& aObject, char const* aName)
{
  auto const& member = Member(aObject, aName);
  return member.is_number() ? std::optional(member.get<double>())
                            : std::nullopt;
}

bool
Flag(nlohmann::json const& aObject, char const* aName)
{
  auto const& member = Member(aObject, aName);
  return member.is_boolean() && member.get<bool>();
}

Result<UpstreamRegistration>
DecodeUpstream(std::string const& aName, nlohmann::json const& aSpec)
{
  UpstreamRegistration registration;
  registration.mName = aName;
  auto const identity = IdentityOf(aName);
  auto const address = ParseEndpoint(Text(aSpec, "address").value_or(""));
  auto const service = Text(aSpec, "service");
  auto const zone = Text(aSpec, "zone");
  auto const state = Text(aSpec, "state");
  auto const slots = Unsigned(aSpec, "slots");
  auto const cold = Number(aSpec, "coldLeftMs");
  if (!identity) {
    return Malformed("id: hexadecimal digits are expected");
  }
  if (!address || address->mPort == 0) {
    return Malformed("address: ADDRESS:PORT is expected");
  }
  if (!service || !zone) {
    return Malformed("service and zone: texts are expected");
  }
  if (!state || (*state != "ready" && *state != "draining")) {
    return Malformed("state: ready or draining is expected");
  }
  if (!slots || *slots == 0 || *slots > kMaxSlots || !cold || !(*cold >= 0.0)) {
    return Malformed("slots and coldLeftMs: numbers are expected");
  }
  registration.mIdentity = *identity;
  registration.mAddress = *address;
  registration.mService = *service;
  registration.mZone = *zone;
  registration.mSlots = static_cast<std::uint32_t>(*slots);
  registration.mDraining = *state == "draining";
  registration.mRemainingColdTime = FromMilliseconds(*cold);
  auto const& started = Member(aSpec, "born");
  if (started.is_number_integer()) {
    registration.mStartMark = started.get<std::int64_t>();
  }
  return registration;
}

Result<RoutingConfiguration>
DecodeConfiguration(nlohmann::json const& aSpec)
{
  auto const version = Unsigned(aSpec, "version");
  auto const& routes = Member(aSpec, "routes");
  auto const& services = Member(aSpec, "services");
  if (!version || !routes.is_array() || !services.is_array()) {
    return Malformed("version, routes and services are expected");
  }
  RoutingConfiguration configuration;
  configuration.mVersion = *version;
  for (auto const& item : routes) {
    auto route = DecodeRoute(item);
    if (!route) {
      return route.LastReason();
    }
    configuration.mRoutes.push_back(route.Take());
  }
  for (auto const& item : services) {
    ServiceRule rule;
    rule.mName = Text(item, "name").value_or("");
    rule.mColdTime = FromSeconds(Number(item, "coldS").value_or(0.0));
    rule.mColdFlowsPerSecond =
      std::max(0.0, Number(item, "coldRateS").value_or(0.0));
    configuration.mServices.push_back(std::move(rule));
  }
  auto const& limits = Member(aSpec, "limits");
  if (auto const idle = Number(limits, "idleTimeoutMs")) {
    configuration.mIdleTimeout = FromMilliseconds(*idle);
  }
  return configuration;
}

} // namespace tarragonsill::Platform
