#pragma once
/** @file Divides the spare slots of each zone among the hosts of the other zones. */

#include "core/ids_type.h"

#include <vector>

namespace cove {

/** Load of the targets of one service in a zone. */
struct reported_load {
    service_id service;
    double slots = 0; ///< slots of targets that accept requests
    double busy = 0;  ///< requests that are running or queued
};

/** Report of one live host; only the first host of each zone reports loads. */
struct zone_report {
    node_id host;
    zone_id zone;
    std::vector<reported_load> loads; ///< empty for all but one host of a zone
};

/** Limit on the requests that a host may have in flight at the targets of another zone. */
struct granted_quota {
    zone_id zone;
    service_id service;
    int requests = 0;
};

/**
 * Computes the cross-zone quotas of host @p self. When a zone loses its targets or runs out of
 * slots, its hosts may send requests to other zones; the quotas for a zone add up to at most half
 * of its spare slots. Every host derives the same division from the same reports, so no
 * coordination messages are needed. A zone without current reports grants no quota.
 */
std::vector<granted_quota> compute_remote_quotas(std::vector<zone_report> const& reports,
                                                 node_id const& self);

} // namespace cove
