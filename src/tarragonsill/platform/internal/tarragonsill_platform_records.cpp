#include "tarragonsill/platform/internal/tarragonsill_platform_records.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace tarragonsill::Platform {

namespace {

/// Longer times are errors of the writer and would overflow a time point.
constexpr milliseconds kMaxTime{ 24 * 3600 * 1000 };

milliseconds
FromMilliseconds(double aMilliseconds)
{
  auto const bounded =
    std::clamp(aMilliseconds, 0.0, static_cast<double>(kMaxTime.count()));
  return milliseconds{ static_cast<milliseconds::rep>(bounded) };
}

milliseconds
FromSeconds(double aSeconds)
{
  constexpr double kMillisecondsPerSecond = 1e3;
  return FromMilliseconds(aSeconds * kMillisecondsPerSecond);
}

/// More concurrent requests than any upstream runs.
constexpr std::uint64_t kMaxSlots = 1'000'000;

/// Lower priorities than any operator tells apart.
constexpr std::uint64_t kMaxPriority = 1000;

constexpr std::uint64_t kMaxWeight = std::numeric_limits<std::uint32_t>::max();

constexpr std::uint64_t kMaxStartMark =
  std::numeric_limits<std::int64_t>::max();

Reason
MalformedReason(std::string aText)
{
  return { ReasonCode::Malformed, std::move(aText) };
}

/// Parses the hexadecimal digits after the last '-' of a name, or the whole
/// name if it has no '-'. Returns nothing if they are not a 64-bit number other
/// than 0.
std::optional<std::uint64_t>
ParseIdentity(std::string const& aName)
{
  constexpr int kHexadecimal = 16;
  auto const dash = aName.rfind('-');
  auto const digits =
    dash == std::string::npos ? aName : aName.substr(dash + 1);
  std::uint64_t value = 0;
  auto const* const end = digits.data() + digits.size();
  auto const [parseEnd, error] =
    std::from_chars(digits.data(), end, value, kHexadecimal);
  if (digits.empty() || error != std::errc{} || parseEnd != end || value == 0) {
    return std::nullopt;
  }
  return value;
}

/// Parses a port between slashes, such as "/8443/".
std::optional<std::uint16_t>
ParsePort(std::string const& aPath)
{
  if (aPath.size() < 3 || aPath.front() != '/' || aPath.back() != '/') {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  auto const* const end = aPath.data() + aPath.size() - 1;
  auto const [parseEnd, error] = std::from_chars(aPath.data() + 1, end, port);
  if (error != std::errc{} || parseEnd != end) {
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
  for (auto const& item : Member(aRoute, "split")) {
    auto const service = Text(item, "service");
    auto const weight = Unsigned(item, "weight");
    if (!service || !weight) {
      continue;
    }
    shares.push_back(
      { *service, static_cast<std::uint32_t>(std::min(*weight, kMaxWeight)) });
  }
  return shares;
}

Result<ServiceRoute>
DecodeRoute(nlohmann::json const& aRoute)
{
  ServiceRoute route;
  route.mName = Text(aRoute, "name").value_or("");
  // Despite their names, `host` is an IP address and `pathPrefix` holds a port.
  auto const address = ParseAddress(Text(aRoute, "host").value_or(""));
  auto const port = ParsePort(Text(aRoute, "pathPrefix").value_or(""));
  if (!address || !port) {
    return MalformedReason("route '" + route.mName +
                           "' has no valid address or port");
  }
  route.mAddress = { *address, *port };
  route.mShares = DecodeShares(aRoute);
  auto const type = Text(aRoute, "type").value_or("");
  bool const idempotent = type == "safe" || type == "download";
  route.mKind =
    idempotent ? RequestKind::Idempotent : RequestKind::NotIdempotent;
  if (auto const latencyTarget = Number(aRoute, "latencyTargetMs")) {
    route.mLatencyTarget = FromMilliseconds(*latencyTarget);
  }
  if (auto const priority = Unsigned(aRoute, "priority")) {
    route.mPriority =
      static_cast<std::uint32_t>(std::min(*priority, kMaxPriority));
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
  auto const identity = ParseIdentity(aName);
  auto const address = ParseEndpoint(Text(aSpec, "address").value_or(""));
  auto const service = Text(aSpec, "service");
  auto const zone = Text(aSpec, "zone");
  auto const state = Text(aSpec, "state");
  auto const slots = Unsigned(aSpec, "slots");
  auto const cold = Number(aSpec, "coldLeftMs");
  if (!identity) {
    return MalformedReason(
      "name: a hexadecimal number is expected after the last '-'");
  }
  if (!address || address->mPort == 0) {
    return MalformedReason("address: ADDRESS:PORT is expected");
  }
  if (!service || !zone) {
    return MalformedReason("service and zone: strings are expected");
  }
  if (!state || (*state != "ready" && *state != "draining")) {
    return MalformedReason("state: ready or draining is expected");
  }
  if (!slots || *slots == 0 || *slots > kMaxSlots || !cold || !(*cold >= 0.0)) {
    return MalformedReason(
      "slots: a whole number from 1 to 1000000 is expected; coldLeftMs: a "
      "non-negative number is expected");
  }
  registration.mIdentity = *identity;
  registration.mAddress = *address;
  registration.mService = *service;
  registration.mZone = *zone;
  registration.mSlots = static_cast<std::uint32_t>(*slots);
  registration.mDraining = *state == "draining";
  registration.mRemainingColdTime = FromMilliseconds(*cold);
  // `born` identifies a start of the upstream.
  auto const& startMark = Member(aSpec, "born");
  if (startMark.is_number_unsigned() &&
      startMark.get<std::uint64_t>() > kMaxStartMark) {
    return MalformedReason("born: a 63-bit whole number is expected");
  }
  if (startMark.is_number_integer()) {
    registration.mStartMark = startMark.get<std::int64_t>();
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
    return MalformedReason(
      "version: a whole number is expected; routes and services: lists are "
      "expected");
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
  if (auto const idleTimeout = Number(limits, "idleTimeoutMs")) {
    configuration.mIdleTimeout = FromMilliseconds(*idleTimeout);
  }
  return configuration;
}

} // namespace tarragonsill::Platform
