#ifndef TARRAGONSILL_HELD_OPENING_HPP_INCLUDED
#define TARRAGONSILL_HELD_OPENING_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <vector>

/// A flow whose opening packet several upstreams may answer, as the VMs of a
/// zone tell each other.
namespace tarragonsill {

struct HeldOpening
{
  std::vector<std::byte> mPacket; ///< The opening packet.
  std::uint32_t mCookie = 0;      ///< Of the upstream that holds the flow.
};

using HeldOpenings = std::vector<HeldOpening>;

} // namespace tarragonsill

#endif // TARRAGONSILL_HELD_OPENING_HPP_INCLUDED
