#ifndef TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED
#define TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Where calls are recorded and run.
namespace tarragonsill {

/// The range that a call id belongs to.
std::uint16_t CallRange(std::string const& aCallId);

/// The homes of a call: one in each zone in service. The first is in the zone
/// that the hash of the call id picks; zones are weighted by the slots of their
/// upstreams of the service.
std::vector<EntryIndex> CallHomes(SteeringSnapshot const& aSnapshot,
                                  std::size_t aService,
                                  std::string const& aCallId);

/// The upstreams that may run a call, in the order in which they are tried:
/// those of the given zone first. `aRetry` varies the order within a zone.
std::vector<std::size_t> CallCandidates(SteeringSnapshot const& aSnapshot,
                                        std::size_t aService,
                                        std::string const& aCallId,
                                        std::string const& aZone,
                                        std::uint32_t aRetry);

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_PLACEMENT_HPP_INCLUDED
