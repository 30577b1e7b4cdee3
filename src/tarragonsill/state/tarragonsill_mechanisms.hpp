#ifndef TARRAGONSILL_MECHANISMS_HPP_INCLUDED
#define TARRAGONSILL_MECHANISMS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Decision mechanisms that can be switched off one by one, to measure the
/// effect of each or to rule it out as the cause of a problem.
namespace tarragonsill {

/// A mechanism that can be switched off by its name.
enum class Mechanism : std::uint8_t
{
  ZoneFirst,         ///< Prefer upstreams of the entry VM's own zone.
  ZoneSpill,         ///< Use other zones while the own one is saturated.
  SlotSpill,         ///< Use other zones if an upstream's slots are full.
  AnswerPace,        ///< Give slow upstreams fewer new flows.
  DoubtfulLast,      ///< Choose suspected upstreams last.
  Probation,         ///< Send a suspected upstream an occasional trial flow.
  SecondChoice,      ///< Retry an opening at another upstream.
  SilentZones,       ///< Avoid zones of which no upstream answers.
  SilentUpstreams,   ///< Reset flows of upstreams that have ended.
  ReachChecks,       ///< Probe suspected upstreams by connecting.
  EvidenceAges,      ///< Let evidence about an upstream's health expire.
  ColdShare,         ///< Use only the VM's share of a cold upstream's limit.
  EarlyPackets,      ///< Hold packets until there is a first view.
  LateOpenings,      ///< Drop opening packets queued during a local pause.
  CutZoneUnready,    ///< Report unready in a cut-off zone without upstreams.
  StayReady,         ///< Delay leaving while too few other VMs are ready.
  PeersFirst,        ///< Ask peers before the store at a start.
  DrawnWatchers,     ///< Only a few VMs watch the store and relay its changes.
  WatchScout,        ///< Retry only one watch often while the store fails.
  GatheredChanges,   ///< Delay the watch after changes, to batch more.
  ReplicaLists,      ///< Allow lists after the first to come from a replica.
  MissingPatience,   ///< Tolerate a missing registration for a while.
  LoadReports,       ///< Exchange observations of upstreams within a zone.
  ExpectedDelay,     ///< Place flows by the delay expected at each upstream.
  PriorityAdmission, ///< Reject openings by priority during a shortage.
  HedgedOpenings,    ///< Offer a late opening to a second upstream.
  OutboundReach,     ///< Leave callers to other zones if no packet gets out.
  RestartSigns,      ///< Count upstreams that were lost and run again as cold.
  LateAnswers,       ///< Correct the cookie of upstreams that answer late.
  Count,
};

std::string_view ToText(Mechanism aMechanism);

/// The set of mechanisms in use; by default all of them.
class Mechanisms
{
public:
  Mechanisms() = default;
  /// All mechanisms but the named ones. Fails with `Invalid` for an unknown
  /// name; the reason lists the valid names.
  static Result<Mechanisms> Without(std::vector<std::string> const& aNames);

  bool Uses(Mechanism aMechanism) const
  {
    return !mOff[static_cast<std::size_t>(aMechanism)];
  }
  /// The names of the mechanisms that are switched off.
  std::vector<std::string> DisabledNames() const;
  /// Formats a gauge per mechanism, 1 if it is in use, as Prometheus text
  /// exposition.
  std::string ToExposition(std::string_view aEntry) const;

private:
  std::bitset<static_cast<std::size_t>(Mechanism::Count)> mOff;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_MECHANISMS_HPP_INCLUDED
