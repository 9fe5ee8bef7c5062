#pragma once
/** @file Ranks targets for a request; warm targets need less slot time, which adds capacity. */

#include "traffic/target_state.h"

#include <memory>

namespace cove {

/** Inputs of a ranking besides the targets. */
struct placement_query {
    route_config const& route;
    object_key const& object;
    double slot_time_weight = 0; ///< cost of 1 ms of slot time relative to 1 ms of waiting
    double service_mean_ms = 0;
    std::uint64_t warm_window_length = 0; ///< length of the warm window of the service, in requests
    double preferred_hit_rate = 0;        ///< chance that other hosts made the rank-0 target warm
};

/** Snapshot of a target, shared by all requests that are placed in one round. */
struct placement_candidate {
    target_state* target = nullptr;
    double slots = 1;
    double load = 0;
    double queued = 0; ///< requests queued for it in this host
    double slowness = 1;
    double failure_rate = 0;
    double rtt_ms = 0; ///< cross-zone round-trip time; 0 within the zone
    bool silent = false;
    bool idle = false; ///< got no requests from this host recently

    [[nodiscard]] bool full() const { return load >= slots; }
};

/** @return a snapshot of @p target at @p now. */
placement_candidate make_candidate(target_state& target, mono_time now);

/** A target considered for a request, with its expected times and cost. */
struct placement_option {
    placement_candidate* candidate = nullptr;
    double service_ms = 0; ///< expected service time, including the round trip
    double wait_ms = 0;    ///< expected time until a slot is free
    double cost = 0;       ///< options are ordered by it
    std::optional<std::uint64_t> object_age;
    std::size_t rank = 0; ///< of the target in object_order()
};

/** @return a short hash of @p object that is the same on every host. */
std::uint32_t short_hash(object_key const& object);

/**
 * @param preferred id hash of the target to rank first, if that is not the first by hashing.
 * @return the rank of each target for @p object by rendezvous hashing, the same on every host. The
 * target of rank 0 is the preferred target of the object.
 */
std::vector<std::size_t> object_order(object_key const& object,
                                      std::vector<target_state*> const& targets,
                                      std::optional<std::uint64_t> preferred = std::nullopt);

/**
 * Orders the candidates by cost. The cost grows with the rank, so an object stays on few targets
 * and moves on to the next ranks only if these are cheaper despite the rank penalty.
 * @param ranks of the candidates, from object_order(); empty for requests without affinity.
 * @return all candidates, lowest cost first.
 */
std::vector<placement_option> rank_targets(placement_query const& query, route_time const& times,
                                           std::vector<placement_candidate>& candidates,
                                           std::vector<std::size_t> const& ranks);

} // namespace cove
