#pragma once
/** @file Divides the spare slots of zones among the hosts of the other zones. */

#include "core/ids_type.h"

#include <vector>

namespace cove {

/** What the targets of a zone carry of one service. */
struct reported_load {
    service_id service;
    double slots = 0; ///< of targets that take work
    double busy = 0;  ///< slots in use, requests that wait included
};

/** One live host; the first of each zone reports the loads. */
struct zone_report {
    node_id host;
    zone_id zone;
    std::vector<reported_load> loads; ///< empty from all but one host of a zone
};

/** How many requests a host may have under way at the targets of another zone. */
struct granted_room {
    zone_id zone;
    service_id service;
    int requests = 0;
};

/**
 * Answers the load of a zone that lost its targets or is short of slots: its hosts send to other
 * zones, all together never more than half of what those have spare. Hosts compute the same
 * division from the same reports, so no message is needed; a zone that is no longer heard of gives
 * nothing.
 * @param self whose part is wanted.
 */
std::vector<granted_room> divide_rooms(std::vector<zone_report> const& reports,
                                       node_id const& self);

} // namespace cove
