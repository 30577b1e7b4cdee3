#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"

#include <limits>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

bool
IsValidPort(std::uint32_t aPort)
{
  return aPort > 0 && aPort <= std::numeric_limits<std::uint16_t>::max();
}

bool
IsValidName(std::string const& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes;
}

bool
IsComplete(wire::MemberUpdate const& aUpdate)
{
  return IsValidName(aUpdate.name()) && IsValidName(aUpdate.zone()) &&
         IsValidPort(aUpdate.control_port()) &&
         IsValidPort(aUpdate.data_port()) && IsValidPort(aUpdate.calls_port());
}

} // namespace

Result<wire::PeerMessage>
ReadPeerMessage(std::span<std::byte const> aDatagram)
{
  wire::PeerMessage message;
  bool const parsed = message.ParseFromArray(
    aDatagram.data(), static_cast<int>(aDatagram.size()));
  if (!parsed) {
    return Reason{ ReasonCode::Malformed, "datagram is not a control message" };
  }
  if (!IsComplete(message.sender())) {
    return Reason{ ReasonCode::Invalid,
                   "sender has no valid name, zone or ports" };
  }
  for (auto const& update : message.updates()) {
    if (!IsComplete(update)) {
      return Reason{ ReasonCode::Invalid,
                     "a member has no valid name, zone or ports" };
    }
  }
  return message;
}

} // namespace tarragonsill
