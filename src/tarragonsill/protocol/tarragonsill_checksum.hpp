#ifndef TARRAGONSILL_CHECKSUM_HPP_INCLUDED
#define TARRAGONSILL_CHECKSUM_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>

/// The Internet checksum (RFC 1071) and its incremental update (RFC 1624).
namespace tarragonsill {

/// Sums 16-bit words without the final complement.
std::uint32_t SumWords(std::span<std::byte const> aBytes,
                       std::uint32_t aInitial = 0);

/// Folds a sum into 16 bits and complements it.
std::uint16_t FoldChecksum(std::uint32_t aSum);

/// Updates a checksum for one replaced 16-bit word: HC' = ~(~HC + ~m + m').
constexpr std::uint16_t
UpdateChecksum(std::uint16_t aChecksum, std::uint16_t aOld, std::uint16_t aNew)
{
  std::uint32_t sum = static_cast<std::uint16_t>(~aChecksum);
  sum += static_cast<std::uint16_t>(~aOld);
  sum += aNew;
  sum = (sum & 0xFFFF) + (sum >> 16);
  sum = (sum & 0xFFFF) + (sum >> 16);
  return static_cast<std::uint16_t>(~sum);
}

} // namespace tarragonsill

#endif // TARRAGONSILL_CHECKSUM_HPP_INCLUDED
