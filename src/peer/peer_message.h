#pragma once
/** @file Messages between entry hosts. */

#include "core/error.h"
#include "core/ids_type.h"
#include "follow/known_versions_type.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cove {

using host_life = strong_number<struct host_life_tag>; ///< one start of an entry host

/** Requests that a host has at one target. */
struct target_use {
    std::uint32_t target = 0; ///< short hash of its id
    int running = 0;
};

/** What a host says of itself to the other hosts of its zone. */
struct host_report {
    node_id name;
    zone_id zone;
    std::string ip;
    std::string client_address; ///< IP:port
    host_life life;
    std::uint64_t sequence = 0; ///< grows with each report of a life
    bool leaving = false;
    bool ready = false; ///< has a configuration in force
    known_versions versions;
    std::vector<service_load_report> loads;
    bool store_lost = false; ///< its calls to the platform's store fail
    std::vector<target_use> running;
};

/** A host that takes requests. */
struct roster_host {
    node_id name;
    zone_id zone;
    std::string ip;
    std::string client_address; ///< IP:port
    host_life life;
    bool operator==(roster_host const&) const = default;
};

/** Status of a zone as one of its hosts tells it to other zones. */
struct zone_status {
    zone_id zone;
    node_id speaker;
    host_life life; ///< of the speaker
    std::uint64_t sequence = 0;
    std::string ip; ///< of the speaker
    known_versions versions;
    std::vector<service_load_report> loads;
    std::optional<std::vector<roster_host>> roster; ///< nothing: unchanged
};

/** Reports of hosts of the sender's zone and statuses of zones. */
struct gossip {
    node_id sender;
    std::string sender_ip;
    std::vector<host_report> reports;
    std::vector<zone_status> zones;
    bool answer_wanted = false; ///< the sender knows few hosts
};

/** Asks for what the sender is behind with. */
struct pull {
    std::string sender_ip;
    bool config = false;
    bool targets = false;
    bool evacuations = false;
};

/** The list of targets at a revision. */
struct target_snapshot {
    std::vector<target_entry> entries;
    revision at;
};

/** The evacuated zones at a revision. */
struct evacuation_snapshot {
    std::set<zone_id> zones;
    revision at;
};

/** Answers a pull. */
struct snapshot {
    std::string config_text; ///< empty when not asked for
    std::optional<target_snapshot> targets;
    std::optional<evacuation_snapshot> evacuations;
};

/** A change of the list of targets. */
struct target_change {
    target_id id;
    std::optional<target_entry> entry; ///< nothing when it was removed or names no target
};

/** Changes of the list of targets, in order, for those who have it at `from` or later. */
struct target_changes {
    revision from;
    revision to;
    std::vector<target_change> changes;
};

using host_message = std::variant<gossip, pull, snapshot, target_changes>;

/** @return the wire form of @p message. */
std::string encode_host_message(host_message const& message);

/** @return the message in @p bytes. @param peer named in the error. */
result<host_message> decode_host_message(std::string const& bytes, std::string const& peer);

} // namespace cove
