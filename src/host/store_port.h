#pragma once
/** @file What an entry host asks of the platform's store and what it hears from there. */

#include "core/error.h"
#include "core/ids_type.h"
#include "follow/follower.h"
#include "peer/peer_message.h"
#include "route/route_type.h"
#include "traffic/target_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cove {

/** A configuration as it was stored and as it is understood. */
struct config_document {
    std::string text; ///< as stored; hosts pass it on unread
    routing_config config;
};

/** An entry host as it registered itself. */
struct host_record {
    node_id name;
    zone_id zone;
    std::string ip;
};

/** Receives what the store's calls bring. */
struct store_hooks {
    std::function<void(config_document)> config;
    std::function<void(target_snapshot)> targets_listed;
    std::function<void(target_changes)> targets_changed;
    std::function<void(evacuation_snapshot)> evacuations_listed;
    std::function<void(std::vector<std::pair<zone_id, bool>>, revision)>
        evacuations_changed; ///< true: begun; false: taken back
    std::function<void(std::vector<host_record>)> hosts_listed;
    std::function<void(std::string const& place, std::string const& reason)> malformed;
};

/** The calls to the store. */
struct store_port {
    follow_calls config;
    follow_calls targets;
    follow_calls evacuations;
    std::function<void(host_record const&, std::function<void(bool)>)> register_host;
    std::function<void(std::function<void(bool)>)> list_hosts;
    std::function<result<config_document>(std::string const& text)> read_config;
};

} // namespace cove
