#ifndef TARRAGONSILL_COMPARE_HPP_INCLUDED
#define TARRAGONSILL_COMPARE_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <string>

/// Compares tarragonsill's steering with simple baselines on the same flows and
/// events: six entry VMs in three zones, 14 upstreams.
namespace tarragonsill::Compare {

enum class Event : std::uint8_t
{
  None,
  KillEntry,
  DrainUpstream,
  AddUpstream,
  KillDuringDrain,
};

inline constexpr std::array kEvents = { Event::None,
                                        Event::KillEntry,
                                        Event::DrainUpstream,
                                        Event::AddUpstream,
                                        Event::KillDuringDrain };

struct Outcome
{
  std::string mEvent;
  std::uint64_t mFlows = 0;
  std::uint64_t mBrokenFlows = 0;
  /// Bytes that entry VMs send to each other per flow.
  double mControlBytesPerFlow = 0;
  double mStateBytesPerEntry = 0;
  /// Maximum over mean number of flows per upstream, before the event.
  double mImbalance = 0;
};

/// Baseline without flow state: every packet is hashed over the serving
/// upstreams.
Outcome RunPureHashing(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// Baseline with local state: only the entry VM that got the opening packet
/// records the flow.
Outcome RunLocalState(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// Baseline with full replication: every entry VM records every flow.
Outcome RunReplicated(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// Runs tarragonsill's packet engine and control plane.
Outcome RunTarragonsill(Event aEvent,
                        std::uint32_t aFlows,
                        std::uint64_t aSeed);

} // namespace tarragonsill::Compare

#endif // TARRAGONSILL_COMPARE_HPP_INCLUDED
