#ifndef TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED
#define TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The events of a run: `NAME[:ARGUMENT]@SECOND`.
namespace tarragonsill::Lab {

enum class EventKind : std::uint8_t
{
  KillEntry,
  StopEntry,
  JoinEntry,
  PauseEntry, ///< Resumed after a few seconds.
  DrainUpstream,
  ColdUpstream,
  ZoneOut,
  ZoneIn,
  CutZone,
  HealZone,
  PlatformDown,
  PlatformUp,
  PlatformSlow,
  LoseAnswer, ///< The next write takes effect, but its answer is lost.
  Apply,
};

struct Event
{
  EventKind mKind = EventKind::KillEntry;
  std::string mArgument; ///< Empty: picked by the seed.
  double mSecond = 0;
};

/// The name of a kind, as on the command line.
std::string_view NameOf(EventKind aKind);

/// Reads an event; the reason is `Malformed` and says what is expected.
Result<Event> ParseEvent(std::string const& aText);

/// Checks that the zones and upstreams that events name exist.
Result<Success> CheckEvents(std::vector<Event> const& aEvents,
                            Configuration const& aConfiguration);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_EVENTS_HPP_INCLUDED
