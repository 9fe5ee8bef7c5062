#include "steering/steering_tick.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds min_tick_interval{500}; ///< interval of load reports in a small zone
/** The interval grows with the zone, so that an aggregator's load does not. */
constexpr milliseconds tick_interval_per_member{20};
/** After this time all members have reported to a new aggregator. */
constexpr milliseconds report_collection_time{2500};
constexpr std::size_t summary_fan_out = 8; ///< members that each member forwards a summary to

/** @return the link latency between two regions; max() if no link is configured. */
microseconds distance(deployment const& config, region_id const& here, region_id const& there)
{
    if (here == there) {
        return {};
    }
    for (link_config const& link : config.links) {
        if ((link.from == here && link.to == there) || (link.from == there && link.to == here)) {
            return link.latency;
        }
    }
    return microseconds::max();
}

/** Sorts by distance; a hash with the own node id orders zones that are equally far. */
void sort_by_distance(std::vector<zone_id>& zones, node_view const& view)
{
    zone_config const* here = find_zone(*view.config, view.self.zone);
    auto const rank = [&](zone_id const& id) {
        zone_config const* there = find_zone(*view.config, id);
        auto const far = here == nullptr || there == nullptr
                             ? microseconds::max()
                             : distance(*view.config, here->region, there->region);
        return std::pair(far, stable_hash(id.value, stable_hash(view.self.id.value)));
    };
    std::ranges::sort(zones, {}, rank);
}

/** Updates the list of other zones with live targets of each service, nearest first. */
void refresh_zones_by_distance(steering_state& state, node_view const& view)
{
    if (state.indexed_list_version == view.members.list_version &&
        state.indexed_config == view.config) {
        return;
    }
    state.indexed_list_version = view.members.list_version;
    state.indexed_config = view.config;
    std::map<service_id, std::map<zone_id, bool>> zones;
    for (auto const& [id, target] : view.members.targets) {
        zones[target.service][target.zone] |= target.state == host_state::live;
    }
    for (auto const& [service, places] : zones) {
        service_steering& known = state.services[service];
        known.zones_by_distance.clear();
        for (auto const& [zone, live] : places) {
            if (live && zone != view.self.zone) {
                known.zones_by_distance.push_back(zone);
            }
        }
        sort_by_distance(known.zones_by_distance, view);
        if (!known.overflow_initialized) {
            known.overflow_initialized = true;
            known.overflow = places.contains(view.self.zone) ? 0 : 1;
        }
    }
}

/** Sends this member's load to the aggregators; records whether this node is one of them. */
void report_loads(steering_state& state, keeper_state const& keeper, node_view const& view,
                  node_effects& effects)
{
    mono_time const now = view.now.mono;
    auto const aggregators = aggregators_of(view, view.self.zone);
    update_aggregators(state.aggregators, aggregators, now);
    bool const is_aggregator = std::ranges::find(aggregators, view.self.id) != aggregators.end();
    if (is_aggregator && !state.is_aggregator) {
        state.issuer.no_grants_before = now + grant_lifetime + grant_margin;
        state.aggregator_since = now;
    }
    state.is_aggregator = is_aggregator;
    auto const loads = keeper_loads(keeper, view);
    for (node_id const& aggregator : aggregators) {
        send_to(view, effects, aggregator, report_for(state.aggregators, loads, aggregator, now));
    }
}

/** @return the shares that planned moves have moved so far. */
std::vector<zone_share> shares_in_force(steering_state const& state, deployment const& config)
{
    std::vector<zone_share> shares;
    for (move_config const& move : config.moves) {
        auto const service = state.services.find(move.service);
        if (service == state.services.end()) {
            continue;
        }
        auto const progress = service->second.moves.find(move.id);
        if (progress != service->second.moves.end() && progress->second.share > 0) {
            shares.push_back({move.service, move.to, progress->second.share});
        }
    }
    return shares;
}

/** At the first aggregator: advances planned moves and publishes the zone's summary. */
void run_leader_tasks(steering_state& state, node_view const& view, node_effects& effects)
{
    auto const aggregators = aggregators_of(view, view.self.zone);
    bool const reported = view.now.mono - state.aggregator_since >= report_collection_time;
    bool const is_leader = !aggregators.empty() && aggregators.front() == view.self.id && reported;
    if (is_leader) {
        advance_planned_moves(state, view, effects);
        check_destinations(state, view, effects);
        auto const sequence = static_cast<std::uint64_t>(view.now.wall.time_since_epoch().count());
        state.summary = {view.self.id, sequence, sum_reports(state.reports, view.now.mono),
                         shares_in_force(state, *view.config)};
        state.has_summary = true;
        forward_summary(state, view, effects);
    }
    state.is_leader = is_leader;
}

} // namespace

void forward_summary(steering_state const& state, node_view const& view, node_effects& effects)
{
    auto live = live_members(view.members, view.self.zone, view.now.mono);
    auto const self = std::ranges::find(live, view.self.id);
    if (self == live.end()) {
        return;
    }
    auto const place = static_cast<std::size_t>(self - live.begin());
    std::size_t const first = place * summary_fan_out + 1;
    for (std::size_t i = first; i < std::min(first + summary_fan_out, live.size()); ++i) {
        send_to(view, effects, live[i], state.summary);
    }
}

void on_steering_wake(steering_state& state, keeper_state const& keeper, node_view const& view,
                      node_effects& effects)
{
    mono_time const now = view.now.mono;
    if (view.config == nullptr) {
        state.next_tick = now + min_tick_interval;
        return;
    }
    if (now >= state.next_tick) {
        auto const live = live_members(view.members, view.self.zone, now).size();
        state.next_tick =
            now + std::max(min_tick_interval, static_cast<int>(live) * tick_interval_per_member);
        refresh_link_budget(state.links, view);
        refresh_zones_by_distance(state, view);
        report_loads(state, keeper, view, effects);
        expire_grants(state.issuer, now);
        run_leader_tasks(state, view, effects);
        adjust_overflow(state, view);
        state.next_capacity_request = now;
    }
    if (now >= state.next_capacity_request) {
        state.next_capacity_request = mono_time::max();
        state.last_capacity_request = now;
        request_capacity(state, view, effects);
    }
}

} // namespace cove
