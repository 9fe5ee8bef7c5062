#pragma once
/** @file Settings of cove-entry. */

#include "settings/settings_table.h"

namespace cove {

/** Settings of one entry process. */
struct entry_settings {
    std::string node;                       ///< id of this entry host
    std::string zone;                       ///< availability zone of this entry host
    std::string caller_address;             ///< IP:port to listen on for callers
    std::string peer_address;               ///< IP:port to listen on for peers
    std::string publish_address;            ///< IP:port to listen on for look-up processes
    std::string bridge_address;             ///< IP:port of the bridge; empty if there is none
    std::string config_file;                ///< path of the initial configuration; may be empty
    std::string steering_policy = "grants"; ///< how requests are distributed among the zones
    std::string host_list_file;             ///< path of the initial host list; may be empty
};

/** @return the settings table of cove-entry. */
settings_table<entry_settings> const& entry_settings_table();

} // namespace cove
