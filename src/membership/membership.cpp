#include "membership/membership.h"

#include "core/hash_func.h"
#include "membership/dissemination.h"

#include <algorithm>
#include <tuple>

namespace cove {

namespace {

constexpr std::size_t max_ended_incarnations = 16'384; ///< the oldest are dropped first

auto rank(member const& peer)
{
    return std::tuple(peer.epoch, peer.incarnation, peer.sequence, peer.health);
}

auto rank(member_update const& update)
{
    return std::tuple(update.epoch, update.incarnation, update.sequence, update.health);
}

void mark_ended(membership_state& state, incarnation_id incarnation)
{
    state.by_incarnation.erase(incarnation);
    if (!state.ended.insert(incarnation).second) {
        return;
    }
    state.ended_order.push_back(incarnation);
    if (state.ended_order.size() > max_ended_incarnations) {
        state.ended.erase(state.ended_order.front());
        state.ended_order.pop_front();
    }
}

void apply_target_state(membership_state& state, target_id const& id)
{
    auto const target = state.targets.find(id);
    if (target == state.targets.end()) {
        return;
    }
    host_state wanted = state.listed_targets.at(id);
    auto const listed = state.list_reports.find({true, id.value});
    if (listed != state.list_reports.end() && listed->second.version > state.list_version) {
        wanted = host_state::leaving;
    }
    auto const own = state.self_reports.find(id.value);
    if (own != state.self_reports.end() && own->second.leaving) {
        wanted = host_state::leaving;
    }
    if (target->second.state != wanted) {
        target->second.state = wanted;
        ++state.membership_version;
    }
}

void apply_host_state(membership_state& state, node_id const& id)
{
    auto const found = state.members.find(id);
    auto const update = state.list_reports.find({false, id.value});
    if (found == state.members.end() || update == state.list_reports.end() ||
        update->second.version <= state.list_version ||
        found->second.host.state == host_state::leaving) {
        return;
    }
    found->second.host.state = host_state::leaving;
    ++state.membership_version;
}

void record_list_reports(membership_state& state, host_list const& hosts)
{
    std::erase_if(state.list_reports,
                  [&](auto const& entry) { return entry.second.version <= hosts.version; });
    auto const note = [&](bool target, std::string const& id) {
        state.list_reports[{target, id}] = {id, target, false, true, hosts.version};
        queue_leaving_update(state, {target, id});
    };
    for (entry_host const& host : hosts.entry_hosts) {
        auto const known = state.members.find(host.id);
        if (host.state == host_state::leaving &&
            (known == state.members.end() || known->second.host.state != host_state::leaving)) {
            note(false, host.id.value);
        }
    }
    for (target_host const& target : hosts.targets) {
        auto const known = state.targets.find(target.id);
        if (target.state == host_state::leaving &&
            (known == state.targets.end() || known->second.state != host_state::leaving)) {
            note(true, target.id.value);
        }
    }
}

void replace_listed_members(membership_state& state, host_list const& hosts)
{
    for (auto& [id, peer] : state.members) {
        peer.listed = false;
    }
    for (entry_host const& host : hosts.entry_hosts) {
        member& peer = state.members[host.id];
        peer.host = host;
        peer.listed = true;
    }
    std::erase_if(state.members, [](auto const& entry) {
        return !entry.second.listed && !entry.second.has_update;
    });
    state.by_zone.clear();
    for (auto const& [id, peer] : state.members) {
        state.by_zone[peer.host.zone].insert(id);
    }
}

member& find_or_add_member(membership_state& state, member_update const& update)
{
    auto const [found, fresh] = state.members.try_emplace(update.node);
    member& peer = found->second;
    if (fresh) {
        peer.host.id = update.node;
        peer.host.zone = update.zone;
        state.by_zone[update.zone].insert(update.node);
    }
    if (!peer.listed && !update.peer_address.empty()) {
        peer.host.peer_address = update.peer_address;
        peer.host.caller_address = update.caller_address;
    }
    return peer;
}

} // namespace

bool is_live(member const& peer, mono_time /*now*/)
{
    return peer.has_update && peer.listed && !peer.leaving && peer.host.state == host_state::live &&
           peer.health != member_health::dead;
}

std::vector<node_id> live_members(membership_state const& state, zone_id const& zone, mono_time now)
{
    std::vector<node_id> live;
    auto const found = state.by_zone.find(zone);
    if (found == state.by_zone.end()) {
        return live;
    }
    for (node_id const& id : found->second) {
        if (is_live(state.members.at(id), now)) {
            live.push_back(id);
        }
    }
    return live;
}

std::optional<node_id> find_incarnation(membership_state const& state, incarnation_id incarnation)
{
    auto const found = state.by_incarnation.find(incarnation);
    return found == state.by_incarnation.end() ? std::nullopt : std::optional(found->second);
}

bool incarnation_ended(membership_state const& state, incarnation_id incarnation)
{
    auto const found = state.by_incarnation.find(incarnation);
    if (found == state.by_incarnation.end()) {
        return state.ended.contains(incarnation);
    }
    return state.members.at(found->second).health == member_health::dead;
}

std::optional<node_id> keeper_of(target_id const& target, std::vector<node_id> const& candidates)
{
    std::uint64_t const seed = stable_hash(target.value);
    std::optional<node_id> best;
    std::uint64_t best_score = 0;
    for (node_id const& candidate : candidates) {
        std::uint64_t const score = stable_hash(candidate.value, seed);
        if (!best || score > best_score) {
            best = candidate;
            best_score = score;
        }
    }
    return best;
}

void apply_host_list(membership_state& state, host_list const& hosts)
{
    if (hosts.version <= state.list_version) {
        return;
    }
    record_list_reports(state, hosts);
    state.list_version = hosts.version;
    replace_listed_members(state, hosts);
    state.targets.clear();
    state.listed_targets.clear();
    for (target_host const& target : hosts.targets) {
        state.targets.emplace(target.id, target);
        state.listed_targets.emplace(target.id, target.state);
        apply_target_state(state, target.id);
    }
    for (auto const& [id, peer] : state.members) {
        apply_host_state(state, id);
    }
    ++state.membership_version;
}

bool apply_member_update(membership_state& state, member_update const& update, mono_time now)
{
    member& peer = find_or_add_member(state, update);
    if (peer.has_update && rank(update) <= rank(peer)) {
        if (rank(update) == rank(peer)) {
            peer.last_update = now;
        }
        if (update.incarnation != peer.incarnation) {
            mark_ended(state, update.incarnation);
        }
        return false;
    }
    bool const was_live = is_live(peer, now);
    if (peer.has_update && peer.incarnation != update.incarnation) {
        mark_ended(state, peer.incarnation);
    }
    bool const changed = !peer.has_update || peer.incarnation != update.incarnation;
    if (update.health == member_health::suspect && peer.health != member_health::suspect) {
        peer.suspected_since = now;
    }
    peer.incarnation = update.incarnation;
    peer.period = update.period;
    peer.epoch = update.epoch;
    peer.sequence = update.sequence;
    peer.health = update.health;
    peer.leaving = update.leaving;
    peer.last_update = now;
    peer.has_update = true;
    state.by_incarnation[update.incarnation] = update.node;
    if (changed || was_live != is_live(peer, now)) {
        ++state.membership_version;
    }
    return true;
}

bool apply_leaving_update(membership_state& state, leaving_update const& update)
{
    if (!update.self_reported && update.version <= state.list_version) {
        return false;
    }
    leaving_update& known = update.self_reported ? state.self_reports[update.id]
                                                 : state.list_reports[{update.target, update.id}];
    if (std::pair(known.version, known.leaving) >= std::pair(update.version, update.leaving) &&
        !known.id.empty()) {
        return false;
    }
    known = update;
    if (update.target) {
        apply_target_state(state, target_id{update.id});
    }
    else {
        apply_host_state(state, node_id{update.id});
    }
    return true;
}

void apply_target_report(membership_state& state, target_id const& target, bool leaving,
                         wall_time now)
{
    auto const known = state.self_reports.find(target.value);
    if (known == state.self_reports.end() ? !leaving : known->second.leaving == leaving) {
        return;
    }
    auto const version = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (apply_leaving_update(state, {target.value, true, true, leaving, version})) {
        queue_leaving_update(state, {true, target.value});
    }
}

member_update member_update_of(member const& peer)
{
    return {peer.host.id, peer.host.zone, peer.incarnation, peer.epoch, peer.sequence,
            peer.period,  peer.health,    peer.leaving,     {},         {}};
}

} // namespace cove
