#include "membership/digest.h"

#include <algorithm>

namespace cove {

namespace {

constexpr seconds digest_interval{1};     ///< time between two digests of one sender
constexpr std::size_t digest_senders = 2; ///< members of a zone that send digests
constexpr std::size_t relay_fanout = 2;   ///< members that each receiver forwards a digest to
/**
 * A member of another zone expires if no digest has confirmed it for `missed_cycles` cycles plus
 * this time. A cycle is one digest interval per zone.
 */
constexpr seconds digest_grace{8};
constexpr int missed_cycles = 3;
constexpr seconds unlisted_retention{600}; ///< time that a dead, unlisted member is kept

std::vector<zone_id> other_zones(membership_state const& state, zone_id const& own)
{
    std::vector<zone_id> zones;
    for (auto const& [zone, ids] : state.by_zone) {
        if (zone != own) {
            zones.push_back(zone);
        }
    }
    return zones;
}

/** @return the first members of @p zone: live ones, then listed ones that are not live. */
std::vector<node_id> digest_receivers(membership_state const& state, zone_id const& zone,
                                      mono_time now)
{
    auto chosen = live_members(state, zone, now);
    for (node_id const& id : state.by_zone.at(zone)) {
        if (chosen.size() >= digest_senders) {
            break;
        }
        if (member const& peer = state.members.at(id); peer.listed && !is_live(peer, now)) {
            chosen.push_back(id);
        }
    }
    chosen.resize(std::min(chosen.size(), digest_senders));
    return chosen;
}

/** Sends @p digest to a few relays, each of which forwards it to its part of @p members. */
void relay_digest(node_view const& view, zone_digest digest, std::vector<node_id> const& members,
                  node_effects& effects)
{
    std::size_t const parts = std::min(relay_fanout, members.size());
    for (std::size_t part = 0; part < parts; ++part) {
        digest.relay_to.clear();
        for (std::size_t i = part + parts; i < members.size(); i += parts) {
            digest.relay_to.push_back(members[i]);
        }
        send_to(view, effects, members[part], digest);
    }
}

void send_digest(membership_state& state, node_view const& view, std::size_t sender_index,
                 node_effects& effects)
{
    auto const zones = other_zones(state, view.self.zone);
    if (zones.empty()) {
        return;
    }
    zone_digest digest;
    digest.zone = view.self.zone;
    for (node_id const& id : state.by_zone.at(view.self.zone)) {
        if (member const& peer = state.members.at(id); peer.has_update) {
            digest.members.push_back(member_update_of(peer));
        }
    }
    std::size_t const turn = state.digests.next_zone++;
    zone_id const& zone = zones[(turn * digest_senders + sender_index) % zones.size()];
    auto const receivers = digest_receivers(state, zone, view.now.mono);
    if (!receivers.empty()) {
        node_id const& to = receivers[(turn / zones.size() + sender_index) % receivers.size()];
        send_to(view, effects, to, std::move(digest));
    }
}

void expire_silent_members(membership_state& state, node_view const& view)
{
    auto const cycle = digest_interval * static_cast<int>(state.by_zone.size());
    mono_time const limit = view.now.mono - missed_cycles * cycle - digest_grace;
    for (auto& [id, peer] : state.members) {
        if (peer.host.zone != view.self.zone && peer.has_update && peer.last_update < limit) {
            peer.has_update = false;
            state.by_incarnation.erase(peer.incarnation);
            ++state.membership_version;
        }
    }
}

void remove_unlisted(membership_state& state, node_view const& view)
{
    std::erase_if(state.members, [&](auto const& entry) {
        member const& peer = entry.second;
        bool const over =
            !peer.listed && entry.first != view.self.id &&
            (!peer.has_update || (peer.health == member_health::dead &&
                                  view.now.mono > peer.last_update + unlisted_retention));
        if (over) {
            state.by_incarnation.erase(peer.incarnation);
            state.by_zone[peer.host.zone].erase(entry.first);
        }
        return over;
    });
}

} // namespace

void on_zone_digest(membership_state& state, node_view const& view, zone_digest const& digest,
                    node_effects& effects)
{
    if (digest.zone == view.self.zone) {
        return;
    }
    for (member_update const& update : digest.members) {
        if (update.zone == digest.zone) {
            apply_member_update(state, update, view.now.mono);
        }
    }
    auto relay_to = digest.relay_to;
    if (relay_to.empty() && digest.first_hop) {
        relay_to = live_members(state, view.self.zone, view.now.mono);
        std::erase(relay_to, view.self.id);
        shuffle(relay_to, view.random); // spreads the cost of relaying over all members
    }
    if (!relay_to.empty()) {
        zone_digest next = digest;
        next.first_hop = false;
        relay_digest(view, std::move(next), relay_to, effects);
    }
}

void on_digest_wake(membership_state& state, node_view const& view, node_effects& effects)
{
    if (view.now.mono < state.digests.next_digest) {
        return;
    }
    state.digests.next_digest = view.now.mono + digest_interval;
    expire_silent_members(state, view);
    remove_unlisted(state, view);
    auto const live = live_members(state, view.self.zone, view.now.mono);
    auto const sender_index = std::ranges::find(live, view.self.id) - live.begin();
    if (sender_index < static_cast<std::ptrdiff_t>(std::min(digest_senders, live.size()))) {
        send_digest(state, view, static_cast<std::size_t>(sender_index), effects);
    }
}

mono_time next_digest_wake(membership_state const& state)
{
    return state.digests.next_digest;
}

} // namespace cove
