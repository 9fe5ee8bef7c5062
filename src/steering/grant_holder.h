#pragma once
/** @file Grants that this entry host holds: the requests that it may send to other zones. */

#include "node/node_view.h"
#include "steering/steering_message.h"

#include <map>

namespace cove {

/** The service and the serving zone that a grant is for. */
struct grant_key {
    service_id service;
    zone_id zone;
    auto operator<=>(grant_key const&) const = default;
};

/** State of the grant of one zone for one service. */
struct held_grant {
    node_id issuer;
    int units = 0;                  ///< requests that may be in flight until the grant expires
    int in_use = 0;                 ///< requests in flight; they may continue after the expiry
    int peak_in_use = 0;            ///< maximum of in_use since the last request for capacity
    mono_time grant_requested_at{}; ///< when the request for the current grant was sent
    mono_time expires{};
    std::uint64_t pending_sequence = 0; ///< sequence number of the unanswered request; 0 if none
    mono_time last_request_at{};        ///< when the last request was sent
    mono_time last_answer_at{};         ///< when the last answer arrived
    int room = 0; ///< further units that the issuer had available at the last answer
};

/** All grants that this entry host holds. */
struct grant_holder {
    std::map<grant_key, held_grant> grants;
    std::uint64_t last_sequence = 0;
};

/**
 * Records a new request for capacity, which replaces an unanswered one.
 * @param wanted requests that should be allowed in flight.
 * @return the request to send to @p issuer.
 */
grant_request start_grant_request(grant_holder& holder, grant_key const& key, node_id const& issuer,
                                  int wanted, mono_time now);

/** Applies an issuer's answer; ignores late and duplicate answers. */
void on_grant_answer(grant_holder& holder, node_view const& view, node_id const& from,
                     grant_answer const& answer);

/** Counts one more request in flight if the grant allows it. @return whether it does. */
bool use_grant(grant_holder& holder, node_view const& view, grant_key const& key);

/** Counts the end of a request that use_grant() allowed. */
void release_grant(grant_holder& holder, grant_key const& key);

/**
 * Shrinks the grant of @p key to the peak use since the last request for capacity.
 * @return the message that returns the difference, or nothing when no units were unused.
 */
std::optional<grant_return> return_unused(grant_holder& holder, grant_key const& key,
                                          mono_time now);

} // namespace cove
