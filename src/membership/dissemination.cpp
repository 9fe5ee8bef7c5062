#include "membership/dissemination.h"

#include "core/hash_func.h"

#include <algorithm>
#include <bit>

namespace cove {

namespace {

/** A message has updates about at most this many members and this many leaving hosts. */
constexpr std::size_t updates_per_message = 8;
/** An update is sent this factor times bit_width(size of the largest zone), about its log2. */
constexpr int transmissions_factor = 3;
/** For this long after its start, a process may raise its epoch; see receive_own_update(). */
constexpr seconds epoch_raise_window{60};

int transmissions(membership_state const& state)
{
    std::size_t largest = 1;
    for (auto const& [zone, ids] : state.by_zone) {
        largest = std::max(largest, ids.size());
    }
    return transmissions_factor * static_cast<int>(std::bit_width(largest));
}

/** Takes the keys of the updates sent least often so far and counts the transmission. */
template <class Key>
std::vector<Key> take_least_sent(std::map<Key, int>& queue)
{
    std::vector<std::pair<int, Key>> order;
    for (auto const& [key, left] : queue) {
        order.emplace_back(-left, key);
    }
    std::ranges::sort(order);
    order.resize(std::min(order.size(), updates_per_message));
    std::vector<Key> keys;
    for (auto const& [left, key] : order) {
        keys.push_back(key);
        if (--queue[key] == 0) {
            queue.erase(key);
        }
    }
    return keys;
}

std::vector<leaving_update> leaving_updates(membership_state const& state,
                                            std::pair<bool, std::string> const& key)
{
    std::vector<leaving_update> updates;
    if (auto const listed = state.list_reports.find(key); listed != state.list_reports.end()) {
        updates.push_back(listed->second);
    }
    if (auto const own = state.self_reports.find(key.second);
        key.first && own != state.self_reports.end()) {
        updates.push_back(own->second);
    }
    return updates;
}

/**
 * Handles an update by others about this node. If it calls this incarnation suspect or dead, this
 * process refutes it with a higher sequence. If it is about another incarnation that ranks higher,
 * a process that started recently raises its own epoch above it, as the other one is from an
 * earlier process; a process that has run for longer is the earlier one and does not contest it.
 */
void receive_own_update(membership_state& state, node_view const& view, member_update const& update)
{
    if (update.incarnation == view.self.incarnation) {
        if (update.health == member_health::alive || update.sequence < state.self.sequence ||
            view.disabled.refutation) {
            return;
        }
        state.self.sequence = update.sequence + 1;
    }
    else {
        bool const recently_started = view.now.mono - state.self.started < epoch_raise_window;
        bool const outranked = std::pair(update.epoch, update.incarnation) >
                               std::pair(state.self.epoch, view.self.incarnation);
        if (outranked && !recently_started) {
            return;
        }
        if (outranked) {
            state.self.epoch = update.epoch + 1;
        }
    }
    apply_member_update(state, own_member_update(state, view), view.now.mono);
    queue_member_update(state, view.self.id);
}

} // namespace

void queue_member_update(membership_state& state, node_id const& id)
{
    state.pending_updates.members[id] = transmissions(state);
}

void queue_leaving_update(membership_state& state, std::pair<bool, std::string> const& key)
{
    state.pending_updates.leaving[key] = transmissions(state);
}

member_update own_member_update(membership_state const& state, node_view const& view)
{
    member_update update;
    if (auto const found = state.members.find(view.self.id); found != state.members.end()) {
        update = member_update_of(found->second);
    }
    update.node = view.self.id;
    update.zone = view.self.zone;
    update.incarnation = view.self.incarnation;
    update.epoch = state.self.epoch;
    update.sequence = state.self.sequence;
    update.health = member_health::alive;
    update.caller_address = view.self.caller_address;
    update.peer_address = view.self.peer_address;
    return update;
}

gossip next_gossip(membership_state& state, node_view const& view)
{
    gossip out;
    out.sender = own_member_update(state, view);
    for (node_id const& id : take_least_sent(state.pending_updates.members)) {
        if (auto const found = state.members.find(id); found != state.members.end()) {
            out.members.push_back(member_update_of(found->second));
        }
    }
    if (!view.disabled.leaving_dissemination) {
        for (auto const& key : take_least_sent(state.pending_updates.leaving)) {
            std::ranges::copy(leaving_updates(state, key), std::back_inserter(out.leaving));
        }
    }
    out.view_hash = view_hash(state, view.self.zone);
    return out;
}

void receive_member_update(membership_state& state, node_view const& view,
                           member_update const& update)
{
    if (update.node == view.self.id) {
        receive_own_update(state, view, update);
        return;
    }
    if (apply_member_update(state, update, view.now.mono) && update.zone == view.self.zone) {
        queue_member_update(state, update.node);
    }
}

void receive_leaving_update(membership_state& state, node_view const& view,
                            leaving_update const& update)
{
    if (!view.disabled.leaving_dissemination && apply_leaving_update(state, update)) {
        queue_leaving_update(state, {update.target, update.id});
    }
}

void receive_gossip(membership_state& state, node_view const& view, gossip const& received)
{
    receive_member_update(state, view, received.sender);
    for (member_update const& update : received.members) {
        receive_member_update(state, view, update);
    }
    for (leaving_update const& update : received.leaving) {
        receive_leaving_update(state, view, update);
    }
}

std::uint64_t view_hash(membership_state const& state, zone_id const& zone)
{
    std::uint64_t hash = 0;
    auto const found = state.by_zone.find(zone);
    if (found == state.by_zone.end()) {
        return hash;
    }
    for (node_id const& id : found->second) {
        member const& peer = state.members.at(id);
        if (peer.has_update) {
            hash ^= stable_hash(id.value, peer.incarnation.value ^ (peer.sequence << 8U) ^
                                              static_cast<std::uint64_t>(peer.health));
        }
    }
    return hash;
}

view_reply full_view(membership_state const& state, zone_id const& zone)
{
    view_reply reply;
    if (auto const found = state.by_zone.find(zone); found != state.by_zone.end()) {
        for (node_id const& id : found->second) {
            if (member const& peer = state.members.at(id); peer.has_update) {
                reply.members.push_back(member_update_of(peer));
            }
        }
    }
    for (auto const& [key, update] : state.list_reports) {
        reply.leaving.push_back(update);
    }
    for (auto const& [id, update] : state.self_reports) {
        reply.leaving.push_back(update);
    }
    return reply;
}

} // namespace cove
