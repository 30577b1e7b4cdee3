#ifndef TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED
#define TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The events of a run, written `NAME[:ARGUMENT]@SECOND`.
namespace tarragonsill::Lab {

enum class EventKind : std::uint8_t
{
  KillEntry,
  StopEntry,
  JoinEntry,
  PauseEntry, ///< The entry VM is resumed after a few seconds.
  DrainUpstream,
  ColdUpstream,
  ZoneOut,
  ZoneIn,
  CutZone,
  HealZone,
  PlatformDown,
  PlatformUp,
  PlatformSlow,
  LoseAnswer, ///< The next write is stored, but its answer is lost.
  Apply,
};

struct Event
{
  EventKind mKind = EventKind::KillEntry;
  std::string mArgument; ///< If empty, chosen at random from the seed.
  double mSecond = 0;
};

/// Returns the name of a kind, as written on the command line.
std::string_view NameOf(EventKind aKind);

/// Parses an event. Fails with `Malformed` and a text with the expected form.
Result<Event> ParseEvent(std::string const& aText);

/// Checks that the zones and upstreams named by events exist, and that `apply`
/// has a file. Fails with `Invalid`.
Result<Success> CheckEvents(std::vector<Event> const& aEvents,
                            Configuration const& aConfiguration);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED
