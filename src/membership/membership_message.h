#pragma once
/** @file Messages of the membership protocol. */

#include "core/ids_type.h"

#include <string>
#include <variant>
#include <vector>

namespace cove {

/** Health of a member; of two updates with the same sequence, the higher value wins. */
enum class member_health { alive, suspect, dead };

/** An update about one incarnation of a member. */
struct member_update {
    node_id node;
    zone_id zone;
    incarnation_id incarnation;
    std::uint64_t epoch = 0;    ///< orders the incarnations of one node
    std::uint64_t sequence = 0; ///< orders updates of one incarnation; only the member raises it
    period_id period;           ///< the newest period that its operation ids may carry
    member_health health = member_health::alive;
    bool leaving = false;       ///< takes no new work
    std::string caller_address; ///< empty where the host list gives it
    std::string peer_address;   ///< empty where the host list gives it

    bool operator==(member_update const&) const = default;
};

/** An update: an entry host or a target leaves, or a target is back. */
struct leaving_update {
    std::string id;
    bool target = false;        ///< whether it is a target; else an entry host
    bool self_reported = false; ///< whether the target said so; else the host list did
    bool leaving = true;        ///< false only when a target said that it is back
    std::uint64_t version = 0;  ///< the host list's version, or the time of the target's report

    bool operator==(leaving_update const&) const = default;
};

/** Updates that are piggybacked on probes. */
struct gossip {
    member_update sender;
    std::vector<member_update> members;
    std::vector<leaving_update> leaving;
    std::uint64_t view_hash = 0; ///< of the sender's view of its zone
};

/** Asks a member whether it is alive. */
struct probe {
    std::uint64_t number = 0;
    node_id origin; ///< the member that started the probe
    gossip piggyback;
};

/** Confirms that a member is alive. */
struct probe_ack {
    std::uint64_t number = 0;
    node_id origin;  ///< the member that started the probe
    node_id subject; ///< the member that is alive
    gossip piggyback;
};

/** Asks a member to probe another one on behalf of the sender. */
struct indirect_probe {
    std::uint64_t number = 0;
    node_id subject; ///< the member to probe
    gossip piggyback;
};

/** Asks a member for its full view of its zone. */
struct view_request {};

/** A member's full view of its zone. */
struct view_reply {
    std::vector<member_update> members;
    std::vector<leaving_update> leaving;
};

/** The members of one zone, sent to another zone. */
struct zone_digest {
    zone_id zone;
    std::vector<member_update> members;
    bool first_hop = true; ///< from another zone; the receiver forwards it to its whole zone
    std::vector<node_id> relay_to; ///< members that the receiver forwards it to
};

using membership_message =
    std::variant<probe, probe_ack, indirect_probe, view_request, view_reply, zone_digest>;

} // namespace cove
