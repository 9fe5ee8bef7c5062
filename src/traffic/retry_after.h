#pragma once
/** @file Computes when refused clients should retry. */

#include "core/time_type.h"

namespace cove {

/** Spreads the retries of refused clients over time, so that they do not arrive all at once. */
class retry_after_schedule {
public:
    /**
     * @param until_slot_free expected time until a slot is free.
     * @param time_left until the request expires.
     * @return delay before the client should retry.
     */
    milliseconds next(milliseconds until_slot_free, milliseconds time_left);

private:
    double sequence_ = 0; ///< low-discrepancy sequence in [0, 1)
};

} // namespace cove
