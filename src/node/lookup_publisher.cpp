#include "node/lookup_publisher.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds snapshot_interval{200};   ///< least time between two snapshots
constexpr milliseconds republish_interval{1000}; ///< lets newly started look-up processes catch up
/** Other zones in a snapshot; zones with a share are always included, even if there are more. */
constexpr std::size_t other_zones = 6;
constexpr std::size_t hosts_of_other_zone = 2; ///< entry hosts listed of each other zone

using ranked_host = std::pair<std::uint64_t, member const*>;
using hosts_by_zone = std::map<zone_id, std::vector<ranked_host>>;

/** @return the live entry hosts by zone, with a rank that differs with the own zone. */
hosts_by_zone live_hosts(node_state const& state, mono_time now)
{
    std::uint64_t const seed = stable_hash(state.self.zone.value);
    hosts_by_zone hosts;
    for (auto const& [id, peer] : state.members.members) {
        if (is_live(peer, now) && !(state.stopping && id == state.self.id)) {
            hosts[peer.host.zone].emplace_back(stable_hash(id.value, seed), &peer);
        }
    }
    return hosts;
}

/** @return the other zones to list: those that get a share, then some chosen by hash. */
std::vector<zone_id> zones_to_list(node_state const& state, hosts_by_zone const& hosts,
                                   std::vector<zone_share> const& shares)
{
    std::uint64_t const seed = stable_hash(state.self.zone.value);
    std::vector<std::pair<std::uint64_t, zone_id>> ranked;
    for (auto const& [zone, unused] : hosts) {
        if (zone == state.self.zone) {
            continue;
        }
        bool const has_share = std::ranges::find(shares, zone, &zone_share::zone) != shares.end();
        ranked.emplace_back(has_share ? 0 : stable_hash(zone.value, seed), zone);
    }
    std::ranges::sort(ranked);
    std::vector<zone_id> zones;
    for (auto const& [rank, zone] : ranked) {
        if (rank == 0 || zones.size() < other_zones) {
            zones.push_back(zone);
        }
    }
    return zones;
}

void add_hosts(lookup_snapshot& snapshot, std::vector<ranked_host> hosts, std::size_t most)
{
    std::ranges::sort(hosts, {}, &ranked_host::first);
    hosts.resize(std::min(hosts.size(), most));
    for (auto const& [rank, peer] : hosts) {
        snapshot.entries.push_back({peer->host.id, peer->host.zone, peer->host.caller_address,
                                    peer->incarnation, peer->period, 1.0});
    }
}

lookup_snapshot make_snapshot(node_state const& state, mono_time now)
{
    lookup_snapshot snapshot;
    snapshot.version = state.published ? state.published->version : 0;
    snapshot.lifetime = state.config->shift.answer_lifetime;
    snapshot.shares = lookup_shares(state.steering);
    auto hosts = live_hosts(state, now);
    add_hosts(snapshot, hosts[state.self.zone], hosts[state.self.zone].size());
    for (zone_id const& zone : zones_to_list(state, hosts, snapshot.shares)) {
        add_hosts(snapshot, hosts[zone], hosts_of_other_zone);
    }
    return snapshot;
}

/** @return whether this node publishes for its zone; a stopping one does, to remove itself. */
bool is_publisher(node_state const& state, mono_time now)
{
    auto live = live_members(state.members, state.self.zone, now);
    live.resize(std::min(live.size(), aggregators_per_zone));
    return state.stopping || std::ranges::find(live, state.self.id) != live.end();
}

} // namespace

void publish_snapshot(node_state& state, instant now, node_effects& effects)
{
    if (state.config == nullptr || now.mono < state.next_publish) {
        return;
    }
    state.next_publish = now.mono + snapshot_interval;
    if (!is_publisher(state, now.mono)) {
        return;
    }
    lookup_snapshot next = make_snapshot(state, now.mono);
    bool const changed = !state.published || *state.published != next;
    if (!changed && now.mono - state.published_at < republish_interval) {
        return;
    }
    state.published_at = now.mono;
    next.version += changed ? 1 : 0;
    state.published = std::make_shared<lookup_snapshot const>(std::move(next));
    effects.emplace_back(publish_lookup{state.published});
}

} // namespace cove
