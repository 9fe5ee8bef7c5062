/** @file Overflow: the share of a zone's requests that other zones serve when it is overloaded. */

#include "steering/steering_tick.h"

#include <algorithm>

namespace cove {

namespace {

constexpr int ticks_until_return = 6;    ///< consecutive ticks with room before overflow falls
constexpr double room_utilization = 0.9; ///< there is room below this share of the slots
constexpr std::size_t max_zones_per_round = 2; ///< zones that one round requests capacity from
constexpr int max_units_per_request = 64;      ///< units requested from one zone at once
constexpr milliseconds request_timeout{400};   ///< an unanswered request then counts as lost
constexpr milliseconds refusal_backoff{1000};  ///< pause for a zone that refused
constexpr milliseconds renewal_window{1200};   ///< a used grant is renewed this long before expiry
constexpr milliseconds return_unused_after{1000}; ///< counts from the last capacity request

/** Computes the overflow that the load of the own zone calls for, before the shift cap applies. */
double desired_overflow(service_steering& service, service_load const* load)
{
    if (load == nullptr || load->slots == 0) {
        service.ticks_with_room = 0;
        return 1;
    }
    int const running = load->own + load->foreign;
    if (running < load->slots * room_utilization && load->queued == 0) {
        ++service.ticks_with_room;
        return service.ticks_with_room >= ticks_until_return ? 0 : service.overflow;
    }
    service.ticks_with_room = 0;
    double const excess = static_cast<double>(load->queued) / std::max(1, running + load->queued);
    return std::min(1.0, service.overflow + excess);
}

bool recently_refused(held_grant const& grant, mono_time now)
{
    return grant.last_answer_at.time_since_epoch().count() != 0 &&
           grant.last_answer_at > grant.grant_requested_at && now >= grant.expires &&
           now - grant.last_answer_at < refusal_backoff;
}

bool may_request(held_grant const& grant, mono_time now)
{
    bool const waiting =
        grant.pending_sequence != 0 && now - grant.last_request_at < request_timeout;
    return !waiting && !recently_refused(grant, now);
}

/**
 * Chooses the node of @p zone to request capacity from: the issuer of the current grant, if no
 * request to it is unanswered and it still aggregates, otherwise a random aggregator.
 */
std::optional<node_id> choose_issuer(held_grant const& grant, node_view const& view,
                                     zone_id const& zone)
{
    auto const issuers = aggregators_of(view, zone);
    if (issuers.empty()) {
        return std::nullopt;
    }
    bool const answered = grant.pending_sequence == 0 && view.now.mono < grant.expires;
    if (answered && std::ranges::find(issuers, grant.issuer) != issuers.end()) {
        return grant.issuer;
    }
    return issuers[random_below(view.random, issuers.size())];
}

void request_from_zone(steering_state& state, node_view const& view, grant_key const& key,
                       int additional, node_effects& effects)
{
    held_grant const known = state.holder.grants[key];
    auto const issuer = choose_issuer(known, view, key.zone);
    if (!issuer) {
        return;
    }
    int const wanted =
        std::min(max_units_per_request, std::max(known.in_use, known.peak_in_use) + additional);
    send_to(view, effects, *issuer,
            start_grant_request(state.holder, key, *issuer, wanted, view.now.mono));
}

void request_for_service(steering_state& state, node_view const& view, service_id const& id,
                         service_steering& service, node_effects& effects)
{
    std::size_t asked = 0;
    for (zone_id const& zone : service.zones_by_distance) {
        if (service.demand == 0 || asked == max_zones_per_round) {
            break;
        }
        if (may_request(state.holder.grants[{id, zone}], view.now.mono)) {
            request_from_zone(state, view, {id, zone}, service.demand, effects);
            ++asked;
        }
    }
    service.demand = 0;
}

/** Renews a used grant shortly before it expires; until then, returns its unused units. */
void renew_or_return(steering_state& state, node_view const& view, grant_key const& key,
                     node_effects& effects)
{
    mono_time const now = view.now.mono;
    held_grant const& grant = state.holder.grants[key];
    if (now >= grant.expires || grant.pending_sequence != 0) {
        return;
    }
    if (grant.peak_in_use > 0 && grant.expires - now < renewal_window) {
        request_from_zone(state, view, key, 0, effects);
        return;
    }
    node_id const issuer = grant.issuer;
    if (now - grant.last_request_at > return_unused_after) {
        if (auto const returned = return_unused(state.holder, key, now)) {
            send_to(view, effects, issuer, *returned);
        }
    }
}

} // namespace

void adjust_overflow(steering_state& state, node_view const& view)
{
    if (!state.has_summary) {
        return;
    }
    for (auto& [id, service] : state.services) {
        double const wanted = desired_overflow(service, find_load(state.summary.services, id));
        if (!state.policy.capped_failover) {
            service.overflow = wanted;
            continue;
        }
        double const change = wanted - service.overflow;
        double const moved = acquire_shift(service.limiter, view.config->shift, view.disabled,
                                           view.now.mono, std::abs(change));
        service.overflow = std::clamp(service.overflow + (change < 0 ? -moved : moved), 0.0, 1.0);
    }
}

void request_capacity(steering_state& state, node_view const& view, node_effects& effects)
{
    std::vector<grant_key> held;
    for (auto const& [key, grant] : state.holder.grants) {
        held.push_back(key);
    }
    for (auto& [id, service] : state.services) {
        request_for_service(state, view, id, service, effects);
    }
    for (grant_key const& key : held) {
        renew_or_return(state, view, key, effects);
    }
}

} // namespace cove
