#pragma once
/**
 * @file Time types. Reducers never read a clock: each event carries the time, so that they can run
 * under simulated time.
 */

#include <chrono>
#include <ctime>

namespace cove {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

using mono_time = std::chrono::time_point<std::chrono::steady_clock, microseconds>;
using wall_time = std::chrono::time_point<std::chrono::system_clock, microseconds>;

/** Both clocks of a host, read at the same time. */
struct instant {
    mono_time mono; ///< monotonic; for durations and deadlines
    wall_time wall; ///< may step; for planned moves and events only
};

/** CLOCK_BOOTTIME: like the monotonic clock, but it goes on while the machine is suspended. */
struct boot_clock {
    using duration = microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

using boot_time = boot_clock::time_point;

/** Reads the boot clock; must not be called from a reducer. */
inline boot_time read_boot_clock()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return boot_time(seconds(now.tv_sec) + std::chrono::duration_cast<microseconds>(
                                               std::chrono::nanoseconds(now.tv_nsec)));
}

/** Reads both clocks; must not be called from a reducer. */
inline instant read_clocks()
{
    return {std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now()),
            std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now())};
}

} // namespace cove
