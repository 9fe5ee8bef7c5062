#include "keeper/keeper_func.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

/** An attempt that a target refused to start is queued again at most this often. */
constexpr int max_requeues = 1;
constexpr int call_time_divisor = 16;        ///< a call has weight 1/16 in the moving average
constexpr milliseconds min_retry_after{200}; ///< used if the expected wait is shorter

/** Ends an attempt and sends the result to its home. */
void complete_attempt(keeper_state& state, node_view const& view, node_id const& home,
                      attempt_id const& id, final_answer answer, bool keeper_leaving,
                      node_effects& effects)
{
    hand_over_result result{id.operation, id.attempt, std::move(answer), keeper_leaving};
    end_attempt(state.attempts, result);
    send_to(view, effects, home, std::move(result));
}

/** Answers with an unknown outcome: the attempt may have run earlier, but will not start now. */
void reject_unknown_attempt(keeper_state& state, node_view const& view, node_id const& home,
                            attempt_id const& id, char const* reason, node_effects& effects)
{
    ++state.counters.stale_messages;
    send_to(view, effects, home,
            hand_over_result{id.operation, id.attempt,
                             unknown_outcome("keeper.accept", view.self.id.value, reason), false});
}

/** Answers a repeated message for a known attempt with its result, if it has ended. */
void handle_repeated_message(keeper_state& state, node_view const& view, node_id const& home,
                             attempt_id const& id, attempt_entry const& entry,
                             node_effects& effects)
{
    ++state.counters.repeated_messages;
    if (entry.phase != attempt_phase::ended) {
        return;
    }
    if (entry.result != nullptr) {
        send_to(view, effects, home, *entry.result);
    }
    else {
        reject_unknown_attempt(state, view, home, id, "the result is no longer stored", effects);
    }
}

/** @return why a message is rejected, or null if it is accepted. */
char const* message_rejection(keeper_state const& state, node_view const& view,
                              incarnation_id keeper, period_id period)
{
    if (keeper != view.self.incarnation) {
        return "addressed to another incarnation of this keeper";
    }
    return is_stale(state.attempts, period) ? "the message is too old" : nullptr;
}

bool has_targets(keeper_state const& state, service_id const& service)
{
    auto const kept = state.targets_by_service.find(service);
    return kept != state.targets_by_service.end() && !kept->second.empty();
}

/** Returns queued attempts to their homes if this keeper no longer has targets of their service. */
void return_unservable_attempts(keeper_state& state, node_view const& view, node_effects& effects)
{
    std::vector<queue_position> positions;
    std::ranges::copy_if(
        state.queued_by_deadline, std::back_inserter(positions),
        [&](queue_position const& position) { return !has_targets(state, position.service); });
    for (queue_position const& position : positions) {
        auto const attempt = dequeue(state, position);
        complete_attempt(state, view, attempt->home, attempt_of(attempt->request),
                         refuse(view, "keeper.queue", view.self.id.value,
                                "this keeper has no target of the service"),
                         true, effects);
    }
}

void expire_queued(keeper_state& state, node_view const& view, node_effects& effects)
{
    while (!state.queued_by_deadline.empty() &&
           state.queued_by_deadline.begin()->deadline <= view.now.mono) {
        auto const attempt = dequeue(state, queue_position(*state.queued_by_deadline.begin()));
        complete_attempt(state, view, attempt->home, attempt_of(attempt->request),
                         refuse(view, "keeper.queue", view.self.id.value, "deadline passed"), false,
                         effects);
    }
}

void start_queued_for_all_services(keeper_state& state, node_view const& view,
                                   node_effects& effects)
{
    if (view.config == nullptr) {
        return;
    }
    for (service_config const& service : view.config->services) {
        start_queued(state, view, service, effects);
    }
}

void refresh_targets(keeper_state& state, node_view const& view, node_effects& effects)
{
    if (refresh_kept_targets(state, view)) {
        return_unservable_attempts(state, view, effects);
        start_queued_for_all_services(state, view, effects);
    }
}

void refuse_long_wait(keeper_state& state, node_view const& view, queued_attempt const& attempt,
                      microseconds wait, node_effects& effects)
{
    ++state.counters.refused_waits;
    auto answer =
        refuse(view, "keeper.queue", view.self.id.value, "the expected wait exceeds the time left");
    answer.retry_after =
        spread_retry_after(view.random, std::max<microseconds>(min_retry_after, wait));
    complete_attempt(state, view, attempt.home, attempt_of(attempt.request), std::move(answer),
                     false, effects);
}

void accept(keeper_state& state, node_view const& view, node_id const& from,
            hand_over const& request, service_config const& service,
            class_config const& request_class, node_effects& effects)
{
    queued_attempt attempt{request, from, view.now.mono + request.timeout};
    std::uint64_t const sequence = state.next_sequence++;
    queue_position const position{attempt.deadline, service.id, request_class.id, sequence};
    microseconds const wait = expected_wait(state, service, request_class, view.now.mono);
    enqueue(state, std::move(attempt), request_class, sequence);
    start_queued(state, view, service, effects);
    microseconds const min_time_left =
        std::max(state.queues[service.id].call_time, cancel_grace(request.timeout));
    if (wait + min_time_left >= request.timeout && state.queued_by_deadline.contains(position)) {
        refuse_long_wait(state, view, *dequeue(state, position), wait, effects);
    }
}

final_answer answer_of(node_view const& view, call_result const& result, target_id const& target)
{
    if (result.verdict == call_verdict::not_started) {
        return refuse(view, "keeper.call", target.value, result.error);
    }
    if (result.verdict == call_verdict::broken) {
        return unknown_outcome("keeper.call", target.value, result.error);
    }
    final_answer answer;
    answer.result = outcome::done;
    answer.status = result.status;
    answer.body = result.body;
    return answer;
}

void record_call_result(keeper_state& state, node_view const& view, running_call const& call,
                        call_result const& result, service_config const* service)
{
    kept_target& target = state.targets.at(call.target);
    --target.in_flight;
    service_queue& queue = state.queues[call.attempt.request.service];
    --queue.classes[call.attempt.request.request_class].in_flight;
    if (service == nullptr) {
        return;
    }
    microseconds const latency = view.now.mono - call.since;
    observe_call(target, *service, {call.attempt.request.request_class, result.verdict, latency},
                 view.now.mono);
    if (result.verdict == call_verdict::answered) {
        queue.call_time += queue.call_time == microseconds{}
                               ? latency
                               : (latency - queue.call_time) / call_time_divisor;
    }
}

/** Queues an attempt again after a target refused to start it. @return whether it was queued. */
bool requeue(keeper_state& state, node_view const& view, running_call& call,
             service_config const* service)
{
    class_config const* request_class =
        service == nullptr ? nullptr : find_class(*service, call.attempt.request.request_class);
    if (request_class == nullptr || call.attempt.shed >= max_requeues ||
        view.now.mono >= call.attempt.deadline || !has_targets(state, service->id)) {
        return false;
    }
    ++call.attempt.shed;
    find_attempt(state.attempts, attempt_of(call.attempt.request))->phase = attempt_phase::queued;
    enqueue(state, std::move(call.attempt), *request_class, call.sequence);
    return true;
}

/** Cancels a queued attempt and stores the cancellation, so that it never starts. */
void cancel_queued(keeper_state& state, node_view const& view, node_id const& from,
                   attempt_id const& id, node_effects& effects)
{
    auto const position = state.positions.find(id);
    require_invariant(position != state.positions.end(), "a queued attempt has a queue position");
    dequeue(state, queue_position(position->second));
    complete_attempt(
        state, view, from, id,
        refuse(view, "keeper.cancel", view.self.id.value, "cancelled before it started"), false,
        effects);
}

} // namespace

void on_hand_over(keeper_state& state, node_view const& view, node_id const& from,
                  hand_over const& request, node_effects& effects)
{
    attempt_id const id = attempt_of(request);
    if (attempt_entry const* known = find_attempt(state.attempts, id); known != nullptr) {
        handle_repeated_message(state, view, from, id, *known, effects);
        return;
    }
    if (char const* reason = message_rejection(state, view, request.keeper, request.keeper_period);
        reason != nullptr) {
        reject_unknown_attempt(state, view, from, id, reason, effects);
        return;
    }
    if (add_attempt(state.attempts, id) == nullptr) {
        ++state.counters.table_full;
        return;
    }
    expire_queued(state, view, effects);
    refresh_targets(state, view, effects);
    service_config const* service =
        view.config == nullptr ? nullptr : find_service(*view.config, request.service);
    class_config const* request_class =
        service == nullptr ? nullptr : find_class(*service, request.request_class);
    if (request_class == nullptr) {
        complete_attempt(
            state, view, from, id,
            refuse(view, "keeper.accept", view.self.id.value, "unknown service or class"), false,
            effects);
        return;
    }
    if (!has_targets(state, request.service)) {
        complete_attempt(state, view, from, id,
                         refuse(view, "keeper.accept", view.self.id.value,
                                "this keeper has no target of the service"),
                         true, effects);
        return;
    }
    accept(state, view, from, request, *service, *request_class, effects);
}

void on_hand_over_cancel(keeper_state& state, node_view const& view, node_id const& from,
                         hand_over_cancel const& cancel, node_effects& effects)
{
    attempt_id const id{cancel.operation, cancel.attempt};
    if (attempt_entry const* known = find_attempt(state.attempts, id); known != nullptr) {
        if (known->phase == attempt_phase::queued) {
            cancel_queued(state, view, from, id, effects);
        }
        else if (known->phase == attempt_phase::running && cancel.abandon) {
            effects.emplace_back(cancel_call{known->call});
        }
        else {
            handle_repeated_message(state, view, from, id, *known, effects);
        }
        return;
    }
    if (char const* reason = message_rejection(state, view, cancel.keeper, cancel.keeper_period);
        reason != nullptr) {
        reject_unknown_attempt(state, view, from, id, reason, effects);
        return;
    }
    auto const cancelled =
        refuse(view, "keeper.cancel", view.self.id.value, "cancelled before it was received");
    if (view.disabled.cancel_prevents_start) {
        send_to(view, effects, from, hand_over_result{id.operation, id.attempt, cancelled, false});
    }
    else if (add_attempt(state.attempts, id) != nullptr) {
        complete_attempt(state, view, from, id, cancelled, false, effects);
    }
}

void on_call_result(keeper_state& state, node_view const& view, call_result const& result,
                    node_effects& effects)
{
    auto node = state.calls.extract(result.key);
    if (node.empty()) {
        ++state.counters.late_results;
        return;
    }
    running_call& call = node.mapped();
    service_config const* service =
        view.config == nullptr ? nullptr : find_service(*view.config, call.attempt.request.service);
    record_call_result(state, view, call, result, service);
    expire_queued(state, view, effects);
    refresh_targets(state, view, effects);
    bool const shed = result.verdict == call_verdict::not_started;
    if (shed) {
        ++state.counters.shed;
        state.resume_at = std::min(state.resume_at, state.targets.at(call.target).resume_at);
    }
    if (!shed || !requeue(state, view, call, service)) {
        complete_attempt(state, view, call.attempt.home, attempt_of(call.attempt.request),
                         answer_of(view, result, call.target), false, effects);
    }
    if (service != nullptr) {
        start_queued(state, view, *service, effects);
    }
}

void on_target_report(keeper_state& state, node_view const& view, target_report const& report,
                      node_effects& effects)
{
    auto const target = state.targets.find(report.target);
    if (target == state.targets.end()) {
        return;
    }
    if (target->second.leaving != report.leaving) {
        state.next_refresh = view.now.mono;
    }
    expire_queued(state, view, effects);
    observe_report(target->second, report, view.now.mono);
    target->second.leaving = report.leaving && !view.disabled.leaving_targets;
    refresh_targets(state, view, effects);
    start_queued_for_all_services(state, view, effects);
}

void on_keeper_wake(keeper_state& state, node_view const& view, period_id period,
                    node_effects& effects)
{
    advance_attempts(state.attempts, period);
    expire_queued(state, view, effects);
    refresh_targets(state, view, effects);
    if (view.now.mono >= state.resume_at) {
        state.resume_at = mono_time::max();
    }
    if (!state.queued_by_deadline.empty()) {
        start_queued_for_all_services(state, view, effects);
    }
}

mono_time next_keeper_wake(keeper_state const& state)
{
    if (state.queued_by_deadline.empty()) {
        return mono_time::max();
    }
    return std::min(
        {state.queued_by_deadline.begin()->deadline, state.next_refresh, state.resume_at});
}

bool is_idle(keeper_state const& state)
{
    return state.calls.empty() && state.queued_by_deadline.empty();
}

} // namespace cove
