#pragma once
/** @file Settings of cove-bridge. */

#include "settings/settings_table.h"

namespace cove {

/** Settings of one bridge. */
struct bridge_settings {
    std::string node;                   ///< id of the entry host it serves
    std::string bridge_address;         ///< IP:port it listens on for the entry process
    std::string entry_address;          ///< peer address (IP:port) of the entry process
    std::string store_address;          ///< IP:port of the platform's object store
    milliseconds call_timeout{2000};    ///< timeout of a call to the store
    milliseconds watch_wait{25'000};    ///< longest wait of one watch
    milliseconds poll_interval{60'000}; ///< of the host list, while other hosts' bridges watch
};

/** @return the settings table of cove-bridge. */
settings_table<bridge_settings> const& bridge_settings_table();

} // namespace cove
