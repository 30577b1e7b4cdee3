#ifndef TARRAGONSILL_BOOT_TIME_HPP_INCLUDED
#define TARRAGONSILL_BOOT_TIME_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <ctime>

namespace tarragonsill {

/// Returns the time since the VM's boot. Unlike the steady clock, it includes
/// time in which the VM was suspended.
inline std::chrono::nanoseconds
TimeSinceBoot()
{
  timespec time{};
  (void)::clock_gettime(CLOCK_BOOTTIME, &time);
  return seconds{ time.tv_sec } + std::chrono::nanoseconds{ time.tv_nsec };
}

} // namespace tarragonsill

#endif // TARRAGONSILL_BOOT_TIME_HPP_INCLUDED
