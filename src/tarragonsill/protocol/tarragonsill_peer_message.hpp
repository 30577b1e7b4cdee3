#ifndef TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED
#define TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"

#include <cstddef>
#include <span>

#include <tarragonsill_peer.pb.h>

/// Checked reading of control messages.
namespace tarragonsill {

/// Reads one datagram. The reason is `Malformed` if it is not a message, and
/// `Invalid` if its sender is not described in full.
Result<wire::PeerMessage> ReadPeerMessage(std::span<std::byte const> aDatagram);

} // namespace tarragonsill

#endif // TARRAGONSILL_PEER_MESSAGE_HPP_INCLUDED
