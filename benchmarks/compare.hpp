#ifndef TARRAGONSILL_COMPARE_HPP_INCLUDED
#define TARRAGONSILL_COMPARE_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <string>

/// Our steering beside plain baselines, on the same flows and events: six
/// entry VMs in three zones, 14 upstreams.
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
  std::uint64_t mBroken = 0;
  /// Bytes sent between entry VMs on account of one flow.
  double mControlBytesPerFlow = 0;
  double mStateBytesPerNode = 0;
  /// Largest over mean number of flows by upstream, before the event.
  double mImbalance = 0;
};

/// Every packet is hashed over the serving upstreams.
Outcome RunPureHashing(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// The entry VM that saw the first packet remembers the flow.
Outcome RunLocalState(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// Every entry VM is told of every flow.
Outcome RunReplicated(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);
/// The packet engine and the control plane.
Outcome RunOurs(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed);

} // namespace tarragonsill::Compare

#endif // TARRAGONSILL_COMPARE_HPP_INCLUDED
