#pragma once
/** @file Internal queue functions of the keeper library. */

#include "keeper/keeper.h"

namespace cove {

/** @return the id of the attempt in a hand-over. */
attempt_id attempt_of(hand_over const& request);

/** Adds an attempt to the queue of its class, ordered by @p sequence. */
void enqueue(keeper_state& state, queued_attempt attempt, class_config const& request_class,
             std::uint64_t sequence);

/** Removes an attempt from its queue. @return the attempt, or nothing if it is not queued. */
std::optional<queued_attempt> dequeue(keeper_state& state, queue_position const& position);

/** Starts queued attempts of @p service as far as target limits and event reserves allow. */
void start_queued(keeper_state& state, node_view const& view, service_config const& service,
                  node_effects& effects);

/** @return the expected queueing time of a new attempt of @p request_class. */
microseconds expected_wait(keeper_state const& state, service_config const& service,
                           class_config const& request_class, mono_time now);

/** Recomputes the targets of this keeper if the cached list is outdated. @return whether it did. */
bool refresh_kept_targets(keeper_state& state, node_view const& view);

} // namespace cove
