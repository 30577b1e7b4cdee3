#ifndef TARRAGONSILL_TIME_HPP_INCLUDED
#define TARRAGONSILL_TIME_HPP_INCLUDED

#include <chrono>

/// Time types of the core. The core never reads a clock: every function that
/// depends on the time takes a `TimePoint` as an argument.
namespace tarragonsill {

/// The monotonic time base; used only for its types.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace tarragonsill

#endif // TARRAGONSILL_TIME_HPP_INCLUDED
