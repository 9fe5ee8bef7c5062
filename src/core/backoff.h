#pragma once
/** @file Exponential backoff with jitter. */

#include "core/random.h"
#include "core/time_type.h"

#include <algorithm>

namespace cove {

/**
 * Doubles the delay after each failure. Random jitter keeps many callers from retrying at the same
 * time.
 */
class backoff {
public:
    /** @param initial first delay. @param max longest delay. @param seed seed of the jitter. */
    backoff(milliseconds initial, milliseconds max, std::uint64_t seed)
        : initial_(initial), max_(max), next_(initial), random_(seed)
    {
    }

    /** Counts a failure. @return the next wait: 50 to 100 % of the current delay. */
    milliseconds next_delay()
    {
        auto const half = next_ / 2;
        auto const jitter = random_below(random_, static_cast<std::uint64_t>(half.count()) + 1);
        next_ = std::min(max_, next_ * 2);
        return half + milliseconds(jitter);
    }

    /** Resets the delay to the initial one. */
    void reset() { next_ = initial_; }

private:
    milliseconds initial_;
    milliseconds max_;
    milliseconds next_;
    random_engine random_;
};

} // namespace cove
