#ifndef TARRAGONSILL_CHECKSUM_HPP_INCLUDED
#define TARRAGONSILL_CHECKSUM_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>

/// The Internet checksum (RFC 1071) and its incremental update (RFC 1624).
namespace tarragonsill {

/// Adds the bytes as 16-bit words to `aInitial`, without folding or complement.
/// An odd last byte is padded with a zero byte.
std::uint32_t SumWords(std::span<std::byte const> aBytes,
                       std::uint32_t aInitial = 0);

/// Folds a sum to 16 bits and returns its one's complement.
std::uint16_t FoldChecksum(std::uint32_t aSum);

/// Updates a checksum for one replaced 16-bit word: HC' = ~(~HC + ~m + m')
/// (RFC 1624, equation 3).
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
