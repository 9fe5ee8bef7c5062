#pragma once
/** @file Messages between entry hosts and their encoding. */

#include "core/error.h"
#include "core/ids_type.h"
#include "follow/known_versions_type.h"
#include "peer/pull_choice.h"
#include "traffic/crash_type.h"
#include "traffic/target_type.h"

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cove {

/// Incarnation of an entry host: a new value at each start of its process.
using host_incarnation = strong_number<struct host_incarnation_tag>;

/** Requests of a host that are in flight at one target. */
struct target_in_flight {
    std::uint32_t target = 0; ///< short hash of the target id
    int in_flight = 0;
};

/** Limit that a target has named to a host, or that it has ceased to name one. */
struct target_limit_report {
    std::uint32_t target = 0;    ///< short hash of the target id
    std::optional<double> limit; ///< requests per second; absent: none any more
    milliseconds age{};          ///< time since the answer of the target
};

/** Requests per second that hosts want or reserve of the quota of a workspace. */
struct quota_demand {
    std::uint32_t workspace = 0; ///< short hash of its name; 0: about the sender
    double rate =
        0;         ///< requests per second; if `hosts` is 0, a part of the limit set apart, 0 to 1
    int hosts = 0; ///< with a desired rate; about the sender: 1 if its sums are complete
    int zone_hosts = 0; ///< about the sender, in the status of a zone: hosts of the zone
    bool operator==(quota_demand const&) const = default;
};

/** Report of a host on itself, for the other hosts of its zone. */
struct host_report {
    node_id name;
    zone_id zone;
    std::string ip;
    std::string client_address; ///< IP:port for client requests
    host_incarnation incarnation;
    std::uint64_t sequence = 0; ///< increases with each report of the same incarnation
    bool leaving = false;       ///< is shutting down
    bool ready = false;         ///< has an active configuration
    bool cut_off = false;       ///< has lost its links to all targets
    known_versions versions;
    std::vector<service_load_report> loads;
    bool store_lost = false; ///< calls of this host to the platform's store fail
    std::vector<target_in_flight> targets_in_flight;
    std::vector<target_limit_report> target_limits;
    std::vector<service_objects> new_objects; ///< first seen since the last round of reports
    bool stale_config = false;                ///< cannot prove that its configuration is the newest
    std::vector<quota_demand> quota_demands;
};

/** A host that accepts client requests. */
struct roster_host {
    node_id name;
    zone_id zone;
    std::string ip;
    std::string client_address; ///< IP:port for client requests
    host_incarnation incarnation;
    bool operator==(roster_host const&) const = default;
};

/** Status of a zone, sent to the other zones by one of its hosts, the speaker. */
struct zone_status {
    zone_id zone;
    node_id speaker;
    host_incarnation incarnation; ///< of the speaker
    std::uint64_t sequence = 0;
    std::string ip; ///< of the speaker
    known_versions versions;
    std::vector<service_load_report> loads;
    std::optional<std::vector<roster_host>> roster; ///< its serving hosts; absent if unchanged
    std::vector<quota_demand> quota_demands;        ///< of all hosts of the zone
};

/** Reports of hosts of the sender's zone and statuses of zones. */
struct gossip {
    node_id sender;
    std::string sender_ip;
    std::vector<host_report> reports;
    std::vector<zone_status> zones;
    bool answer_wanted = false; ///< the sender is discovering hosts and asks for a full answer
};

/** Requests the current version of the data that is outdated at the sender. */
struct pull_request {
    std::string sender_ip;
    bool config = false;
    bool targets = false;
    bool evacuations = false;
    store_position targets_at = {}; ///< of the sender's list of targets
};

/** A pull was not answered; its sender should ask another host. */
struct pull_refused {
    std::string sender_ip;
    pull_kind kind = pull_kind::decisions;
};

/** The sender's copies of the store's data have changed. */
struct change_notice {
    std::string sender_ip;
    zone_id zone;           ///< of the sender
    known_versions changes; ///< positions at which its copies last changed
    bool pass_on = false;   ///< the receiver passes it on to the other hosts of its zone
};

/** The complete list of targets at a position of the store. */
struct target_snapshot {
    std::vector<target_entry> entries;
    store_position at;
    std::vector<held_target> held = {}; ///< of the entries, those that the store does not list
    store_position changed_at = {};     ///< of the last change; zero: not known
};

/** The evacuated zones at a position of the store. */
struct evacuation_snapshot {
    std::set<zone_id> zones;
    store_position at;
    store_position changed_at = {}; ///< of the last change; zero: not known
};

/** A configuration, compressed because it is sent to every host. */
struct packed_config {
    generation version;
    std::string bytes; ///< the stored text in zlib format
};

/** Complete data of some kinds: the answer to a pull request, or pushed after a change. */
struct host_snapshot {
    std::optional<packed_config> config;
    std::optional<target_snapshot> targets;
    std::optional<evacuation_snapshot> evacuations;
    std::vector<std::string> relay_to; ///< IPs to which the receiver passes the configuration on
    std::string sender_ip = {};
    bool answer = false; ///< to a pull; otherwise pushed
};

/** Ordered changes of the list of targets, for hosts whose list is at `from` or later. */
struct target_changes {
    store_position from;
    store_position to; ///< of the same era
    std::vector<target_change> changes;
};

/** Requests under which targets have ended. */
struct crash_report {
    std::vector<crash_record> records;
    bool pass_on = false; ///< the receiver passes it on to the other hosts of its zone
};

/** Asks up to which moment the configuration of the receiver is known to be the newest. */
struct freshness_query {
    std::string sender_ip;
    std::uint64_t nonce = 0; ///< used once
};

/** Answer to a freshness query. */
struct freshness_answer {
    std::uint64_t nonce = 0; ///< of the query
    /// The proven moment minus the receipt of the query, on the answering host's clock.
    milliseconds offset{};
    generation version; ///< configuration that is known to have been the newest
};

using host_message = std::variant<gossip, pull_request, host_snapshot, target_changes, crash_report,
                                  freshness_query, freshness_answer, pull_refused, change_notice>;

/** @return the serialized @p message. */
std::string encode_host_message(host_message const& message);

/**
 * @param peer sender, for the error.
 * @param era of the store, for positions that name none because the sender knows no eras.
 * @return the message in @p bytes, or an error.
 */
result<host_message> decode_host_message(std::string const& bytes, std::string const& peer,
                                         store_era era = {});

/** @return the newest version of the configuration that @p message names; 0 if it names none. */
generation newest_config(host_message const& message);

/** @return the IP of the host that sent @p message; empty if it does not say. */
std::string const& sender_of(host_message const& message);

/** @return the latest era of the store that @p message names. */
store_era latest_era(host_message const& message);

} // namespace cove
