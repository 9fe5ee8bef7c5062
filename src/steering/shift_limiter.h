#pragma once
/** @file Limits shifts of traffic, so that their sum in any time window stays under the cap. */

#include "config/deployment_type.h"
#include "node/mechanism_type.h"

#include <deque>

namespace cove {

/** A shift of traffic that was allowed. */
struct shift_entry {
    mono_time at;
    double share = 0; ///< share of the service's traffic
};

/** Shifts of one service that still count against the cap. */
struct shift_limiter {
    std::deque<shift_entry> entries; ///< oldest first
};

/**
 * Allows as much of a shift as the cap leaves room for, and records it. Callers follow a change
 * only when their cached look-up answers expire, so a shift counts for the length of the window
 * plus the lifetime of an answer.
 * @param wanted share of the service's traffic to shift.
 * @return the share that may shift now, between zero and @p wanted.
 */
double acquire_shift(shift_limiter& limiter, shift_config const& limits,
                     disabled_mechanisms const& disabled, mono_time now, double wanted);

/** Records a shift of the whole cap, for a node that does not know the earlier shifts. */
void assume_cap_used(shift_limiter& limiter, shift_config const& limits, mono_time now);

} // namespace cove
