#pragma once
/** @file Routes, services and client limits of one configuration version. */

#include "core/ids_type.h"
#include "core/time_type.h"
#include "workspace/workspace_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cove {

using route_id = strong_name<struct route_tag>;

/** A service that receives a weighted share of the requests of a route. */
struct weighted_service {
    service_id service;
    double weight = 1; ///< relative to the other services of the route
    bool operator==(weighted_service const&) const = default;
};

/** Routing rules for the requests with a given host and path prefix. */
struct route_config {
    route_id name;
    std::string host;
    std::string prefix;       ///< begins and ends with a slash
    bool idempotent = false;  ///< a request may be executed more than once
    milliseconds timeout{};   ///< upper bound on the time until the client gets an answer
    milliseconds objective{}; ///< latency objective: answers should arrive within it
    int priority = 0;         ///< 0 is the highest priority
    std::vector<weighted_service> services;
    int max_attempts = 1;                ///< how many times a request may be sent to a target
    bool sticky = false;                 ///< targets that recently handled the object answer faster
    std::vector<region_id> home_regions; ///< regions whose targets may be used; empty means any
    bool is_public = false;              ///< served without an access key
};

/** Configured properties of a service. */
struct service_settings {
    service_id name;
    std::string health_path;
    int max_connections = 0;
    milliseconds cold_period{}; ///< how long a target counts as cold after it starts
    double cold_rate = 0;       ///< requests per second that a cold target can handle
};

/** Limits on client connections and requests. */
struct client_limits {
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    milliseconds header_timeout{};
    milliseconds idle_timeout{};
};

/** One version of the complete routing configuration. */
struct routing_config {
    generation version;
    std::vector<route_config> routes;
    std::map<service_id, service_settings> services;
    bool has_workspaces = false;              ///< requests carry access keys, but on public routes
    std::vector<workspace_config> workspaces; ///< in order of the configuration; names are unique
    client_limits limits;
};

} // namespace cove
