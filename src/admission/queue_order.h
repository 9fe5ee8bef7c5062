#pragma once
/** @file The order in which queued requests of a service are sent. */

#include "core/time_type.h"

#include <cstdint>

namespace cove {

/** What decides the place of a request in the queue of its service. */
struct queue_place {
    int priority = 0;           ///< 0 is the highest
    bool beyond_share = false;  ///< its workspace has had its fair share, see workspace_shares
    bool client_retry = false;  ///< the client sends it again after a refusal
    mono_time latest_start;     ///< a run that starts later misses the objective
    std::uint64_t sequence = 0; ///< order of arrival, for equal places
};

/**
 * @return whether the request has missed its objective. A client retry never counts as such, as
 * clients retry only once or twice and one that is refused again is mostly lost.
 */
bool objective_missed(queue_place const& place, mono_time now);

/**
 * @return whether @p a is sent before @p b: first those that can still meet their objective, by
 * priority, within the fair share of their workspace before those beyond it, client retries before
 * first tries, then the shortest slack; then the others in the same order.
 */
bool comes_before(queue_place const& a, queue_place const& b, mono_time now);

} // namespace cove
