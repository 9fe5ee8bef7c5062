#include "operation/operation_message.h"

#include <algorithm>

namespace cove {

namespace {

/** Longest time before the deadline that is kept for a keeper to confirm a cancellation. */
constexpr microseconds max_cancel_grace = milliseconds(100);
constexpr int cancel_grace_divisor = 8; ///< the grace is at most 1/8 of the timeout

} // namespace

microseconds cancel_grace(microseconds timeout)
{
    return std::min(max_cancel_grace, timeout / cancel_grace_divisor);
}

char const* to_string(outcome what)
{
    switch (what) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace cove
