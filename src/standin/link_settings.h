#pragma once
/** @file Settings of standin-link. */

#include "settings/settings_table.h"

namespace cove {

/** Settings of one stand-in link. */
struct link_settings {
    std::string name;
    std::string address;          ///< address to listen on
    std::string to;               ///< address to forward connections to
    std::string admin_address;    ///< address of the HTTP API that changes the link
    milliseconds delay{};         ///< added in each direction
    milliseconds jitter{};        ///< upper bound of a uniformly distributed extra delay
    int kilobytes_per_second = 0; ///< per connection and direction; 0 for no limit
};

/** @return the table that describes link_settings. */
settings_table<link_settings> const& link_settings_table();

} // namespace cove
