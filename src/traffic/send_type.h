#pragma once
/** @file Identities of requests and of what is sent for them. */

#include "core/strong_type.h"
#include "traffic/crash_type.h"
#include "traffic/target_type.h"

namespace cove {

using request_id = strong_number<struct request_tag>; ///< identifies a request within this host

/// Counts the sends of one request from 1: attempts at targets and relays to other hosts.
using send_number = strong_type<struct send_number_tag, std::uint32_t>;

/** Identifies one send of a request within this host. */
struct send_id {
    request_id request;
    send_number number;
    auto operator<=>(send_id const&) const = default;
};

/**
 * One attempt at a target. Its end is reported with the same value, since a request may leave a
 * target and come back to it, or be answered, before the first end is known.
 */
struct target_attempt {
    send_id id;
    request_fingerprint fingerprint;
    target_id target;
    target_incarnation incarnation; ///< of the target when the attempt was sent
};

} // namespace cove
