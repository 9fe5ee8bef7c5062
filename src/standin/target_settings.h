#pragma once
/** @file Settings of standin-target. */

#include "settings/settings_table.h"

namespace cove {

/** Settings of one stand-in target. */
struct target_settings {
    std::string name;
    std::string address;
    int slots = 1;                   ///< maximum concurrent requests
    int connections = 300;           ///< maximum open connections; above it, requests are shed
    int queue = 0;                   ///< maximum requests waiting for a slot
    milliseconds service_time{10};   ///< mean service time
    int spread_percent = 0;          ///< maximum deviation, uniformly distributed
    milliseconds connection_cost{1}; ///< extra time of the first request of a connection
    int cold_requests = 0;           ///< number of requests until the target is warm
    int cold_percent = 100;          ///< service time of the first request, relative to a warm one
    milliseconds drain_grace{3000};  ///< time after which a leaving target sheds new requests
    std::string journal;             ///< file to which operations are appended
};

/** @return the table that describes target_settings. */
settings_table<target_settings> const& target_settings_table();

} // namespace cove
