#pragma once
/** @file Routes, services and client limits that are in force together. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cove {

using route_id = strong_name<struct route_tag>; ///< a route of the deployment

/** A service that takes part of a route's requests. */
struct route_part {
    service_id service;
    double weight = 1; ///< relative to the other parts
    bool operator==(route_part const&) const = default;
};

/** Requests that are treated alike. */
struct route_config {
    route_id name;
    std::string host;
    std::string prefix;       ///< begins and ends with a slash
    bool idempotent = false;  ///< may run more than once
    milliseconds timeout{};   ///< longest time that a request is kept waiting
    milliseconds objective{}; ///< an answer within it is worth most
    int priority = 0;         ///< 0 is the most urgent
    std::vector<route_part> parts;
    int max_attempts = 1;                ///< targets that one request may be sent to
    bool sticky = false;                 ///< a target that handled the object lately is faster
    std::vector<region_id> home_regions; ///< empty: any
};

/** What is known of a service before any of its targets is. */
struct service_terms {
    service_id name;
    std::string health_path;
    int max_connections = 0;
    milliseconds cold_period{}; ///< after a start
    double cold_rate = 0;       ///< requests per second that a cold target bears
};

/** What clients may send. */
struct client_limits {
    std::uint64_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    milliseconds header_timeout{};
    milliseconds idle_timeout{};
};

/** One version of the whole configuration. */
struct routing_config {
    generation version;
    std::vector<route_config> routes;
    std::map<service_id, service_terms> services;
    client_limits limits;
};

} // namespace cove
