#ifndef TARRAGONSILL_HASH_HPP_INCLUDED
#define TARRAGONSILL_HASH_HPP_INCLUDED

#include <cstdint>
#include <string_view>

/// Hashing on xxHash. Every entry VM must compute the same values, so seeds
/// are constants and integers are hashed in a fixed byte order.
namespace tarragonsill {

/// Hashes a text, for instance a name used as an identity.
std::uint64_t HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// The finaliser of SplitMix64: a bijection with full avalanche.
constexpr std::uint64_t
Scramble(std::uint64_t aValue)
{
  std::uint64_t x = aValue + 0x9E3779B97F4A7C15ULL;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

/// Mixes two 64-bit values into one. The left one is scrambled before the
/// right one joins, so that neighbouring inputs never meet by construction.
constexpr std::uint64_t
MixHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  return Scramble(Scramble(aLeft) ^ aRight);
}

} // namespace tarragonsill

#endif // TARRAGONSILL_HASH_HPP_INCLUDED
