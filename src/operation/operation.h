#pragma once
/**
 * @file Operations at an entry host: runs those that it owns at most once, relays the others, and
 * answers every caller.
 *
 * The home of an operation is the entry host whose incarnation is in the operation id. Only the
 * home dispatches the operation; other entry hosts relay requests for it to the home. The home
 * hands each attempt to the keeper of a target: the entry host that alone sends calls to that
 * target.
 */

#include "keeper/keeper_index.h"
#include "operation/finished_table.h"
#include "operation/operation_message.h"
#include "operation/retry_budget.h"
#include "steering/zone_choice_type.h"

#include <functional>
#include <set>

namespace cove {

inline constexpr seconds period_length{30};       ///< an operation id contains its period's number
inline constexpr std::uint64_t kept_periods = 22; ///< periods for which answers are kept
inline constexpr std::size_t default_table_limit = 64UL << 20U; ///< in bytes, for stored answers

using timer_queue = std::set<std::pair<mono_time, operation_id>>;

/** A recipient of an operation's answer: a local caller or an entry host that relayed. */
struct waiter {
    request_key local_key = 0;    ///< key of the local caller; zero if relayed
    std::optional<node_id> relay; ///< entry host that relayed the request
    mono_time since{};
};

/** A caller's request to run an operation. */
struct operation_request {
    operation_id id;
    service_id service;
    class_id request_class;
    microseconds timeout{};
    payload body;
    std::uint64_t fingerprint = 0; ///< hash of service, class and body
};

/** A running operation whose home is this process. */
struct operation_record {
    operation_request request;
    bool idempotent = false;
    mono_time deadline{};
    mono_time cancel_at{};             ///< when to cancel the attempt if it has not started
    mono_time resend_at{};             ///< when to resend the hand-over, which may have been lost
    microseconds resend_interval{};    ///< doubles with each resend
    std::uint64_t attempt = 0;         ///< number of the current hand-over, starting at one
    bool unconfirmed = false;          ///< the current attempt may have started
    bool cancel_sent = false;          ///< a cancellation of the current hand-over was sent
    node_id keeper;                    ///< recipient of the current hand-over
    incarnation_id keeper_incarnation; ///< the keeper's incarnation that may start it
    period_id keeper_period;           ///< the keeper's latest known period at the hand-over
    std::vector<waiter> waiters;       ///< recipients of the answer
    zone_choice placement;             ///< zone of the current hand-over
    std::vector<node_id> tried;        ///< keepers whose attempt failed
    mono_time timer{};                 ///< key of its entry in the timer queue
};

/** An operation that this entry host relayed to its home and that is not answered yet. */
struct relayed_operation {
    operation_request request;
    node_id home; ///< the home or its successor; empty until either is discovered
    incarnation_id home_incarnation; ///< incarnation of that node
    mono_time deadline{};
    mono_time resend_at{};
    microseconds resend_interval{};
    mono_time discovery_deadline{}; ///< when an undiscovered home is considered gone
    std::vector<waiter> waiters;
    mono_time timer{}; ///< key of its entry in the timer queue
};

/** Operation statistics. */
struct operation_counters {
    std::uint64_t late_results = 0;       ///< results of hand-overs that are no longer current
    std::uint64_t late_relay_answers = 0; ///< answers to relayed requests that have ended
    std::uint64_t repeats_joined = 0;     ///< duplicate requests that joined a running operation
    std::uint64_t repeats_answered = 0;   ///< duplicate requests answered from the finished table
    std::uint64_t expired_ids = 0;        ///< requests whose id is from a pruned period
    std::uint64_t refused_new = 0;        ///< new operations refused: table full, or stopping
    std::uint64_t retries = 0;            ///< attempts after the first
    std::uint64_t retries_denied = 0;     ///< retries that exceeded the retry budget
    std::uint64_t resends = 0;            ///< messages sent again
    std::uint64_t records_refused = 0;    ///< transferred records dropped for lack of room
};

/** The finished table received from a stopping home; used to answer its duplicate requests. */
struct transferred_table {
    finished_table answers;
    mono_time expires_at{};
};

/** Progress of sending the finished table to a successor when this process stops. */
struct table_transfer {
    std::optional<node_id> successor;
    std::vector<finished_records> chunks; ///< not yet acknowledged; sent from the back
    mono_time resend_at{};
    mono_time give_up_at{};
    bool done = false;
};

/** Unconfirmed hand-overs at one keeper. */
struct keeper_hand_overs {
    int in_flight = 0;
    incarnation_id incarnation; ///< the keeper's incarnation that received the oldest of them
};

/** The operation state of one entry process. */
struct operation_state {
    std::unordered_map<operation_id, operation_record> running;
    finished_table finished;
    std::size_t table_limit = default_table_limit;
    std::size_t running_bytes = 0; ///< total body size of the running operations
    std::unordered_map<operation_id, relayed_operation> relayed;
    std::unordered_map<request_key, operation_id> unanswered_callers; ///< local ones
    timer_queue timers;
    std::set<std::pair<mono_time, request_key>>
        caller_deadlines;                    ///< of callers that share an operation
    period_id period{1};                     ///< current period; callers put it in new ids
    period_id closed_period{0};              ///< new ids up to this period are refused
    mono_time next_period{};                 ///< when the current period ends
    mono_time next_check{};                  ///< when to check for lost keepers and homes
    std::uint64_t next_idempotent_nonce = 1; ///< for ids of idempotent requests
    std::unordered_map<node_id, keeper_hand_overs> keepers; ///< with unconfirmed hand-overs
    keeper_index index;
    retry_budget budget;
    std::map<incarnation_id, transferred_table> transferred; ///< by the home that sent it
    std::map<incarnation_id, node_id> successors;            ///< of homes that stopped
    table_transfer outgoing_transfer;
    operation_counters counters;
    /**
     * Chooses the zone for a request body of the given size; nothing if it must be refused.
     * If the function is empty, requests stay in this entry host's zone.
     */
    std::function<std::optional<zone_choice>(node_view const&, service_id const&, std::uint64_t)>
        choose_zone;
    /** Called when an attempt placed by choose_zone has ended. */
    std::function<void(node_view const&, service_id const&, zone_choice const&)> release_zone;
};

/** Handles a request from a local caller. */
void on_caller_request(operation_state& state, node_view const& view, caller_request const& request,
                       node_effects& effects);

/**
 * Drops a caller that cancelled. An idempotent operation is cancelled with its last caller; a
 * non-idempotent one continues.
 */
void on_caller_cancel(operation_state& state, node_view const& view, caller_cancel const& cancel,
                      node_effects& effects);

/** Handles a request relayed by another entry host. */
void on_relay_request(operation_state& state, node_view const& view, node_id const& from,
                      relay_request const& request, node_effects& effects);

/** Handles the home's answer to a request that this entry host relayed. */
void on_relay_answer(operation_state& state, node_view const& view, relay_answer const& message,
                     node_effects& effects);

/** Handles a keeper's result of one attempt. */
void on_hand_over_result(operation_state& state, node_view const& view,
                         hand_over_result const& result, node_effects& effects);

/** Handles due timers: resends, cancellations, deadlines, lost peers and the end of a period. */
void on_operation_wake(operation_state& state, node_view const& view, node_effects& effects);

/** @return when on_operation_wake() must be called next. */
mono_time next_operation_wake(operation_state const& state);

/** Refuses all new operations from now on; running operations finish. */
void refuse_new_operations(operation_state& state);

/**
 * Sends the finished table to a live peer of the zone, which then answers duplicate requests for
 * this home. Call repeatedly until it returns true.
 * @return whether the transfer is complete or was given up.
 */
bool transfer_finished_table(operation_state& state, node_view const& view, node_effects& effects);

/** Stores a chunk of a stopping home's finished table. */
void on_finished_records(operation_state& state, node_view const& view, node_id const& from,
                         finished_records const& message, node_effects& effects);

/** Handles the successor's acknowledgement of a chunk. */
void on_finished_records_ack(operation_state& state, node_view const& view,
                             finished_records_ack const& ack, node_effects& effects);

/** Records the successor of a home that stopped. */
void on_successor_notice(operation_state& state, successor_notice const& notice);

} // namespace cove
