#pragma once
/** @file When refused clients should come back. */

#include "core/time_type.h"

namespace cove {

/** Spreads comebacks over the time in which room appears, so that they do not come together. */
class come_back_times {
public:
    /**
     * @param until_room expected time until a slot is free.
     * @param time_left of the client.
     * @return when to come back, from now.
     */
    milliseconds next(milliseconds until_room, milliseconds time_left);

private:
    double spread_ = 0; ///< low-discrepancy sequence in [0, 1)
};

} // namespace cove
