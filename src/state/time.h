#pragma once

// The time types of the project. Decision code receives the current time as a parameter and never reads a clock.

#include <chrono>

namespace banyankeel
{

using Duration = std::chrono::nanoseconds;
/// Monotonic time of one process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time, for display and for approximate ordering of events from several hosts.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

} // namespace banyankeel
