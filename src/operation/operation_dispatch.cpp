#include "operation/operation_func.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

constexpr microseconds initial_resend_interval = milliseconds(200); ///< doubles with each resend

bool was_tried(operation_record const& record, node_id const& keeper)
{
    return std::ranges::find(record.tried, keeper) != record.tried.end();
}

/** @return this home's unconfirmed hand-overs at the keeper, divided by the keeper's targets. */
double load_of(operation_state const& state, target_with_keeper const& one)
{
    auto const outstanding = state.keepers.find(one.keeper);
    return outstanding == state.keepers.end()
               ? 0
               : static_cast<double>(outstanding->second.in_flight) / one.keeper_target_count;
}

/** @return a random target whose keeper was not tried yet, or null. */
target_with_keeper const* pick_untried_target(node_view const& view, operation_record const& record,
                                              std::vector<target_with_keeper> const& targets)
{
    if (targets.empty()) {
        return nullptr;
    }
    std::size_t const first = random_below(view.random, targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        target_with_keeper const& one = targets[(first + i) % targets.size()];
        if (!was_tried(record, one.keeper)) {
            return &one;
        }
    }
    return nullptr;
}

/** Chooses the less loaded of two random keepers; keepers are weighted by their targets. */
std::optional<node_id> choose_keeper(operation_state& state, node_view const& view,
                                     operation_record const& record, zone_id const& zone)
{
    auto const& targets = keepers_of(state.index, view, {zone, record.request.service});
    target_with_keeper const* one = pick_untried_target(view, record, targets);
    target_with_keeper const* other = pick_untried_target(view, record, targets);
    if (one == nullptr) {
        return std::nullopt;
    }
    return load_of(state, *other) < load_of(state, *one) ? other->keeper : one->keeper;
}

void release_placement(operation_state& state, node_view const& view, operation_record& record)
{
    if (record.placement.granted && state.release_zone) {
        state.release_zone(view, record.request.service, record.placement);
    }
    record.placement.granted = false;
}

void release_keeper(operation_state& state, node_view const& view, operation_record& record)
{
    release_placement(state, view, record);
    if (!record.unconfirmed) {
        return;
    }
    record.unconfirmed = false;
    auto const outstanding = state.keepers.find(record.keeper);
    if (outstanding != state.keepers.end() && --outstanding->second.in_flight == 0) {
        state.keepers.erase(outstanding);
    }
}

void arm(operation_state& state, operation_id const& id, operation_record& record)
{
    mono_time next = std::min(record.deadline, record.resend_at);
    if (!record.cancel_sent) {
        next = std::min(next, record.cancel_at);
    }
    rearm(state, id, record, next);
}

void send_hand_over(node_view const& view, operation_id const& id, operation_record const& record,
                    node_effects& effects)
{
    send_to(view, effects, record.keeper,
            hand_over{id, record.attempt, record.request.service, record.request.request_class,
                      record.deadline - view.now.mono, record.request.body,
                      record.keeper_incarnation, record.keeper_period});
}

void hand_over_to(operation_state& state, node_view const& view, operation_id const& id,
                  operation_record& record, node_id const& keeper, node_effects& effects)
{
    require_invariant(find_finished(state.finished, id) == nullptr,
                      "a finished operation is never dispatched");
    require_invariant(!record.unconfirmed,
                      "an operation has at most one unconfirmed attempt at any time");
    auto const peer = view.members.members.find(keeper);
    record.keeper = keeper;
    record.keeper_incarnation =
        peer == view.members.members.end() ? incarnation_id{} : peer->second.incarnation;
    record.keeper_period = peer == view.members.members.end() ? period_id{} : peer->second.period;
    record.unconfirmed = true;
    record.cancel_sent = false;
    ++record.attempt;
    record.resend_interval = initial_resend_interval;
    record.resend_at = view.now.mono + record.resend_interval;
    keeper_hand_overs& outstanding = state.keepers[keeper];
    if (outstanding.in_flight++ == 0) {
        outstanding.incarnation = record.keeper_incarnation;
    }
    arm(state, id, record);
    send_hand_over(view, id, record, effects);
}

/** Chooses a zone and a keeper in it, and stores the zone in the record. */
std::optional<node_id> choose_placement(operation_state& state, node_view const& view,
                                        operation_record& record)
{
    auto const& request = record.request;
    auto const placement =
        state.choose_zone ? state.choose_zone(view, request.service, bytes_of(request.body).size())
                          : zone_choice{view.self.zone};
    if (!placement) {
        return std::nullopt;
    }
    record.placement = *placement;
    auto const keeper = choose_keeper(state, view, record, placement->zone);
    if (!keeper) {
        release_placement(state, view, record);
    }
    return keeper;
}

/**
 * Hands the operation to another keeper after a failed attempt.
 * @param failed the final answer if the operation cannot be retried.
 * @param skip_budget whether the retry is not due to a fault and does not count against the budget.
 */
void retry(operation_state& state, node_view const& view, operation_id const& id,
           final_answer const& failed, bool skip_budget, node_effects& effects)
{
    operation_record& record = state.running.at(id);
    record.tried.push_back(record.keeper);
    auto const& request = record.request;
    bool const too_late = record.cancel_sent || view.now.mono >= record.cancel_at;
    auto const keeper = too_late ? std::nullopt : choose_placement(state, view, record);
    if (!keeper) {
        finish(state, view, id, failed, effects);
        return;
    }
    if (!skip_budget &&
        !spend_retry(state.budget, request.service, request.request_class, *keeper)) {
        ++state.counters.retries_denied;
        finish(state, view, id, failed, effects);
        return;
    }
    ++state.counters.retries;
    hand_over_to(state, view, id, record, *keeper, effects);
}

void expire(operation_state& state, node_view const& view, operation_id const& id,
            operation_record const& record, node_effects& effects)
{
    send_to(view, effects, record.keeper,
            hand_over_cancel{id, record.attempt, record.keeper_incarnation, record.keeper_period,
                             true});
    auto answer = unknown_outcome("operation.wait", record.keeper.value, "deadline passed");
    if (view.disabled.timeout_confirmation) {
        answer.result = outcome::not_run;
    }
    finish(state, view, id, answer, effects);
}

} // namespace

void dispatch(operation_state& state, node_view const& view, operation_id const& id,
              node_effects& effects)
{
    operation_record& record = state.running.at(id);
    auto const& request = record.request;
    auto const keeper = choose_placement(state, view, record);
    if (!keeper) {
        finish(state, view, id,
               refuse(view, "operation.dispatch", request.service.value,
                      "no live target with free capacity"),
               effects);
        return;
    }
    earn_retry(state.budget, request.service, request.request_class, *keeper);
    hand_over_to(state, view, id, record, *keeper, effects);
}

void finish(operation_state& state, node_view const& view, operation_id const& id,
            final_answer const& answer, node_effects& effects)
{
    auto node = state.running.extract(id);
    require_invariant(!node.empty(), "an operation has one final answer");
    operation_record& record = node.mapped();
    state.timers.erase({record.timer, id});
    release_keeper(state, view, record);
    state.running_bytes -= bytes_of(record.request.body).size();
    if (id.period >= oldest_kept_period(state)) {
        require_invariant(find_finished(state.finished, id) == nullptr,
                          "an operation has one final answer");
        store_finished(state.finished, id, {record.request.fingerprint, answer});
    }
    for (waiter const& recipient : record.waiters) {
        give_answer(state, view, record.request, recipient, answer, effects);
    }
}

void on_hand_over_result(operation_state& state, node_view const& view,
                         hand_over_result const& result, node_effects& effects)
{
    auto const found = state.running.find(result.operation);
    if (found == state.running.end() || found->second.attempt != result.attempt ||
        !found->second.unconfirmed) {
        ++state.counters.late_results;
        return;
    }
    operation_record& record = found->second;
    release_keeper(state, view, record);
    bool const may_retry = result.answer.result == outcome::not_run ||
                           (result.answer.result == outcome::unknown &&
                            (record.idempotent || view.disabled.retry_after_send_check));
    if (may_retry) {
        retry(state, view, result.operation, result.answer, result.keeper_leaving, effects);
    }
    else {
        finish(state, view, result.operation, result.answer, effects);
    }
}

void on_keeper_lost(operation_state& state, node_view const& view, operation_id const& id,
                    node_effects& effects)
{
    operation_record& record = state.running.at(id);
    auto const lost = unknown_outcome("operation.wait", record.keeper.value,
                                      "the keeper stopped or is not reachable");
    release_keeper(state, view, record);
    if (record.idempotent || view.disabled.retry_after_send_check) {
        retry(state, view, id, lost, false, effects);
    }
    else {
        finish(state, view, id, lost, effects);
    }
}

void on_operation_due(operation_state& state, node_view const& view, operation_id const& id,
                      node_effects& effects)
{
    operation_record& record = state.running.at(id);
    if (view.now.mono >= record.deadline) {
        expire(state, view, id, record, effects);
        return;
    }
    bool const cancel_due = !record.cancel_sent && view.now.mono >= record.cancel_at;
    if (cancel_due || view.now.mono >= record.resend_at) {
        record.cancel_sent = record.cancel_sent || cancel_due;
        if (record.cancel_sent) {
            send_to(view, effects, record.keeper,
                    hand_over_cancel{id, record.attempt, record.keeper_incarnation,
                                     record.keeper_period, false});
        }
        else {
            send_hand_over(view, id, record, effects);
        }
        state.counters.resends += cancel_due ? 0 : 1;
        record.resend_interval *= 2;
        record.resend_at = view.now.mono + record.resend_interval;
    }
    arm(state, id, record);
}

} // namespace cove
