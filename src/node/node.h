#pragma once
/**
 * @file The reducer of an entry process. It holds all state and handles one event at a time,
 * without I/O: the event loop around it delivers the events and performs the effects that it
 * returns.
 */

#include "config/config_state.h"
#include "keeper/keeper.h"
#include "node/node_view.h"
#include "operation/operation.h"
#include "steering/steering.h"

namespace cove {

/** All state of an entry process. */
struct node_state {
    node_state() = default;
    ~node_state() = default;
    node_state(node_state&&) = default;
    node_state& operator=(node_state&&) = default;
    node_state(node_state const&) = delete;
    node_state& operator=(node_state const&) = delete;

    node_identity self;
    random_engine random;
    generation config_generation{0};
    std::shared_ptr<deployment const> config; ///< in force
    config_state configuration;
    membership_state members;
    operation_state operations;
    keeper_state keeper;
    steering_state steering;
    std::shared_ptr<lookup_snapshot const> published;
    mono_time published_at{};               ///< when a snapshot was last published
    mono_time next_publish{};               ///< earliest time of the next snapshot
    mono_time next_wake = mono_time::max(); ///< earliest wake-up requested so far
    disabled_mechanisms disabled;
    bool stopping = false;
    mono_time cached_lookups_expire_at{}; ///< set while stopping
    bool stopped = false;
};

/**
 * Makes the state of a process that just started.
 * @param self its identity; no earlier process may have had the same incarnation.
 * @param seed seed of all its random choices.
 * @param policy chooses the zone of each request.
 */
node_state make_node(node_identity self, std::uint64_t seed,
                     steering_policy policy = make_steering_policy("grants").value());

/**
 * Handles one event.
 * @param state the node; changed in place.
 * @param event what happened and when.
 * @return effects to perform, in order.
 */
node_effects reduce(node_state& state, node_event const& event);

} // namespace cove
