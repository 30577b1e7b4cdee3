#ifndef TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED
#define TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <cstdint>

/// Bounds and marks that the parts of the packet engine share.
namespace tarragonsill::Detail {

/// Bounds how often a packet may pass between entry VMs.
constexpr std::uint8_t kMaxHops = 16;
/// After this many hops a home decides even if its view names another home.
constexpr std::uint8_t kHomeForwardHops = 2;
/// How many homes hold each exception.
constexpr std::size_t kRecorders = 2;
/// How often a flow in use is reported to its owner and its second home.
constexpr seconds kRefreshInterval{ 30 };
/// A record at the second home is marked by this step.
constexpr std::uint8_t kSecondHome = 1;
/// A record that answers a lookup goes to the asking home only.
constexpr std::uint8_t kLookupAnswer = 2;
/// Set in the step of a lookup and of its answer once a home that may have the
/// record was passed over, as it does not answer.
constexpr std::uint8_t kLookupGap = 0x80;
/// Bounds the queue of decisions that wait for the log.
constexpr std::size_t kMaxQueuedDecisions = 8192;

} // namespace tarragonsill::Detail

#endif // TARRAGONSILL_PACKET_ENGINE_CONSTANTS_HPP_INCLUDED
