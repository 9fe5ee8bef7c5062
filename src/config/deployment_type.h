#pragma once
/** @file The deployment that operators declare: places, services, events and planned moves. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cove {

/** An availability zone and the region it belongs to. */
struct zone_config {
    zone_id id;
    region_id region;
    bool operator==(zone_config const&) const = default;
};

/** The shared link between two regions. */
struct link_config {
    region_id from;                     ///< one end
    region_id to;                       ///< the other end
    std::uint64_t bytes_per_second = 0; ///< capacity each way
    microseconds latency{};             ///< one way
    bool operator==(link_config const&) const = default;
};

/** A class of requests within a service. */
struct class_config {
    class_id id;
    bool idempotent = false;     ///< whether running twice is harmless
    int priority = 0;            ///< lower values are served first
    milliseconds deadline{1000}; ///< longest time a request may take
    bool operator==(class_config const&) const = default;
};

/** A service and the capacity of each of its targets. */
struct service_config {
    service_id id;
    int slots = 1;         ///< requests that one target runs at the same time
    int connections = 100; ///< connections that one target accepts
    std::vector<class_config> classes;
    bool operator==(service_config const&) const = default;
};

/** A load peak at a known time. */
struct event_config {
    std::string id;
    service_id service;
    std::vector<class_id> classes; ///< classes that the reserve is for
    wall_time start;
    wall_time end;
    double reserve = 0; ///< share of the slots kept for the classes, 0 to 1
    bool operator==(event_config const&) const = default;
};

/** A planned move of a service's traffic between two zones; a function of wall time. */
struct move_config {
    move_id id;
    service_id service;
    zone_id from;
    zone_id to;
    wall_time start;
    double share = 1;     ///< share of the origin's traffic to move in total
    double step = 0.1;    ///< share moved at each step
    seconds interval{10}; ///< time between steps
    bool operator==(move_config const&) const = default;
};

/** Limits on every shift of traffic between zones. */
struct shift_config {
    double cap = 0.1;           ///< largest share of a service's traffic to shift per window
    seconds window{10};         ///< length of the window
    seconds answer_lifetime{5}; ///< how long callers may cache a look-up answer
    double zone_reserve = 0.1;  ///< share of a zone's capacity never granted to others
    bool operator==(shift_config const&) const = default;
};

/** A site that client blocks are assigned to. */
struct site_config {
    site_id id;
    zone_id zone; ///< preferred zone of its callers
    bool operator==(site_config const&) const = default;
};

/** A block of client addresses and its site. */
struct client_block {
    std::string prefix; ///< CIDR notation
    site_id site;
    bool operator==(client_block const&) const = default;
};

/** Client blocks of one section; shared between configurations that have the same ones. */
struct client_block_list {
    std::shared_ptr<std::vector<client_block> const> blocks; ///< never null, sorted by prefix
    bool operator==(client_block_list const& other) const { return *blocks == *other.blocks; }
};

/** Everything that operators declare. */
struct deployment {
    std::string name;
    std::vector<region_id> regions;
    std::vector<zone_config> zones;
    std::vector<link_config> links;
    std::vector<service_config> services;
    std::vector<event_config> events;
    std::vector<move_config> moves;
    shift_config shift;
    std::vector<site_config> sites;               ///< sorted by id
    std::vector<client_block_list> client_blocks; ///< distributed by a hash of the prefix
    bool operator==(deployment const&) const = default;
};

/** @return the service of @p config with this @p id, or null. */
service_config const* find_service(deployment const& config, service_id const& id);

/** @return the class of @p service with this @p id, or null. */
class_config const* find_class(service_config const& service, class_id const& id);

/** @return the zone of @p config with this @p id, or null. */
zone_config const* find_zone(deployment const& config, zone_id const& id);

} // namespace cove
