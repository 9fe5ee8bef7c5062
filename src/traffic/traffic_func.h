#pragma once
/** @file Internal helpers shared by the source files of the traffic reducer. */

#include "core/time_type.h"

namespace cove {

/// Weight of a new sample in hit rates and round-trip times.
constexpr double mean_sample_weight = 0.05;
/// Used while the requests of other hosts are unknown.
constexpr double initial_preferred_hit_rate = 0.5;

inline double as_ms(microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace cove
