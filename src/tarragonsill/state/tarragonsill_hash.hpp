#ifndef TARRAGONSILL_HASH_HPP_INCLUDED
#define TARRAGONSILL_HASH_HPP_INCLUDED

#include <cstdint>
#include <string_view>

/// Hash functions. All entry VMs must compute the same values, so seeds are
/// constants and the byte order of the host makes no difference.
namespace tarragonsill {

/// Hashes a text with XXH3.
std::uint64_t HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// The finalizer of SplitMix64: a bijection with full avalanche.
constexpr std::uint64_t
Scramble(std::uint64_t aValue)
{
  std::uint64_t x = aValue + 0x9E3779B97F4A7C15ULL;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

/// Combines two 64-bit values into one hash. The left value is scrambled before
/// the right one is added, so that pairs of neighbouring values do not collide
/// systematically.
constexpr std::uint64_t
MixHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  return Scramble(Scramble(aLeft) ^ aRight);
}

} // namespace tarragonsill

#endif // TARRAGONSILL_HASH_HPP_INCLUDED
