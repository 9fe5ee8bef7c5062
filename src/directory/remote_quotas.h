#pragma once
/** @file Divides the spare slots of each zone among the hosts of the other zones. */

#include "core/ids_type.h"

#include <map>
#include <utility>
#include <vector>

namespace cove {

/** Load of the targets of one service in a zone. */
struct reported_load {
    service_id service;
    double slots = 0; ///< slots of targets that accept requests
    double busy = 0;  ///< requests that are running or queued
};

/** Loads of the targets of a zone. */
struct zone_load {
    zone_id zone;
    std::vector<reported_load> loads;
};

/** A live host that accepts requests. */
struct quota_host {
    node_id host;
    zone_id zone;
};

/** Limit on the requests that a host may have in flight at the targets of another zone. */
struct granted_quota {
    zone_id zone;
    service_id service;
    int requests = 0;
};

/**
 * Divides the quota of each zone among the hosts of the other zones. All hosts with the same list
 * of live hosts derive the same division, so no coordination messages are needed.
 */
class quota_division {
public:
    explicit quota_division(node_id self) : self_(std::move(self)) {}

    /** Sets the live hosts. The cost is hosts times zones, so call it only when they change. */
    void set_hosts(std::vector<quota_host> const& hosts);

    /** @return this host's part of @p quota requests at the targets of @p zone. */
    [[nodiscard]] int part_of(zone_id const& zone, int quota) const;

private:
    struct position {
        int rank = 0;  ///< of this host among the hosts of the other zones
        int hosts = 0; ///< in the other zones
    };

    node_id self_;
    std::map<zone_id, position> positions_; ///< absent for the zone of this host
};

/**
 * Computes the cross-zone quotas of a host. When a zone loses its targets or runs out of slots, its
 * hosts may send requests to other zones; the quotas for a zone add up to at most half of its spare
 * slots. A zone without a current report grants no quota.
 */
std::vector<granted_quota> compute_remote_quotas(std::vector<zone_load> const& zones,
                                                 quota_division const& division);

} // namespace cove
