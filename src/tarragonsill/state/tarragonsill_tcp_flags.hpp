#ifndef TARRAGONSILL_TCP_FLAGS_HPP_INCLUDED
#define TARRAGONSILL_TCP_FLAGS_HPP_INCLUDED

#include <cstdint>

/// The TCP flags that decisions depend on (RFC 9293, section 3.1).
namespace tarragonsill {

struct TcpFlags
{
  static constexpr std::uint8_t kFin = 0x01;
  static constexpr std::uint8_t kSyn = 0x02;
  static constexpr std::uint8_t kRst = 0x04;
  static constexpr std::uint8_t kAck = 0x10;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_TCP_FLAGS_HPP_INCLUDED
