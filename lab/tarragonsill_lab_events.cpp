#include "tarragonsill_lab_events.hpp"

#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace tarragonsill::Lab {

namespace {

struct NamedKind
{
  std::string_view mName;
  EventKind mKind;
};

constexpr std::array<NamedKind, 15> kKinds = { {
  { "kill-entry", EventKind::KillEntry },
  { "stop-entry", EventKind::StopEntry },
  { "join-entry", EventKind::JoinEntry },
  { "pause-entry", EventKind::PauseEntry },
  { "drain-upstream", EventKind::DrainUpstream },
  { "cold-upstream", EventKind::ColdUpstream },
  { "zone-out", EventKind::ZoneOut },
  { "zone-in", EventKind::ZoneIn },
  { "cut-zone", EventKind::CutZone },
  { "heal-zone", EventKind::HealZone },
  { "platform-down", EventKind::PlatformDown },
  { "platform-up", EventKind::PlatformUp },
  { "platform-slow", EventKind::PlatformSlow },
  { "lose-answer", EventKind::LoseAnswer },
  { "apply", EventKind::Apply },
} };

std::optional<double>
ParseSecond(std::string_view aText)
{
  double value = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [stop, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc{} || stop != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

bool
TakesZone(EventKind aKind)
{
  return aKind == EventKind::ZoneOut || aKind == EventKind::ZoneIn ||
         aKind == EventKind::CutZone || aKind == EventKind::HealZone;
}

bool
TakesUpstream(EventKind aKind)
{
  return aKind == EventKind::DrainUpstream || aKind == EventKind::ColdUpstream;
}

} // namespace

std::string_view
NameOf(EventKind aKind)
{
  for (auto const& kind : kKinds) {
    if (kind.mKind == aKind) {
      return kind.mName;
    }
  }
  return "undefined";
}

Result<Event>
ParseEvent(std::string const& aText)
{
  auto const at = aText.rfind('@');
  auto const second = at == std::string::npos
                        ? std::nullopt
                        : ParseSecond(std::string_view(aText).substr(at + 1));
  if (!second) {
    return Reason{ ReasonCode::Malformed,
                   "event '" + aText +
                     "' is malformed; expected NAME[:ARGUMENT]@SECOND" };
  }
  auto const nameAndArgument = aText.substr(0, at);
  auto const colon = nameAndArgument.find(':');
  auto const name = nameAndArgument.substr(0, colon);
  Event event;
  event.mSecond = *second;
  event.mArgument = colon == std::string::npos
                      ? std::string()
                      : nameAndArgument.substr(colon + 1);
  for (auto const& kind : kKinds) {
    if (kind.mName == name) {
      event.mKind = kind.mKind;
      return event;
    }
  }
  std::string knownNames;
  for (auto const& kind : kKinds) {
    knownNames += (knownNames.empty() ? "" : ", ") + std::string(kind.mName);
  }
  return Reason{ ReasonCode::Malformed,
                 "event '" + name +
                   "' is unknown; expected one of: " + knownNames };
}

Result<Success>
CheckEvents(std::vector<Event> const& aEvents,
            Configuration const& aConfiguration)
{
  for (auto const& event : aEvents) {
    if (event.mKind == EventKind::Apply && event.mArgument.empty()) {
      return Reason{ ReasonCode::Invalid,
                     "event 'apply' requires a file as its argument" };
    }
    if (event.mArgument.empty()) {
      continue;
    }
    if (TakesZone(event.mKind) &&
        aConfiguration.FindZone(event.mArgument) == nullptr) {
      return Reason{ ReasonCode::Invalid,
                     "zone '" + event.mArgument + "' is not declared" };
    }
    if (TakesUpstream(event.mKind) &&
        aConfiguration.FindUpstream(event.mArgument) == nullptr) {
      return Reason{ ReasonCode::Invalid,
                     "upstream '" + event.mArgument + "' is not declared" };
    }
  }
  return Success{};
}

} // namespace tarragonsill::Lab
