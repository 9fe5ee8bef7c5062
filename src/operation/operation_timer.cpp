#include "operation/operation_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds check_interval{100}; ///< between checks for lost keepers and homes

void run_due_timers(operation_state& state, node_view const& view, node_effects& effects)
{
    while (!state.timers.empty() && state.timers.begin()->first <= view.now.mono) {
        operation_id const id = state.timers.begin()->second;
        state.timers.erase(state.timers.begin());
        if (state.running.contains(id)) {
            on_operation_due(state, view, id, effects);
        }
        else if (state.relayed.contains(id)) {
            on_relay_due(state, view, id, effects);
        }
    }
}

/** Handles the unconfirmed hand-overs of keepers that are gone. */
void handle_lost_keepers(operation_state& state, node_view const& view, node_effects& effects)
{
    std::vector<node_id> lost_keepers;
    for (auto const& [keeper, outstanding] : state.keepers) {
        if (is_gone(view, keeper, outstanding.incarnation)) {
            lost_keepers.push_back(keeper);
        }
    }
    if (lost_keepers.empty()) {
        return;
    }
    std::vector<operation_id> lost;
    for (auto const& [id, record] : state.running) {
        if (std::ranges::find(lost_keepers, record.keeper) != lost_keepers.end() &&
            is_gone(view, record.keeper, record.keeper_incarnation)) {
            lost.push_back(id);
        }
    }
    std::ranges::sort(lost);
    for (operation_id const& id : lost) {
        on_keeper_lost(state, view, id, effects);
    }
    for (node_id const& keeper : lost_keepers) {
        auto const outstanding = state.keepers.find(keeper);
        auto const peer = view.members.members.find(keeper);
        if (outstanding != state.keepers.end() && peer != view.members.members.end()) {
            outstanding->second.incarnation = peer->second.incarnation;
        }
    }
}

void advance_period(operation_state& state, node_view const& view)
{
    if (view.now.mono < state.next_period) {
        return;
    }
    if (state.next_period != mono_time{}) {
        ++state.period.value;
    }
    state.next_period = view.now.mono + period_length;
    prune_finished(state.finished, oldest_kept_period(state));
    std::erase_if(state.transferred,
                  [&](auto const& table) { return view.now.mono >= table.second.expires_at; });
}

} // namespace

void on_operation_wake(operation_state& state, node_view const& view, node_effects& effects)
{
    run_due_timers(state, view, effects);
    expire_callers(state, view, effects);
    if (view.now.mono >= state.next_check) {
        state.next_check = view.now.mono + check_interval;
        handle_lost_keepers(state, view, effects);
        handle_lost_homes(state, view, effects);
    }
    advance_period(state, view);
}

mono_time next_operation_wake(operation_state const& state)
{
    mono_time next = state.next_period;
    if (!state.timers.empty()) {
        next = std::min({next, state.timers.begin()->first, state.next_check});
    }
    if (!state.caller_deadlines.empty()) {
        next = std::min(next, state.caller_deadlines.begin()->first);
    }
    return next;
}

} // namespace cove
