#ifndef TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED
#define TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <cstdint>

/// Limits and route step values shared by the sources of the packet engine.
namespace tarragonsill::Detail {

/// Max hops of a packet between entry VMs.
constexpr std::uint8_t kMaxHops = 16;
/// After this many hops an entry VM decides on a packet even if its snapshot
/// names another home.
constexpr std::uint8_t kMaxHomeForwardHops = 2;
/// Number of homes that hold each exception.
constexpr std::size_t kExceptionHomes = 2;
/// Interval at which a flow in use is reported to its owner and second home.
constexpr seconds kRefreshInterval{ 30 };
/// Step of a record that is sent to the second home.
constexpr std::uint8_t kSecondHomeStep = 1;
/// Step of a record that completes a lookup; only the querying home stores it.
constexpr std::uint8_t kLookupResultStep = 2;
/// Flag in the step of a lookup and of its result: a home that may have the
/// record was skipped because it has failed.
constexpr std::uint8_t kLookupSkippedHome = 0x80;
/// Max decisions queued for the log.
constexpr std::size_t kMaxQueuedDecisions = 8192;

} // namespace tarragonsill::Detail

#endif // TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED
