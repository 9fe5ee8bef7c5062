#pragma once
/** @file Settings of an entry host. */

#include "core/ids_type.h"
#include "settings/settings_table.h"

#include <map>
#include <string>
#include <vector>

namespace cove {

/** Settings of an entry host; host_settings_table() describes each of them. */
struct host_settings {
    std::string name;
    std::string zone;
    std::string region;
    std::map<zone_id, region_id> regions; ///< region of every zone
    std::string client_address;
    std::string readiness_address;
    std::string directory_address;
    std::string metrics_address; ///< empty: metrics are not served
    std::string ip;
    int peer_port = 0;
    int relay_port = 0;
    std::vector<std::string> seeds; ///< IP:port; the port is ignored
    std::string store_address;
    milliseconds store_silence_max{3000};
    milliseconds heartbeat{};
    milliseconds drain{};
    milliseconds grace{};
    milliseconds answer_lifetime_max{};
    double retry_ratio = 0;
    milliseconds retry_window{};
    double retry_slack = 0;
    double shift_cap = 1;
    /// How long requests that end targets stay blocked; zero: they are not blocked.
    milliseconds crash_retention{600'000};
    int memory_mb = 128;     ///< MiB that this host may use
    int max_descriptors = 0; ///< file descriptors that this host may use; 0: the process limit
    /// Time after which no request with a withdrawn key may run; zero: no bound.
    milliseconds key_withdrawal_max{};
    milliseconds quota_window{5000}; ///< time over which the quota of a workspace is checked
    double quota_overage = 0;        ///< share of a quota by which hosts together may exceed it
    double quota_slack = 0;          ///< requests by which hosts together may exceed a quota
    bool first_start = false;        ///< all hosts start together, before any client traffic
};

/** @return the table that parses, validates and describes the settings. */
settings_table<host_settings> const& host_settings_table();

} // namespace cove
