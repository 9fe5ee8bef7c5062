#pragma once
/** @file Limits the bytes that a host sends in answer to requests of its peers. */

#include "core/time_type.h"

#include <cstddef>

namespace cove {

/** A token bucket of bytes. A message larger than the bucket passes if the bucket is full. */
class byte_budget {
public:
    explicit byte_budget(double bytes_per_second)
        : bytes_per_second_(bytes_per_second), left_(bytes_per_second),
          urgent_left_(bytes_per_second)
    {
    }

    /** Takes @p bytes if the budget allows it. @return whether it does. */
    bool take(std::size_t bytes, mono_time now);

    /**
     * Takes @p bytes of a message that goes before others: whatever these have taken, it passes
     * unless urgent messages alone exceed the budget by more than what one second allows.
     */
    bool take_urgent(std::size_t bytes, mono_time now);

private:
    void refill(mono_time now);

    double bytes_per_second_; ///< also the size of the bucket
    double left_;             ///< below 0 after a message larger than the bucket
    double urgent_left_;      ///< if there were only urgent messages
    mono_time refilled_{};
};

} // namespace cove
