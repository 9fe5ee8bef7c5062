#include "operation/operation_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

period_id const idempotent_period{0}; ///< in ids that this process assigns to idempotent requests

class_config const* class_of(node_view const& view, service_id const& service,
                             class_id const& request_class)
{
    service_config const* found =
        view.config == nullptr ? nullptr : find_service(*view.config, service);
    return found == nullptr ? nullptr : find_class(*found, request_class);
}

void refuse_request(operation_state& state, node_view const& view, operation_request const& request,
                    waiter const& recipient, char const* reason, node_effects& effects)
{
    give_answer(state, view, request, recipient,
                refuse(view, "operation.accept", request.service.value, reason), effects);
}

bool has_room(operation_state const& state)
{
    return state.finished.bytes + state.running_bytes < state.table_limit;
}

/**
 * Refuses an operation so that its id can never run later: stores the refusal or, if the table is
 * full, refuses all new ids up to the current period.
 */
void refuse_permanently(operation_state& state, node_view const& view,
                        operation_request const& request, waiter const& recipient,
                        char const* reason, node_effects& effects)
{
    auto const answer = refuse(view, "operation.accept", request.service.value, reason);
    if (has_room(state)) {
        store_finished(state.finished, request.id, {request.fingerprint, answer});
    }
    else {
        ++state.counters.refused_new;
        state.closed_period = std::max(state.closed_period, state.period);
    }
    give_answer(state, view, request, recipient, answer, effects);
}

void start_operation(operation_state& state, node_view const& view,
                     operation_request const& request, class_config const& request_class,
                     waiter const& recipient, node_effects& effects)
{
    microseconds const timeout = std::min<microseconds>(request.timeout, request_class.deadline);
    operation_record record;
    record.request = request;
    record.idempotent = request_class.idempotent;
    record.deadline = view.now.mono + timeout;
    record.cancel_at = record.deadline - cancel_grace(timeout);
    record.waiters.push_back(recipient);
    state.running_bytes += bytes_of(request.body).size();
    state.running.emplace(request.id, std::move(record));
    dispatch(state, view, request.id, effects);
}

/**
 * Handles a duplicate of a known operation: joins it, answers or refuses.
 * @return whether the operation is known.
 */
bool handle_repeat(operation_state& state, node_view const& view, operation_request const& request,
                   waiter const& recipient, node_effects& effects)
{
    auto const running = state.running.find(request.id);
    auto const* finished = find_finished(state.finished, request.id);
    if (running == state.running.end() && finished == nullptr) {
        return false;
    }
    std::uint64_t const first =
        finished != nullptr ? finished->fingerprint : running->second.request.fingerprint;
    if (first != request.fingerprint) {
        refuse_request(state, view, request, recipient,
                       "the operation id was already used for a different request", effects);
    }
    else if (finished != nullptr) {
        ++state.counters.repeats_answered;
        give_answer(state, view, request, recipient, finished->answer, effects);
    }
    else {
        ++state.counters.repeats_joined;
        auto& waiters = running->second.waiters;
        if (!recipient.relay ||
            std::ranges::find(waiters, recipient.relay, &waiter::relay) == waiters.end()) {
            waiters.push_back(recipient);
            set_caller_deadline(state, recipient, view.now.mono + request.timeout);
        }
    }
    return true;
}

/** Answers a request whose id period does not allow it to run. @return whether it did. */
bool refuse_by_period(operation_state& state, node_view const& view,
                      operation_request const& request, waiter const& recipient,
                      node_effects& effects)
{
    if (request.id.period < oldest_kept_period(state) && !view.disabled.period_check) {
        ++state.counters.expired_ids;
        give_answer(state, view, request, recipient,
                    unknown_outcome("operation.accept", view.self.id.value,
                                    "the operation id has expired; the operation will not run"),
                    effects);
        return true;
    }
    if (request.id.period > state.period) {
        refuse_permanently(state, view, request, recipient,
                           "the operation id is from a future period", effects);
        return true;
    }
    if (request.id.period <= state.closed_period) {
        ++state.counters.refused_new;
        refuse_request(state, view, request, recipient, "this entry host accepts no new operations",
                       effects);
        return true;
    }
    return false;
}

/** Removes a local caller from its operation. @return the operation's request, or null. */
operation_request const* remove_waiter(operation_state& state, operation_id const& id,
                                       request_key caller)
{
    auto const take = [&](auto& operations) -> operation_request const* {
        auto const found = operations.find(id);
        if (found == operations.end()) {
            return nullptr;
        }
        auto const taken = std::erase_if(found->second.waiters, [&](waiter const& recipient) {
            return !recipient.relay && recipient.local_key == caller;
        });
        return taken == 0 ? nullptr : &found->second.request;
    };
    auto const* running = take(state.running);
    return running != nullptr ? running : take(state.relayed);
}

} // namespace

void set_caller_deadline(operation_state& state, waiter const& recipient, mono_time deadline)
{
    if (!recipient.relay) {
        state.caller_deadlines.emplace(deadline, recipient.local_key);
    }
}

void expire_callers(operation_state& state, node_view const& view, node_effects& effects)
{
    while (!state.caller_deadlines.empty() &&
           state.caller_deadlines.begin()->first <= view.now.mono) {
        request_key const caller = state.caller_deadlines.begin()->second;
        state.caller_deadlines.erase(state.caller_deadlines.begin());
        auto const waiting = state.unanswered_callers.find(caller);
        if (waiting == state.unanswered_callers.end()) {
            continue;
        }
        auto const* request = remove_waiter(state, waiting->second, caller);
        if (request != nullptr) {
            give_answer(state, view, *request, {caller, std::nullopt, view.now.mono},
                        unknown_outcome("operation.wait", view.self.id.value,
                                        "deadline passed while the operation was still running"),
                        effects);
        }
    }
}

void give_answer(operation_state& state, node_view const& view, operation_request const& request,
                 waiter const& recipient, final_answer const& answer, node_effects& effects)
{
    if (recipient.relay) {
        send_to(view, effects, *recipient.relay,
                relay_answer{request.id, request.fingerprint, answer});
        return;
    }
    if (state.unanswered_callers.erase(recipient.local_key) != 0) {
        effects.emplace_back(reply{recipient.local_key, answer, request.service,
                                   request.request_class, view.now.mono - recipient.since});
    }
}

std::uint64_t fingerprint_of(service_id const& service, class_id const& request_class,
                             payload const& body)
{
    return stable_hash(bytes_of(body),
                       stable_hash(request_class.value, stable_hash(service.value)));
}

period_id oldest_kept_period(operation_state const& state)
{
    return period_id{state.period.value > kept_periods ? state.period.value - kept_periods : 1};
}

void run_as_home(operation_state& state, node_view const& view, operation_request const& request,
                 waiter const& recipient, node_effects& effects)
{
    if (!view.disabled.joining_repeats && handle_repeat(state, view, request, recipient, effects)) {
        return;
    }
    if (state.running.contains(request.id)) {
        dispatch(state, view, request.id, effects);
        return;
    }
    if (refuse_by_period(state, view, request, recipient, effects)) {
        return;
    }
    class_config const* request_class = class_of(view, request.service, request.request_class);
    if (request_class == nullptr) {
        refuse_permanently(state, view, request, recipient, "unknown service or class", effects);
        return;
    }
    if (!has_room(state)) {
        refuse_permanently(state, view, request, recipient, "the operation table is full", effects);
        return;
    }
    start_operation(state, view, request, *request_class, recipient, effects);
}

void on_caller_request(operation_state& state, node_view const& view, caller_request const& request,
                       node_effects& effects)
{
    operation_request in{request.operation.value_or(operation_id{}),
                         request.service,
                         request.request_class,
                         request.timeout,
                         request.body,
                         0};
    waiter const recipient{request.key, std::nullopt, view.now.mono};
    class_config const* request_class = class_of(view, in.service, in.request_class);
    if (request_class != nullptr && request_class->idempotent) {
        // An idempotent request may run twice, so any entry host can run it, under a new id.
        in.id = {view.self.incarnation, idempotent_period, state.next_idempotent_nonce++};
        state.unanswered_callers.emplace(request.key, in.id);
        start_operation(state, view, in, *request_class, recipient, effects);
        return;
    }
    state.unanswered_callers.emplace(request.key, in.id);
    if (!request.operation) {
        refuse_request(state, view, in, recipient,
                       request_class == nullptr ? "unknown service or class"
                                                : "a non-idempotent request needs an operation id",
                       effects);
        return;
    }
    in.fingerprint = fingerprint_of(in.service, in.request_class, in.body);
    if (in.id.home == view.self.incarnation) {
        run_as_home(state, view, in, recipient, effects);
    }
    else {
        relay_to_home(state, view, in, recipient, effects);
    }
}

void on_caller_cancel(operation_state& state, node_view const& view, caller_cancel const& cancel,
                      node_effects& effects)
{
    auto const found = state.unanswered_callers.find(cancel.key);
    if (found == state.unanswered_callers.end()) {
        return;
    }
    operation_id const id = found->second;
    state.unanswered_callers.erase(found);
    remove_waiter(state, id, cancel.key);
    auto const record = state.running.find(id);
    if (record == state.running.end()) {
        return;
    }
    if (record->second.idempotent && record->second.waiters.empty()) {
        send_to(view, effects, record->second.keeper,
                hand_over_cancel{id, record->second.attempt, record->second.keeper_incarnation,
                                 record->second.keeper_period, true});
        finish(state, view, id,
               unknown_outcome("operation.cancel", view.self.id.value, "the caller cancelled"),
               effects);
    }
}

} // namespace cove
