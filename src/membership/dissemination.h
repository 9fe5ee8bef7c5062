#pragma once
/** @file Updates piggybacked on probes, each sent a bounded number of times. */

#include "node/node_view.h"

namespace cove {

/** Queues what is known of @p id to be sent with the next messages. */
void queue_member_update(membership_state& state, node_id const& id);

/**
 * Queues the update about a leaving host to be sent with the next messages.
 * @param key whether the host is a target, and its id.
 */
void queue_leaving_update(membership_state& state, std::pair<bool, std::string> const& key);

/** @return this process' update about itself. */
member_update own_member_update(membership_state const& state, node_view const& view);

/** @return the updates for one message; counts them as sent. */
gossip next_gossip(membership_state& state, node_view const& view);

/** Applies the updates of another member and refutes wrong ones about this process. */
void receive_gossip(membership_state& state, node_view const& view, gossip const& received);

/** Applies an update about a member and queues it for the zone if it was new. */
void receive_member_update(membership_state& state, node_view const& view,
                           member_update const& update);

/** Applies an update about a leaving host and queues it for the zone if it was new. */
void receive_leaving_update(membership_state& state, node_view const& view,
                            leaving_update const& update);

/** @return a hash over what is known of the members of @p zone; equal for equal views. */
std::uint64_t view_hash(membership_state const& state, zone_id const& zone);

/** @return all that is known of @p zone, and all updates about leaving hosts. */
view_reply full_view(membership_state const& state, zone_id const& zone);

} // namespace cove
