#pragma once
/** @file Shared by the files of the traffic reducer. */

#include "core/time_type.h"

namespace cove {

constexpr double warm_weight = 0.05;    ///< of a sample of how often first targets are warm
constexpr double first_hit_start = 0.5; ///< nothing is known of the other hosts' requests yet

/** @return @p time in milliseconds. */
inline double as_ms(microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace cove
