#pragma once
/** @file Periodic work of steering; called from on_steering_wake(). */

#include "steering/steering.h"

namespace cove {

/** Sends the newest summary to the children of this node in the zone's distribution tree. */
void forward_summary(steering_state const& state, node_view const& view, node_effects& effects);

/** Advances the look-up shares of planned moves; called at the first aggregator only. */
void advance_planned_moves(steering_state& state, node_view const& view, node_effects& effects);

/** Updates the overflow of each service: the share of requests that may leave the own zone. */
void adjust_overflow(steering_state& state, node_view const& view);

/** Requests capacity for services with unmet demand; renews grants or returns unused units. */
void request_capacity(steering_state& state, node_view const& view, node_effects& effects);

/** Checks whether the destinations of moves in progress have free capacity. */
void check_destinations(steering_state& state, node_view const& view, node_effects& effects);

} // namespace cove
