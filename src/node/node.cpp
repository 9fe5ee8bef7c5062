#include "node/node.h"

#include "core/invariant.h"
#include "membership/digest.h"
#include "membership/probe.h"
#include "node/lookup_publisher.h"

#include <algorithm>

namespace cove {

namespace {

/** Time in which all look-up processes stop listing a node that is stopping. */
constexpr seconds lookup_removal_margin{2};
constexpr milliseconds stop_poll_interval{50}; ///< between checks of a stopping node's progress

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

node_view view_of(node_state& state, instant now)
{
    return {now,          state.self,     state.config.get(), state.members,
            state.random, state.disabled, &state.steering};
}

void on_peer_message(node_state& state, instant now, peer_envelope const& envelope,
                     node_effects& effects)
{
    node_view const view = view_of(state, now);
    node_id const& from = envelope.from;
    std::visit(
        overloaded{
            [&](relay_request const& m) {
                on_relay_request(state.operations, view, from, m, effects);
            },
            [&](relay_answer const& m) { on_relay_answer(state.operations, view, m, effects); },
            [&](hand_over const& m) { on_hand_over(state.keeper, view, from, m, effects); },
            [&](hand_over_cancel const& m) {
                on_hand_over_cancel(state.keeper, view, from, m, effects);
            },
            [&](hand_over_result const& m) {
                on_hand_over_result(state.operations, view, m, effects);
            },
            [&](finished_records const& m) {
                on_finished_records(state.operations, view, from, m, effects);
            },
            [&](finished_records_ack const& m) {
                on_finished_records_ack(state.operations, view, m, effects);
            },
            [&](successor_notice const& m) { on_successor_notice(state.operations, m); },
            [&](config_offer const& m) {
                on_config_offer(state.configuration, view, from, m, effects);
            },
            [&](config_fetch const& m) {
                on_config_fetch(state.configuration, view, from, m, effects);
            },
            [&](config_manifest const& m) {
                on_config_manifest(state.configuration, view, from, m, effects);
            },
            [&](config_sections const& m) {
                on_config_sections(state.configuration, view, from, m, effects);
            },
            [&](bridge_role const&) {},
            [&](bridge_host_list const& m) { apply_host_list(state.members, *m.hosts); },
            [&](probe const& m) { on_probe(state.members, view, from, m, effects); },
            [&](probe_ack const& m) { on_probe_ack(state.members, view, from, m, effects); },
            [&](indirect_probe const& m) {
                on_indirect_probe(state.members, view, from, m, effects);
            },
            [&](view_request const&) { on_view_request(state.members, view, from, effects); },
            [&](view_reply const& m) { on_view_reply(state.members, view, m); },
            [&](zone_digest const& m) { on_zone_digest(state.members, view, m, effects); },
            [&](auto const& m) {
                on_steering_message(state.steering, view, from, envelope.incarnation, m, effects);
            },
        },
        envelope.body);
}

void on_wake_due(node_state& state, instant now, node_effects& effects)
{
    state.next_wake = mono_time::max();
    node_view const view = view_of(state, now);
    on_operation_wake(state.operations, view, effects);
    on_keeper_wake(state.keeper, view, state.operations.period, effects);
    on_steering_wake(state.steering, state.keeper, view, effects);
    update_own_member(state.members, view, state.operations.period, state.stopping);
    on_probe_wake(state.members, view, effects);
    on_digest_wake(state.members, view, effects);
    on_config_wake(state.configuration, view, effects);
    publish_snapshot(state, now, effects);
}

/** Puts a newly received configuration in force for all subsystems. */
void activate_config(node_state& state, instant now, node_effects& effects)
{
    if (state.config == state.configuration.config) {
        return;
    }
    generation const number = state.configuration.manifest.number;
    require_invariant(number >= state.config_generation, "the generation in force never decreases");
    state.config_generation = number;
    state.config = state.configuration.config;
    publish_snapshot(state, now, effects);
}

/**
 * Removes this node from look-up answers. Requests are still accepted for a while, because callers
 * may have cached an answer that lists it.
 */
void on_stop_requested(node_state& state, instant now)
{
    if (state.stopping) {
        return;
    }
    state.stopping = true;
    state.cached_lookups_expire_at = now.mono + lookup_removal_margin;
    if (state.config != nullptr) {
        state.cached_lookups_expire_at += state.config->shift.answer_lifetime;
    }
    update_own_member(state.members, view_of(state, now), state.operations.period, true);
}

/** Continues a graceful stop. @return whether the node has nothing left to do. */
bool is_stop_complete(node_state& state, instant now, node_effects& effects)
{
    if (state.disabled.graceful_stop) {
        return true;
    }
    if (now.mono < state.cached_lookups_expire_at) {
        return false;
    }
    refuse_new_operations(state.operations);
    bool const idle = state.operations.running.empty() && state.operations.relayed.empty() &&
                      state.operations.unanswered_callers.empty() && is_idle(state.keeper);
    return idle && transfer_finished_table(state.operations, view_of(state, now), effects);
}

void advance_stop(node_state& state, instant now, node_effects& effects)
{
    if (state.stopping && !state.stopped && is_stop_complete(state, now, effects)) {
        state.stopped = true;
        effects.emplace_back(stop_complete{});
    }
}

void apply(node_state& state, node_event const& event, node_effects& effects)
{
    instant const now = event.at;
    std::visit(overloaded{
                   [&](wake_due const&) { on_wake_due(state, now, effects); },
                   [&](caller_request const& e) {
                       on_caller_request(state.operations, view_of(state, now), e, effects);
                   },
                   [&](caller_cancel const& e) {
                       on_caller_cancel(state.operations, view_of(state, now), e, effects);
                   },
                   [&](call_result const& e) {
                       on_call_result(state.keeper, view_of(state, now), e, effects);
                   },
                   [&](target_report const& e) {
                       on_target_report(state.keeper, view_of(state, now), e, effects);
                   },
                   [&](peer_envelope const& e) { on_peer_message(state, now, e, effects); },
                   [&](host_list_changed const& e) { apply_host_list(state.members, *e.hosts); },
                   [&](config_changed const& e) {
                       on_config_changed(state.configuration, view_of(state, now), e.number,
                                         e.config, effects);
                   },
                   [&](stop_requested const&) { on_stop_requested(state, now); },
               },
               event.body);
}

/** Handles messages that the node sent to itself, in place, until none is left. */
void deliver_to_self(node_state& state, instant now, node_effects& effects)
{
    for (std::size_t next = 0; next < effects.size();) {
        auto* send = std::get_if<send_peer>(&effects[next]);
        if (send == nullptr || send->to != state.self.id) {
            ++next;
            continue;
        }
        peer_envelope const envelope{state.self.id, state.self.incarnation, std::move(send->body)};
        effects.erase(effects.begin() + static_cast<std::ptrdiff_t>(next));
        on_peer_message(state, now, envelope, effects);
    }
}

void schedule_wake(node_state& state, instant now, node_effects& effects)
{
    mono_time next =
        std::min({next_operation_wake(state.operations), next_keeper_wake(state.keeper),
                  next_probe_wake(state.members), next_digest_wake(state.members),
                  next_config_wake(state.configuration), next_steering_wake(state.steering)});
    if (state.stopping && !state.stopped) {
        next = std::min(next, now.mono + stop_poll_interval);
    }
    if (next < state.next_wake) {
        state.next_wake = next;
        effects.emplace_back(wake_at{next});
    }
}

} // namespace

node_state make_node(node_identity self, std::uint64_t seed, steering_policy policy)
{
    node_state state;
    state.self = std::move(self);
    state.random.seed(seed);
    state.steering.policy = std::move(policy);
    state.operations.choose_zone = [](node_view const& view, service_id const& service,
                                      std::uint64_t bytes) {
        return choose_zone(*view.steering, view, service, bytes);
    };
    state.operations.release_zone = [](node_view const& view, service_id const& service,
                                       zone_choice const& choice) {
        release_zone(*view.steering, service, choice);
    };
    return state;
}

node_effects reduce(node_state& state, node_event const& event)
{
    node_effects effects;
    apply(state, event, effects);
    deliver_to_self(state, event.at, effects);
    activate_config(state, event.at, effects);
    advance_stop(state, event.at, effects);
    schedule_wake(state, event.at, effects);
    return effects;
}

} // namespace cove
