#pragma once
/** @file Internal functions of the operation library, shared by home and relay. */

#include "operation/operation.h"

namespace cove {

/** Sends @p answer to @p recipient. @param request the answered request. */
void give_answer(operation_state& state, node_view const& view, operation_request const& request,
                 waiter const& recipient, final_answer const& answer, node_effects& effects);

/**
 * Ends a running operation: sends the answer to all waiters and stores it, unless the id's period
 * is pruned or the request is idempotent.
 */
void finish(operation_state& state, node_view const& view, operation_id const& id,
            final_answer const& answer, node_effects& effects);

/** Hands a running operation to a keeper, or ends it if no keeper is available. */
void dispatch(operation_state& state, node_view const& view, operation_id const& id,
              node_effects& effects);

/** Resends, cancels or ends a running operation, whichever is due. */
void on_operation_due(operation_state& state, node_view const& view, operation_id const& id,
                      node_effects& effects);

/** Retries an operation whose keeper is gone if that is safe, or ends it as unknown. */
void on_keeper_lost(operation_state& state, node_view const& view, operation_id const& id,
                    node_effects& effects);

/** Handles a request as its home: starts the operation, joins it, or answers. */
void run_as_home(operation_state& state, node_view const& view, operation_request const& request,
                 waiter const& recipient, node_effects& effects);

/** Relays a request to its home, or answers it if the home is gone. */
void relay_to_home(operation_state& state, node_view const& view, operation_request const& request,
                   waiter const& recipient, node_effects& effects);

/**
 * Sets the deadline of a caller that shares an operation with others, as it may be earlier than the
 * deadline of the operation.
 * @param recipient the caller; a relaying entry host is ignored, it tracks the deadlines itself.
 */
void set_caller_deadline(operation_state& state, waiter const& recipient, mono_time deadline);

/** Answers callers whose deadline has passed while their shared operation continues. */
void expire_callers(operation_state& state, node_view const& view, node_effects& effects);

/** Resends or ends a relayed operation, whichever is due. */
void on_relay_due(operation_state& state, node_view const& view, operation_id const& id,
                  node_effects& effects);

/** Redirects relayed operations whose home is gone to its successor, or answers them. */
void handle_lost_homes(operation_state& state, node_view const& view, node_effects& effects);

/** @return whether the process @p incarnation of @p node has ended, or no update of it is known. */
bool is_gone(node_view const& view, node_id const& node, incarnation_id incarnation);

/** @return a hash of service, class and body; the same for all requests of one operation. */
std::uint64_t fingerprint_of(service_id const& service, class_id const& request_class,
                             payload const& body);

/** @return the oldest period whose answers are kept. */
period_id oldest_kept_period(operation_state const& state);

/** Replaces the timer of a running or relayed operation. */
template <class Timed>
void rearm(operation_state& state, operation_id const& id, Timed& timed, mono_time at)
{
    state.timers.erase({timed.timer, id});
    timed.timer = at;
    state.timers.emplace(at, id);
}

} // namespace cove
