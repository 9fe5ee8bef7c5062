#pragma once
/** @file Ends of targets while they ran a request, as told between entry hosts. */

#include "core/ids_type.h"
#include "traffic/target_type.h"

#include <vector>

namespace cove {

/// Hash of what stays the same when a request is sent again: method, host, path with query,
/// credentials and body. The source address may differ between copies.
using request_fingerprint = strong_number<struct request_fingerprint_tag>;

/** End of one incarnation of a target while it ran a request. */
struct target_end {
    target_id target;
    target_incarnation incarnation;
    node_id observer;       ///< host whose attempt broke
    bool acquitted = false; ///< a target has completed the request since
};

/** A request under which targets have ended. */
struct crash_record {
    request_fingerprint fingerprint;
    std::vector<target_end> ends; ///< of different incarnations
    milliseconds age{};           ///< time since the last end when this was made
};

} // namespace cove
