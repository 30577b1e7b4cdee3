#ifndef TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED
#define TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Where calls are recorded and run.
namespace tarragonsill {

/// The range into which a call identity falls.
std::uint16_t CallRange(std::string const& aCallId);

/// The homes of a call: one in each zone in service, the one of the call's
/// pure choice of zone first. Zones weigh as much as their upstreams of the
/// service have slots.
std::vector<EntryIndex> CallHomes(SteeringSnapshot const& aSnapshot,
                                  std::size_t aService,
                                  std::string const& aCallId);

/// The upstreams that may run a call, in the order in which they are asked:
/// those of the given zone first. `aRetry` varies the order within a zone.
std::vector<std::size_t> CallCandidates(SteeringSnapshot const& aSnapshot,
                                        std::size_t aService,
                                        std::string const& aCallId,
                                        std::string const& aZone,
                                        std::uint32_t aRetry);

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED
