#ifndef TARRAGONSILL_MECHANISMS_HPP_INCLUDED
#define TARRAGONSILL_MECHANISMS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The mechanisms of decision that can be switched off, one by one, to find out
/// what each of them is worth or whether it is to blame.
namespace tarragonsill {

enum class Mechanism : std::uint8_t
{
  ZoneFirst,       ///< The own zone's upstreams come before others.
  ZoneSpill,       ///< Other zones join in when the own one's answers wait.
  SlotSpill,       ///< They do, too, for an upstream whose slots are filled.
  AnswerPace,      ///< Slow upstreams get fewer new flows.
  DoubtfulLast,    ///< Upstreams that owe something come last.
  Probation,       ///< One new flow in a while tries such an upstream.
  SecondChoice,    ///< A copy of an opening goes elsewhere if it has to.
  SilentUpstreams, ///< Flows whose repeats nobody answers are given up.
  ReachChecks,     ///< Doubtful upstreams are checked by a connection.
  EvidenceAges,    ///< What was found out of an upstream counts for a while.
  ColdShare,       ///< A VM uses a part of what a cold upstream bears.
  EarlyPackets,    ///< Packets wait for the first view.
  LateOpenings,    ///< Openings that waited in a standstill are dropped.
  CutZoneUnready,  ///< Not ready in a cut zone that has nothing to offer.
  StayReady,       ///< Leaving waits while too few others are ready.
  PeersFirst,      ///< A VM that starts asks its peers before the store.
  DrawnWatchers,   ///< A few VMs watch the store and pass on what they hear.
  WatchScout,      ///< One watch finds out for others when calls fail.
  GatheredChanges, ///< Changes gather before the next watch.
  ReplicaLists,    ///< Lists after the first one may come from a replica.
  MissingPatience, ///< A missing registration says nothing for a while.
  Count,
};

std::string_view ToText(Mechanism aMechanism);

/// Which mechanisms are in use; all of them unless said otherwise.
class Mechanisms
{
public:
  Mechanisms() = default;
  /// All but the named ones; the reason, `Invalid`, lists the names there are.
  static Result<Mechanisms> Without(std::vector<std::string> const& aNames);

  bool Uses(Mechanism aMechanism) const
  {
    return !mOff[static_cast<std::size_t>(aMechanism)];
  }
  /// The names of those that are switched off.
  std::vector<std::string> DisabledNames() const;
  /// One gauge for each, 1 while it is in use, in the text exposition format.
  std::string ToExposition(std::string_view aEntry) const;

private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> mOff;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_MECHANISMS_HPP_INCLUDED
