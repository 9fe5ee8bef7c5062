#pragma once
/** @file Chooses the connection that gives its place to a new one. */

#include "core/time_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cove {

/** A connection on which no request is being worked on. */
struct waiting_connection {
    mono_time since;       ///< of the wait, or of the first byte of the request that arrives
    std::size_t bytes = 0; ///< of that request so far
};

/**
 * @return the index of the connection that has brought least in its time, the longest idle first.
 * One that came less than a second ago is chosen only if it is idle and there is no other.
 */
std::optional<std::size_t> choose_to_close(std::vector<waiting_connection> const& all,
                                           mono_time now);

} // namespace cove
