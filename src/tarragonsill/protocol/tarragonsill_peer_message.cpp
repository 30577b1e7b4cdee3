#include "tarragonsill/protocol/tarragonsill_peer_message.hpp"

#include <limits>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

bool
IsPort(std::uint32_t aPort)
{
  return aPort > 0 && aPort <= std::numeric_limits<std::uint16_t>::max();
}

bool
IsName(std::string const& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes;
}

bool
IsComplete(wire::MemberUpdate const& aUpdate)
{
  return IsName(aUpdate.name()) && IsName(aUpdate.zone()) &&
         IsPort(aUpdate.control_port()) && IsPort(aUpdate.data_port()) &&
         IsPort(aUpdate.calls_port());
}

} // namespace

Result<wire::PeerMessage>
ReadPeerMessage(std::span<std::byte const> aDatagram)
{
  wire::PeerMessage message;
  bool const parsed = message.ParseFromArray(
    aDatagram.data(), static_cast<int>(aDatagram.size()));
  if (!parsed) {
    return Reason{ ReasonCode::Malformed, "not a control message" };
  }
  if (!IsComplete(message.sender())) {
    return Reason{ ReasonCode::Invalid, "the sender is not described in full" };
  }
  for (auto const& update : message.updates()) {
    if (!IsComplete(update)) {
      return Reason{ ReasonCode::Invalid, "a member is not described in full" };
    }
  }
  return message;
}

} // namespace tarragonsill
