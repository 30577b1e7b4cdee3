#ifndef TARRAGONSILL_OUTBOX_HPP_INCLUDED
#define TARRAGONSILL_OUTBOX_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"

#include <vector>

#include <tarragonsill_peer.pb.h>

/// Control messages to be sent. The protocol code fills the outbox; the driver
/// sends the messages and empties it.
namespace tarragonsill {

struct OutgoingMessage
{
  Endpoint mTo;
  wire::PeerMessage mMessage;
};

using Outbox = std::vector<OutgoingMessage>;

/// Appends an empty message and returns it.
inline wire::PeerMessage&
AddMessage(Outbox& aOutbox, Endpoint aTo)
{
  aOutbox.push_back({ aTo, {} });
  return aOutbox.back().mMessage;
}

} // namespace tarragonsill

#endif // TARRAGONSILL_OUTBOX_HPP_INCLUDED
