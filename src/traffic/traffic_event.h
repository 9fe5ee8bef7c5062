#pragma once
/** @file Everything that the traffic reducer reacts to. */

#include "core/strong_type.h"
#include "route/route_type.h"
#include "traffic/target_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cove {

using request_id = strong_number<struct request_tag>; ///< one request taken by this host

/** A client sent a request that matched a route. */
struct request_arrived {
    request_id id;
    std::shared_ptr<route_config const> route;
    service_id service; ///< the part of the route that takes it
    object_key object;
    std::string client;      ///< tells clients apart, for example the IP
    milliseconds deadline{}; ///< how long the client waits from now on
};

/** How one attempt at a target ended. */
enum class attempt_end {
    succeeded,     ///< the whole answer of a run
    failed,        ///< the target answered that its run failed
    refused,       ///< the target says that it did not run the request
    wrong_target,  ///< another target has the address; it did not run the request
    not_connected, ///< no byte was sent
    broken,        ///< the connection ended or the answer was spoilt; it may have run
};

/** An attempt ended. */
struct attempt_ended {
    request_id id;
    target_id target;
    attempt_end end = attempt_end::broken;
    std::optional<target_load> load;
    microseconds connect_time{}; ///< zero on a kept connection
};

/** Nobody waits for the answer any more. */
struct client_gone {
    request_id id;
};

/** The targets that there are. */
struct targets_listed {
    std::vector<target_entry> entries;
};

/** Zones whose targets get nothing. */
struct evacuations_listed {
    std::set<zone_id> zones;
};

/** What services are allowed, from the configuration. */
struct services_listed {
    std::map<service_id, service_terms> services;
};

/** How many requests this host may have under way at the targets of another zone. */
struct remote_room {
    zone_id zone;
    service_id service;
    int requests = 0;
};

/** What the other hosts report. */
struct peers_reported {
    std::vector<node_id> hosts_in_zone; ///< live ones that take requests, this host included
    int hosts_in_total = 1;             ///< live ones, this host included
    bool neighbours_known = true;       ///< false: other hosts of the zone may start just now too
    std::vector<remote_room> rooms;
    std::map<std::uint32_t, int> running; ///< requests of the zone's other hosts by target hash
};

/** Time has passed. */
struct time_passed {};

using traffic_event =
    std::variant<request_arrived, attempt_ended, client_gone, targets_listed, evacuations_listed,
                 services_listed, peers_reported, time_passed>;

} // namespace cove
