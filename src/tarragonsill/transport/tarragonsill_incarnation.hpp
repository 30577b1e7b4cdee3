#ifndef TARRAGONSILL_INCARNATION_HPP_INCLUDED
#define TARRAGONSILL_INCARNATION_HPP_INCLUDED

#include <chrono>
#include <cstdint>

namespace tarragonsill {

/// A number that rises with every start of a VM's process. VMs keep nothing, so
/// the time of day is the only source; only the order at one VM matters, and a
/// VM that a jump of the clock misleads is told so by its peers.
inline std::uint64_t
NewIncarnation()
{
  using std::chrono::milliseconds;
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace tarragonsill

#endif // TARRAGONSILL_INCARNATION_HPP_INCLUDED
