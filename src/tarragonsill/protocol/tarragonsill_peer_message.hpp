#ifndef TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <cstddef>
#include <span>

#include <tarragonsill_peer.pb.h>

/// Parses and validates control messages.
namespace tarragonsill {

/// Parses one datagram. Fails with `Malformed` if it is not a message, and with
/// `Invalid` if the sender or a member in it has no valid name, zone or ports.
Result<wire::PeerMessage> ReadPeerMessage(std::span<std::byte const> aDatagram);

} // namespace tarragonsill

#endif // TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED
