#pragma once
/** @file The calls of an entry host to the platform's store, and the hooks for their results. */

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

/** A configuration as stored text and in parsed form. */
struct config_document {
    std::string text; ///< as stored; sent to other hosts unchanged
    routing_config config;
    std::vector<step_error> left_out = {}; ///< malformed entries that are not in `config`
};

/** An entry host as registered in the store. */
struct host_record {
    node_id name;
    zone_id zone;
    std::string ip;
};

/** Callbacks that receive the results of the calls to the store. */
struct store_hooks {
    std::function<void(config_document)> config;
    std::function<void(target_snapshot)> targets_listed;
    std::function<void(target_changes)> targets_changed;
    std::function<void(evacuation_snapshot)> evacuations_listed;
    std::function<void(std::vector<std::pair<zone_id, bool>>, store_position)>
        evacuations_changed; ///< true: evacuation started; false: ended
    /// An answer of any kind has named an era that is later than all before.
    std::function<void(store_era)> era_began = [](store_era) {};
    std::function<void(std::vector<host_record>)> hosts_listed;
    std::function<void(std::string const& place, std::string const& reason)> malformed;
    /// The time that it took to read and apply an answer.
    std::function<void(microseconds)> answer_processed = nullptr;
};

/** The calls to the store, implemented by the platform's client. */
struct store_calls {
    follow_calls config;
    follow_calls targets;
    follow_calls evacuations;
    /// The flag tells whether the host is probably registered already, from before a restart.
    std::function<void(host_record const&, bool, std::function<void(bool)>)> register_host;
    std::function<void(std::function<void(bool)>)> list_hosts;
    std::function<result<config_document>(std::string const& text)> read_config;
};

} // namespace cove
