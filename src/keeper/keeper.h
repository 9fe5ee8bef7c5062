#pragma once
/**
 * @file The keeper of a target: the entry host that alone sends calls to it and enforces its limit.
 *
 * Rendezvous hashing chooses the keeper of each target from the live entry hosts of its zone. Homes
 * hand attempts of operations to the keeper, which queues them per service and class.
 */

#include "keeper/attempt_table.h"
#include "keeper/keeper_index.h"
#include "keeper/target_limit.h"

#include <map>
#include <set>

namespace cove {

/** A queued hand-over. */
struct queued_attempt {
    hand_over request;
    node_id home;
    mono_time deadline{};
    int shed = 0; ///< number of targets that refused to start it
};

/** A running call to a target. */
struct running_call {
    queued_attempt attempt;
    std::uint64_t sequence = 0; ///< its sequence number in the queue
    target_id target;
    mono_time since{};
};

/** Queued attempts and the number of running calls of one request class. */
struct class_queue {
    int priority = 0;
    int in_flight = 0;
    std::map<std::uint64_t, queued_attempt> waiting; ///< in order of arrival
};

/** Queues of one service. */
struct service_queue {
    std::map<class_id, class_queue> classes;
    microseconds call_time{};        ///< moving average of the call duration
    std::uint64_t dequeue_count = 0; ///< attempts taken from the queue to start
};

/** Deadline and queue position of a queued attempt. */
struct queue_position {
    mono_time deadline{};
    service_id service;
    class_id request_class;
    std::uint64_t sequence = 0;
    auto operator<=>(queue_position const&) const = default;
};

/** Keeper statistics. */
struct keeper_counters {
    std::uint64_t stale_messages = 0;    ///< rejected: for another incarnation, or too old
    std::uint64_t repeated_messages = 0; ///< for attempts already in the table
    std::uint64_t late_results = 0;      ///< results of unknown calls
    std::uint64_t table_full = 0;        ///< hand-overs dropped because the attempt table is full
    std::uint64_t refused_waits = 0;     ///< refused because the expected wait passes the deadline
    std::uint64_t shed = 0;              ///< calls that a target refused to start
};

/** State of the targets that this entry host is the keeper of, and of their queues. */
struct keeper_state {
    std::unordered_map<target_id, kept_target> targets;
    std::map<service_id, std::vector<target_id>>
        targets_by_service;                  ///< that this keeper sends calls to
    std::uint64_t kept_version = 0;          ///< membership version of targets_by_service
    deployment const* kept_config = nullptr; ///< only compared, never dereferenced
    mono_time next_refresh{};
    std::unordered_map<call_key, running_call> calls;
    std::map<service_id, service_queue> queues;
    std::set<queue_position> queued_by_deadline;              ///< all queued attempts
    std::unordered_map<attempt_id, queue_position> positions; ///< of all queued attempts
    mono_time resume_at = mono_time::max(); ///< when a target that shed a call accepts calls again
    attempt_table attempts;
    keeper_index index;
    call_key next_call = 1;
    std::uint64_t next_sequence = 1;
    keeper_counters counters;
};

/** Handles a hand-over: calls a target, queues the attempt or refuses it. */
void on_hand_over(keeper_state& state, node_view const& view, node_id const& from,
                  hand_over const& request, node_effects& effects);

/**
 * Cancels an attempt that has not started and stores the cancellation, so that a hand-over that
 * arrives later does not start it.
 */
void on_hand_over_cancel(keeper_state& state, node_view const& view, node_id const& from,
                         hand_over_cancel const& cancel, node_effects& effects);

/** Handles the result of a call. */
void on_call_result(keeper_state& state, node_view const& view, call_result const& result,
                    node_effects& effects);

/** Handles a target's report; a report can only lower the target's limit. */
void on_target_report(keeper_state& state, node_view const& view, target_report const& report,
                      node_effects& effects);

/** Handles membership changes, deadlines of queued attempts and the next period. */
void on_keeper_wake(keeper_state& state, node_view const& view, period_id period,
                    node_effects& effects);

/** @return when on_keeper_wake() must be called next. */
mono_time next_keeper_wake(keeper_state const& state);

/** @return whether no attempt is queued or running. */
bool is_idle(keeper_state const& state);

} // namespace cove
