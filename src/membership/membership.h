#pragma once
/** @file Membership: entry hosts and targets, and their state, as this node knows them. */

#include "core/random.h"
#include "core/time_type.h"
#include "membership/host_list_type.h"
#include "membership/membership_message.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cove {

/** What is known of one entry host. */
struct member {
    entry_host host;
    incarnation_id incarnation;
    period_id period;
    std::uint64_t epoch = 0;    ///< orders the incarnations of the node
    std::uint64_t sequence = 0; ///< orders the updates of this incarnation
    member_health health = member_health::alive;
    mono_time last_update{};     ///< when the newest update was applied or repeated
    mono_time suspected_since{}; ///< valid while suspect
    bool has_update = false;     ///< whether an update about it was received; false once expired
    bool leaving = false;        ///< takes no new work
    bool listed = false;         ///< whether the host list names it
};

/** The probe whose answer is awaited. */
struct pending_probe {
    std::uint64_t number = 0; ///< zero when no probe is pending
    node_id subject;
    mono_time indirect_at{}; ///< when other members are asked to probe
    mono_time fails_at{};    ///< when the subject is suspected
};

/** State of the failure detector, which probes the members of the own zone. */
struct probe_state {
    pending_probe pending;
    std::vector<node_id> round; ///< members still to be probed in this round
    std::uint64_t next_number = 1;
    mono_time next_probe{};        ///< when the next probe is due
    mono_time next_view_request{}; ///< earliest time of the next view_request
};

/** Updates queued for sending, with the transmissions left for each. */
struct dissemination_state {
    std::map<node_id, int> members;
    std::map<std::pair<bool, std::string>, int> leaving;
};

/** State of the digests sent to other zones. */
struct digest_state {
    mono_time next_digest{};
    std::size_t next_zone = 0; ///< counts digests; selects the zone of the next one
};

/** Epoch, sequence and start time of this process, for its own updates. */
struct own_member_state {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 1;
    mono_time started{};
};

/** Entry hosts and targets as this node knows them. */
struct membership_state {
    std::map<node_id, member> members; ///< every entry host, this one included
    std::unordered_map<target_id, target_host> targets;
    std::uint64_t list_version = 0;
    /** Increases when the live members, their incarnations or the targets change. */
    std::uint64_t membership_version = 0;
    std::unordered_map<incarnation_id, node_id> by_incarnation;
    std::map<zone_id, std::set<node_id>> by_zone;
    std::unordered_set<incarnation_id> ended; ///< superseded by another one of the same node
    std::deque<incarnation_id> ended_order;   ///< oldest first
    std::unordered_map<target_id, host_state> listed_targets;            ///< state in the host list
    std::map<std::pair<bool, std::string>, leaving_update> list_reports; ///< by (is target, id)
    std::map<std::string, leaving_update> self_reports;                  ///< of targets, by id
    own_member_state self;
    probe_state probes;
    dissemination_state pending_updates;
    digest_state digests;
};

/** @return whether @p peer takes new work. */
bool is_live(member const& peer, mono_time now);

/** @return the live members of @p zone, in id order. */
std::vector<node_id> live_members(membership_state const& state, zone_id const& zone,
                                  mono_time now);

/** @return the node that runs as @p incarnation, if known. */
std::optional<node_id> find_incarnation(membership_state const& state, incarnation_id incarnation);

/**
 * @return whether the process of @p incarnation is known to have ended: an update about a later
 * incarnation of the same node was received, or the node was declared dead.
 */
bool incarnation_ended(membership_state const& state, incarnation_id incarnation);

/**
 * Chooses the keeper of a target by rendezvous hashing.
 * @param target the target that the keeper sends calls to.
 * @param candidates live entry hosts of the target's zone.
 * @return the keeper, or nothing when there is no candidate.
 */
std::optional<node_id> keeper_of(target_id const& target, std::vector<node_id> const& candidates);

/** Applies a host list if it is newer than the one known. */
void apply_host_list(membership_state& state, host_list const& hosts);

/**
 * Applies an update about a member unless the same or a later one is known.
 * @return whether anything changed.
 */
bool apply_member_update(membership_state& state, member_update const& update, mono_time now);

/** Applies an update about a leaving host. @return whether anything changed. */
bool apply_leaving_update(membership_state& state, leaving_update const& update);

/** Applies a target's own report that it leaves or is back, and queues it for the zone. */
void apply_target_report(membership_state& state, target_id const& target, bool leaving,
                         wall_time now);

/** @return an update with what is known of @p peer, without its addresses. */
member_update member_update_of(member const& peer);

} // namespace cove
