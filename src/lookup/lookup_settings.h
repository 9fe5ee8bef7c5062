#pragma once
/** @file Settings of cove-lookup. */

#include "settings/settings_table.h"

namespace cove {

/** Settings of one look-up process. */
struct lookup_settings {
    std::string name;                         ///< shown in the log
    std::string zone;                         ///< availability zone of this process
    std::string caller_address;               ///< IP:port on which callers are served
    std::vector<std::string> entry_addresses; ///< publish addresses of its zone's entry hosts
};

/** @return the table that describes lookup_settings. */
settings_table<lookup_settings> const& lookup_settings_table();

} // namespace cove
