#ifndef TARRAGONSILL_INCARNATION_HPP_INCLUDED
#define TARRAGONSILL_INCARNATION_HPP_INCLUDED

#include <chrono>
#include <cstdint>

namespace tarragonsill {

/// Returns an incarnation number, which rises with each start of a VM's
/// process. VMs store nothing on disk, so the wall clock is the only source.
/// Only the order on one VM matters. If the wall clock was set back, peers
/// reject the VM's messages, and the VM rejoins with a higher number.
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
