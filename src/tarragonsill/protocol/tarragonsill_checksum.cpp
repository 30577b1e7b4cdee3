#include "tarragonsill/protocol/tarragonsill_checksum.hpp"

#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"

namespace tarragonsill {

std::uint32_t
SumWords(std::span<std::byte const> aBytes, std::uint32_t aInitial)
{
  std::uint32_t sum = aInitial;
  std::size_t const even = aBytes.size() & ~std::size_t{ 1 };
  for (std::size_t offset = 0; offset < even; offset += 2) {
    sum += LoadU16(aBytes, offset);
  }
  if (even != aBytes.size()) {
    sum += std::to_integer<std::uint32_t>(aBytes.back()) << 8;
  }
  return sum;
}

std::uint16_t
FoldChecksum(std::uint32_t aSum)
{
  std::uint32_t sum = aSum;
  while (sum >> 16 != 0) {
    sum = (sum & 0xFFFF) + (sum >> 16);
  }
  return static_cast<std::uint16_t>(~sum);
}

} // namespace tarragonsill
