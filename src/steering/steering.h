#pragma once
/** @file Steering: chooses the zone that serves a request and the zones in look-up answers. */

#include "steering/grant_holder.h"
#include "steering/grant_issuer.h"
#include "steering/keeper_load.h"
#include "steering/link_budget.h"
#include "steering/planned_move.h"
#include "steering/shift_limiter.h"
#include "steering/steering_policy.h"
#include "steering/zone_choice_type.h"
#include "steering/zone_load.h"

namespace cove {

/** Progress of a planned move that this node carries out. */
struct move_progress {
    double share = 0; ///< share moved so far, which look-up answers follow
    move_hold hold;
};

/** Steering state of one service. */
struct service_steering {
    shift_limiter limiter;
    double overflow = 0;     ///< share of requests that may go to other zones
    int demand = 0;          ///< requests without a grant since the last round of capacity requests
    int ticks_with_room = 0; ///< consecutive ticks in which the own zone had room
    bool overflow_initialized = false;
    std::vector<zone_id> zones_by_distance; ///< other zones with live targets, nearest first
    std::map<move_id, move_progress> moves;
};

/** All steering state of an entry process. */
struct steering_state {
    steering_policy policy;
    zone_reports reports;
    aggregator_history aggregators;
    zone_summary summary; ///< newest summary of the own zone, made by its first aggregator
    bool has_summary = false;
    grant_issuer issuer;
    grant_holder holder;
    link_budget links;
    std::map<service_id, service_steering> services;
    std::uint64_t indexed_list_version = 0; ///< host list that `zones_by_distance` was made from
    deployment const* indexed_config = nullptr; ///< configuration that it was made from
    bool is_aggregator = false;                 ///< as of the last tick
    mono_time aggregator_since{};
    bool is_leader = false; ///< whether it was the first aggregator at the last tick
    mono_time next_tick{};
    /** When to send the next requests for capacity; max() while nothing is due. */
    mono_time next_capacity_request = mono_time::max();
    mono_time last_capacity_request{};
};

/**
 * Chooses the zone that serves a request.
 * @param bytes size of the request, which counts against the link budget between regions.
 * @return the own zone, another zone that granted capacity, or nothing when the request must be
 * refused.
 */
std::optional<zone_choice> choose_zone(steering_state& state, node_view const& view,
                                       service_id const& service, std::uint64_t bytes);

/** Releases the grant that choose_zone() used for a request, once the request has ended. */
void release_zone(steering_state& state, service_id const& service, zone_choice const& choice);

/** Handles a steering message. @param incarnation incarnation of the sender. */
void on_steering_message(steering_state& state, node_view const& view, node_id const& from,
                         incarnation_id incarnation, steering_message const& message,
                         node_effects& effects);

/** Does the periodic work that is due: load reports, requests for capacity, planned moves. */
void on_steering_wake(steering_state& state, keeper_state const& keeper, node_view const& view,
                      node_effects& effects);

/** @return when on_steering_wake() must be called next. */
mono_time next_steering_wake(steering_state const& state);

/** @return the shares of the own zone's callers that look-up answers direct to other zones. */
std::vector<zone_share> lookup_shares(steering_state const& state);

} // namespace cove
