#pragma once
/** @file Events: the inputs of the traffic reducer. */

#include "route/route_type.h"
#include "traffic/crash_type.h"
#include "traffic/send_type.h"
#include "traffic/target_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cove {

/** What the workspace of a request, or the host that relays it, adds to the rules of its route. */
struct request_terms {
    workspace_id workspace;              ///< empty: none
    std::optional<int> priority;         ///< replaces that of the route
    std::vector<region_id> home_regions; ///< bind beside those of the route; empty means any
    std::optional<int> attempts_left;    ///< of the route's max_attempts, if other hosts used some
    node_id relayed_by; ///< host that relays it; empty: none, or one that does not name itself
};

/** A client sent a request that matched a route. */
struct request_arrived {
    request_id id;
    std::shared_ptr<route_config const> route;
    service_id service; ///< chosen among the services of the route
    object_key object;
    std::string client;      ///< client identity, for example its IP address
    milliseconds deadline{}; ///< how long the client waits, from now
    request_fingerprint fingerprint{};
    bool relayed = false; ///< by another host, which is cut off from the targets
    request_terms terms = {};
};

/** How one attempt at a target ended. */
enum class attempt_end {
    succeeded,     ///< complete answer of a successful run
    failed,        ///< the target reported that the run failed
    refused,       ///< the target reported that it did not run the request
    wrong_target,  ///< the address belongs to another target, which did not run it
    not_connected, ///< no connection; nothing was sent
    broken,        ///< connection lost or answer malformed; may have run
};

/** What a target says of itself in an answer. */
struct target_notice {
    std::optional<double> limit; ///< requests per second that it takes from all hosts together
    bool leaving = false;        ///< it is shutting down
    milliseconds pause{};        ///< for this long it wants no requests of this host; zero: none
};

/** The end of an attempt. It may be reported after the request has been sent elsewhere. */
struct attempt_ended {
    target_attempt attempt; ///< of its send_attempt
    attempt_end end = attempt_end::broken;
    std::optional<target_load> load;
    std::optional<target_notice> notice; ///< present if an answer arrived
    microseconds connect_time{};         ///< zero on a reused connection
    /// Only if broken: the address of the target refuses connections, so it has ended.
    bool target_ended = false;
    /// Only if not connected: there was no reply in time, as opposed to a refusal.
    bool connect_timed_out = false;
};

/** How a request ended that another host was asked to carry. */
enum class relay_end {
    answered, ///< with the answer for the client
    refused,  ///< the other host answered that the request has not run and will not be
    not_sent, ///< no connection
    broken,   ///< connection lost; may have run
};

/** The end of a request that was relayed to another host. */
struct relay_ended {
    send_id id; ///< of its relay_request
    relay_end end = relay_end::broken;
};

/** The end of a probe of the link to a target. */
struct probe_ended {
    bool reached = false;
    /// Only if not reached: there was no reply in time, as opposed to a refusal.
    bool timed_out = false;
    mono_time last_received{}; ///< when bytes last came from any target; the epoch before that
};

/** The client disconnected and no longer waits for the answer. */
struct client_disconnected {
    request_id id;
    bool unsent = false; ///< no byte of the attempt in progress, if any, has been sent
};

/** The complete, current list of targets. */
struct targets_listed {
    std::vector<target_entry> entries;
};

/**
 * Changes of the list of targets since the last such event. A target in both parts has been removed
 * and has started again.
 */
struct targets_changed {
    std::vector<target_entry> updated; ///< new and changed entries
    std::vector<target_id> removed;    ///< to be applied first
};

/** The complete set of evacuated zones; their targets get no requests. */
struct evacuations_listed {
    std::set<zone_id> zones;
};

/** The configured properties of all services. */
struct services_listed {
    std::map<service_id, service_settings> services;
};

/** Limit on the requests that this host may have in flight at the targets of another zone. */
struct remote_quota {
    zone_id zone;
    service_id service;
    int requests = 0;
};

/** Another host that can carry requests for this one. */
struct relay_host {
    zone_id zone;
    std::string address; ///< IP:port for relayed requests
};

/** Summary of the reports of the other hosts. */
struct peers_reported {
    std::vector<node_id> hosts_in_zone; ///< live hosts that accept requests, this host included
    int hosts_in_total = 1;             ///< live hosts, this host included
    /// False while hosts of the zone may be undiscovered, as after a start.
    bool zone_peers_known = true;
    std::vector<remote_quota> remote_quotas;
    /// Requests of the other hosts of the zone, by short target hash.
    std::map<std::uint32_t, int> in_flight_by_target;
    /// Limits that targets have named to the other hosts of the zone, by short target hash.
    std::map<std::uint32_t, rate_limit_notice> limits;
    /// Objects that the other hosts of the zone have announced.
    std::vector<service_objects> objects;
    /// Hosts that serve and reach the targets; filled while this host needs them.
    std::vector<relay_host> relays;
    /// Hosts of all zones that have announced their shutdown.
    std::set<node_id> stopping_hosts;
};

/** Requests under which targets have ended, as reported by another host. */
struct crashes_reported {
    std::vector<crash_record> records;
};

/** How long a request under which targets have ended is remembered; zero: not at all. */
struct crash_retention_changed {
    milliseconds retention{};
};

/** This host stops. Its requests have to be answered by then. */
struct stop_announced {
    mono_time answers_due;
};

/** Periodic tick: re-examines queued and running requests. */
struct timer_tick {};

using traffic_event =
    std::variant<request_arrived, attempt_ended, client_disconnected, targets_listed,
                 targets_changed, evacuations_listed, services_listed, peers_reported,
                 crashes_reported, crash_retention_changed, relay_ended, probe_ended,
                 stop_announced, timer_tick>;

} // namespace cove
