#pragma once
/** @file Chooses the target of a request. Answers the load of every day: warmth is capacity. */

#include "traffic/target_state.h"

#include <memory>

namespace cove {

/** What a choice depends on besides the targets. */
struct placement_query {
    route_config const& route;
    object_key const& object;
    double load_price = 0; ///< how much a ms of a slot counts beside a ms of waiting
    double service_mean_ms = 0;
    std::uint64_t warm_length = 0; ///< of the service's warm window
    double first_hit_rate = 0; ///< chance that an object's first target is warm through other hosts
};

/** What the choices of one moment know of a target; taken once for all requests that wait. */
struct placement_candidate {
    target_state* target = nullptr;
    double slots = 1;
    double load = 0;
    double queued = 0; ///< requests that wait for it in this host
    double slowness = 1;
    double failure_rate = 0;
    double extra_ms = 0; ///< time on the way beyond that within the zone
    bool silent = false;
    bool idle = false; ///< got nothing for a while

    [[nodiscard]] bool full() const { return load >= slots; }
};

/** @return @p target as it stands at @p now. */
placement_candidate survey(target_state& target, mono_time now);

/** One way to serve a request. */
struct placement_option {
    placement_candidate* candidate = nullptr;
    double service_ms = 0; ///< expected time at the target
    double wait_ms = 0;    ///< expected time until a slot is free
    double cost = 0;       ///< what is compared
    std::optional<std::uint64_t> object_age;
    std::size_t rank = 0; ///< of the target in the object's order
};

/** @return the rank of each target in the object's order, the same on every host. */
std::vector<std::size_t> object_order(object_key const& object,
                                      std::vector<target_state*> const& targets);

/**
 * Orders targets by the hash of object and target, so that an object keeps its few targets; costs
 * then decide how far to go down that order.
 * @param ranks of the candidates, from object_order(); empty when the object does not matter.
 * @return all candidates, best first.
 */
std::vector<placement_option> rank_targets(placement_query const& query, route_time const& times,
                                           std::vector<placement_candidate>& candidates,
                                           std::vector<std::size_t> const& ranks);

} // namespace cove
