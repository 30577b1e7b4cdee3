#ifndef TARRAGONSILL_BOOT_CLOCK_HPP_INCLUDED
#define TARRAGONSILL_BOOT_CLOCK_HPP_INCLUDED

#include <chrono>
#include <ctime>

/// A clock that also counts the time in which the VM was suspended.
namespace tarragonsill {

struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now()
  {
    timespec time{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds{ time.tv_sec } +
                      std::chrono::nanoseconds{ time.tv_nsec });
  }
};

} // namespace tarragonsill

#endif // TARRAGONSILL_BOOT_CLOCK_HPP_INCLUDED
