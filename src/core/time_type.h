#pragma once
/**
 * @file Time types. Reducers never read a clock: each event carries the time, so that they can run
 * under simulated time.
 */

#include <chrono>

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

/** Reads both clocks; must not be called from a reducer. */
inline instant read_clocks()
{
    return {std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now()),
            std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now())};
}

} // namespace cove
