#include "membership/probe.h"

#include "membership/dissemination.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds probe_interval{500};   ///< time between two probes
constexpr milliseconds probe_timeout{150};    ///< then a silent member is probed indirectly
constexpr milliseconds suspicion_time{1500};  ///< then a suspect is declared dead
constexpr milliseconds freeze_threshold{500}; ///< a longer wake-up delay counts as a freeze
constexpr seconds view_request_interval{3};   ///< least time between two view requests
constexpr std::size_t indirect_probes = 3;    ///< members that are asked to probe a silent member

node_id take_next_subject(membership_state& state, node_view const& view)
{
    auto& round = state.probes.round;
    if (round.empty()) {
        auto const zone = state.by_zone.find(view.self.zone);
        if (zone == state.by_zone.end()) {
            return {};
        }
        round.assign(zone->second.begin(), zone->second.end());
        std::erase(round, view.self.id);
        shuffle(round, view.random);
    }
    if (round.empty()) {
        return {};
    }
    node_id const subject = round.back();
    round.pop_back();
    return subject;
}

void start_probe(membership_state& state, node_view const& view, node_effects& effects)
{
    state.probes.next_probe = view.now.mono + probe_interval;
    node_id const subject = take_next_subject(state, view);
    if (subject.value.empty() || !state.members.contains(subject)) {
        return;
    }
    std::uint64_t const number = state.probes.next_number++;
    state.probes.pending = {number, subject, view.now.mono + probe_timeout,
                            view.now.mono + probe_interval};
    send_to(view, effects, subject, probe{number, view.self.id, next_gossip(state, view)});
}

void request_indirect_probes(membership_state& state, node_view const& view, node_effects& effects)
{
    pending_probe& pending = state.probes.pending;
    pending.indirect_at = mono_time::max();
    if (view.disabled.indirect_probes) {
        return;
    }
    auto helpers = live_members(state, view.self.zone, view.now.mono);
    std::erase(helpers, view.self.id);
    std::erase(helpers, pending.subject);
    for (std::size_t asked = 0; asked < indirect_probes && !helpers.empty(); ++asked) {
        auto const chosen = helpers.begin() +
                            static_cast<std::ptrdiff_t>(random_below(view.random, helpers.size()));
        send_to(view, effects, *chosen,
                indirect_probe{pending.number, pending.subject, next_gossip(state, view)});
        helpers.erase(chosen);
    }
}

void change_health(membership_state& state, node_view const& view, node_id const& id,
                   member_health health, char const* event, node_effects& effects)
{
    member_update update = member_update_of(state.members.at(id));
    update.health = health;
    if (apply_member_update(state, update, view.now.mono)) {
        queue_member_update(state, id);
        effects.emplace_back(log_line{event, {{"peer", id.value}}});
    }
}

void fail_probe(membership_state& state, node_view const& view, node_effects& effects)
{
    node_id const subject = std::exchange(state.probes.pending, {}).subject;
    auto const found = state.members.find(subject);
    if (found != state.members.end() && found->second.has_update) {
        change_health(state, view, subject, member_health::suspect, "member_suspected", effects);
    }
}

void declare_dead(membership_state& state, node_view const& view, node_effects& effects)
{
    auto const zone = state.by_zone.find(view.self.zone);
    if (zone == state.by_zone.end()) {
        return;
    }
    for (node_id const& id : zone->second) {
        member const& peer = state.members.at(id);
        if (peer.health == member_health::suspect &&
            view.now.mono >= peer.suspected_since + suspicion_time) {
            change_health(state, view, id, member_health::dead, "member_dead", effects);
        }
    }
}

/**
 * Restarts the timers of failure detection after this process was frozen: messages that arrived
 * meanwhile were not read, so the others may have answered.
 */
void reset_failure_timers(membership_state& state, node_view const& view)
{
    state.probes.pending = {};
    for (auto& [id, peer] : state.members) {
        peer.suspected_since = view.now.mono;
        peer.last_update = std::max(peer.last_update, view.now.mono - freeze_threshold);
    }
}

void compare_views(membership_state& state, node_view const& view, node_id const& from,
                   gossip const& received, node_effects& effects)
{
    if (received.sender.zone != view.self.zone || view.now.mono < state.probes.next_view_request ||
        received.view_hash == view_hash(state, view.self.zone)) {
        return;
    }
    state.probes.next_view_request = view.now.mono + view_request_interval;
    send_to(view, effects, from, view_request{});
}

} // namespace

void on_probe(membership_state& state, node_view const& view, node_id const& from,
              probe const& request, node_effects& effects)
{
    receive_gossip(state, view, request.piggyback);
    send_to(view, effects, from,
            probe_ack{request.number, request.origin, view.self.id, next_gossip(state, view)});
    compare_views(state, view, from, request.piggyback, effects);
}

void on_probe_ack(membership_state& state, node_view const& view, node_id const& from,
                  probe_ack const& ack, node_effects& effects)
{
    receive_gossip(state, view, ack.piggyback);
    compare_views(state, view, from, ack.piggyback, effects);
    if (ack.origin != view.self.id) {
        send_to(view, effects, ack.origin,
                probe_ack{ack.number, ack.origin, ack.subject, next_gossip(state, view)});
        return;
    }
    pending_probe const& pending = state.probes.pending;
    if (pending.number == ack.number && pending.subject == ack.subject) {
        state.probes.pending = {};
    }
}

void on_indirect_probe(membership_state& state, node_view const& view, node_id const& from,
                       indirect_probe const& request, node_effects& effects)
{
    receive_gossip(state, view, request.piggyback);
    send_to(view, effects, request.subject, probe{request.number, from, next_gossip(state, view)});
}

void on_view_request(membership_state& state, node_view const& view, node_id const& from,
                     node_effects& effects)
{
    view_reply reply = full_view(state, view.self.zone);
    if (view.disabled.leaving_dissemination) {
        reply.leaving.clear();
    }
    send_to(view, effects, from, std::move(reply));
}

void on_view_reply(membership_state& state, node_view const& view, view_reply const& reply)
{
    for (member_update const& update : reply.members) {
        receive_member_update(state, view, update);
    }
    for (leaving_update const& update : reply.leaving) {
        receive_leaving_update(state, view, update);
    }
}

void update_own_member(membership_state& state, node_view const& view, period_id period,
                       bool leaving)
{
    if (state.self.epoch == 0) {
        state.self.epoch = static_cast<std::uint64_t>(
            std::chrono::floor<seconds>(view.now.wall).time_since_epoch().count());
        state.self.started = view.now.mono;
    }
    auto const found = state.members.find(view.self.id);
    bool const known = found != state.members.end() && found->second.has_update &&
                       found->second.incarnation == view.self.incarnation;
    if (known && found->second.period == period && found->second.leaving == leaving) {
        return;
    }
    if (known) {
        ++state.self.sequence;
    }
    member_update update = own_member_update(state, view);
    update.period = period;
    update.leaving = leaving;
    apply_member_update(state, update, view.now.mono);
    queue_member_update(state, view.self.id);
}

void on_probe_wake(membership_state& state, node_view const& view, node_effects& effects)
{
    probe_state& probes = state.probes;
    if (probes.next_probe != mono_time{} && view.now.mono > probes.next_probe + freeze_threshold) {
        reset_failure_timers(state, view);
    }
    if (probes.pending.number != 0 && view.now.mono >= probes.pending.indirect_at) {
        request_indirect_probes(state, view, effects);
    }
    if (probes.pending.number != 0 && view.now.mono >= probes.pending.fails_at) {
        fail_probe(state, view, effects);
    }
    declare_dead(state, view, effects);
    if (view.now.mono >= probes.next_probe) {
        start_probe(state, view, effects);
    }
}

mono_time next_probe_wake(membership_state const& state)
{
    probe_state const& probes = state.probes;
    return probes.pending.number == 0 ? probes.next_probe
                                      : std::min(probes.next_probe, probes.pending.indirect_at);
}

} // namespace cove
