#include "steering/steering.h"

#include "steering/steering_tick.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds min_request_interval{50}; ///< between rounds of capacity requests

/** @return the own zone's load of @p service, with zero slots if the zone has no targets of it. */
service_load const* own_load(steering_state const& state, service_id const& service)
{
    static service_load const no_targets{};
    if (!state.has_summary) {
        return nullptr;
    }
    service_load const* load = find_load(state.summary.services, service);
    return load == nullptr ? &no_targets : load;
}

/** Schedules a request for capacity as early as the minimum interval allows. */
void schedule_capacity_request(steering_state& state, mono_time now)
{
    state.next_capacity_request =
        std::min(state.next_capacity_request,
                 std::max(now, state.last_capacity_request + min_request_interval));
}

/** Takes a unit of the grant and the bytes of the link budget, or neither. */
bool reserve_zone(steering_state& state, node_view const& view, grant_key const& key,
                  std::uint64_t bytes)
{
    if (state.policy.needs_grant && !use_grant(state.holder, view, key)) {
        return false;
    }
    if (consume_link_budget(state.links, view, key.zone, bytes)) {
        return true;
    }
    if (state.policy.needs_grant) {
        release_grant(state.holder, key);
    }
    return false;
}

void on_grant_request(steering_state& state, node_view const& view, node_id const& from,
                      incarnation_id incarnation, grant_request const& request,
                      node_effects& effects)
{
    auto const loads = sum_reports(state.reports, view.now.mono);
    service_load const* load = find_load(loads, request.service);
    int grantable = 0;
    if (load != nullptr && state.is_aggregator) {
        int const expired_but_running =
            std::max(0, load->foreign - outstanding_units(state.issuer, request.service));
        grantable = load->grantable - expired_but_running;
    }
    auto const answer = issue_grant(state.issuer, {from, incarnation, request.service}, request,
                                    grantable, view.now.mono);
    if (answer) {
        send_to(view, effects, from, *answer);
    }
}

void on_zone_summary(steering_state& state, node_view const& view, zone_summary const& summary,
                     node_effects& effects)
{
    auto const aggregators = aggregators_of(view, view.self.zone);
    if (aggregators.empty() || summary.leader != aggregators.front() ||
        (state.has_summary && state.summary.leader == summary.leader &&
         summary.sequence <= state.summary.sequence)) {
        return;
    }
    state.summary = summary;
    state.has_summary = true;
    forward_summary(state, view, effects);
}

} // namespace

std::optional<zone_choice> choose_zone(steering_state& state, node_view const& view,
                                       service_id const& service, std::uint64_t bytes)
{
    if (view.config == nullptr) {
        return zone_choice{view.self.zone};
    }
    service_steering& known = state.services[service];
    placement_input const input{own_load(state, service), &known.zones_by_distance, known.overflow};
    placement_preference const preference = state.policy.place(input, view.random);
    for (zone_id const& zone : preference.zones) {
        if (reserve_zone(state, view, {service, zone}, bytes)) {
            return zone_choice{zone, state.policy.needs_grant};
        }
    }
    if (!preference.zones.empty() && state.policy.needs_grant) {
        ++known.demand;
        schedule_capacity_request(state, view.now.mono);
    }
    if (preference.own_zone) {
        return zone_choice{view.self.zone};
    }
    return std::nullopt;
}

void release_zone(steering_state& state, service_id const& service, zone_choice const& choice)
{
    if (choice.granted) {
        release_grant(state.holder, {service, choice.zone});
    }
}

void on_steering_message(steering_state& state, node_view const& view, node_id const& from,
                         incarnation_id incarnation, steering_message const& message,
                         node_effects& effects)
{
    if (auto const* report = std::get_if<load_report>(&message)) {
        on_load_report(state.reports, view, from, *report);
    }
    else if (auto const* summary = std::get_if<zone_summary>(&message)) {
        on_zone_summary(state, view, *summary, effects);
    }
    else if (auto const* request = std::get_if<grant_request>(&message)) {
        on_grant_request(state, view, from, incarnation, *request, effects);
    }
    else if (auto const* answer = std::get_if<grant_answer>(&message)) {
        on_grant_answer(state.holder, view, from, *answer);
    }
    else if (auto const* returned = std::get_if<grant_return>(&message)) {
        apply_grant_return(state.issuer, {from, incarnation, returned->service}, *returned);
    }
}

mono_time next_steering_wake(steering_state const& state)
{
    return std::min(state.next_tick, state.next_capacity_request);
}

std::vector<zone_share> lookup_shares(steering_state const& state)
{
    return state.has_summary ? state.summary.shares : std::vector<zone_share>{};
}

} // namespace cove
