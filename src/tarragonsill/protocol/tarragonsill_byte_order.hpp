#ifndef TARRAGONSILL_BYTE_ORDER_HPP_INCLUDED
#define TARRAGONSILL_BYTE_ORDER_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>

/// Reads and writes integers in network byte order. Offsets are not checked.
namespace tarragonsill {

inline std::uint16_t
LoadU16(std::span<std::byte const> aBytes, std::size_t aOffset)
{
  return static_cast<std::uint16_t>(
    (std::to_integer<unsigned>(aBytes[aOffset]) << 8) |
    std::to_integer<unsigned>(aBytes[aOffset + 1]));
}

inline std::uint32_t
LoadU32(std::span<std::byte const> aBytes, std::size_t aOffset)
{
  return (std::uint32_t{ LoadU16(aBytes, aOffset) } << 16) |
         LoadU16(aBytes, aOffset + 2);
}

inline void
StoreU16(std::span<std::byte> aBytes, std::size_t aOffset, std::uint16_t aValue)
{
  aBytes[aOffset] = static_cast<std::byte>(aValue >> 8);
  aBytes[aOffset + 1] = static_cast<std::byte>(aValue & 0xFF);
}

inline void
StoreU32(std::span<std::byte> aBytes, std::size_t aOffset, std::uint32_t aValue)
{
  StoreU16(aBytes, aOffset, static_cast<std::uint16_t>(aValue >> 16));
  StoreU16(aBytes, aOffset + 2, static_cast<std::uint16_t>(aValue & 0xFFFF));
}

} // namespace tarragonsill

#endif // TARRAGONSILL_BYTE_ORDER_HPP_INCLUDED
