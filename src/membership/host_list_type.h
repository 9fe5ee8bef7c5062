#pragma once
/** @file The platform's list of hosts, which may be behind the hosts' actual state. */

#include "core/ids_type.h"

#include <string>
#include <vector>

namespace cove {

enum class host_state { live, leaving };

/** An entry host as listed. */
struct entry_host {
    node_id id;
    zone_id zone;
    std::string caller_address; ///< IP:port that callers reach by HTTP
    std::string peer_address;   ///< IP:port that peers reach by ZeroMQ
    host_state state = host_state::live;
    bool operator==(entry_host const&) const = default;
};

/** A target as listed. */
struct target_host {
    target_id id;
    service_id service;
    zone_id zone;
    std::string address; ///< IP:port for HTTP
    host_state state = host_state::live;
    bool operator==(target_host const&) const = default;
};

/** One version of the list. */
struct host_list {
    std::uint64_t version = 0;
    std::vector<entry_host> entry_hosts;
    std::vector<target_host> targets;
    bool operator==(host_list const&) const = default;
};

} // namespace cove
