#pragma once
/** @file Waits between failed attempts. */

#include "core/random.h"
#include "core/time_type.h"

#include <algorithm>

namespace cove {

/** Doubles the wait after each failure and spreads it, so that many callers do not come together.
 */
class backoff {
public:
    /** @param least first wait. @param most longest wait. @param seed of the spread. */
    backoff(milliseconds least, milliseconds most, std::uint64_t seed)
        : least_(least), most_(most), next_(least), random_(seed)
    {
    }

    /** @return how long to wait after one more failure: half to all of the current wait. */
    milliseconds failed()
    {
        auto const half = next_ / 2;
        auto const spread = random_below(random_, static_cast<std::uint64_t>(half.count()) + 1);
        next_ = std::min(most_, next_ * 2);
        return half + milliseconds(spread);
    }

    /** The next failure is the first one again. */
    void succeeded() { next_ = least_; }

private:
    milliseconds least_;
    milliseconds most_;
    milliseconds next_;
    random_engine random_;
};

} // namespace cove
