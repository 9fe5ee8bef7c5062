#pragma once
/** @file Which availability zones the clients of a zone are sent to, and how fast that may change. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace cove {

/** Shares of zones, summing to 1. */
using zone_shares = std::map<zone_id, double>;

/** Slots of a service in a zone. */
struct zone_capacity {
    double slots = 0; ///< of targets that take work
    double busy = 0;  ///< slots in use, requests that wait included
};

/** One availability zone as steering sees it. */
struct steered_zone {
    zone_id zone;
    region_id region;
    bool usable = false; ///< it has entry hosts that take requests
    std::map<service_id, zone_capacity> services;
};

/**
 * Sends the clients of a zone home as far as its targets bear it and the rest to where most room
 * is, to few zones, since each zone has to keep the objects of all its clients warm.
 * Client zones count as equal: look-ups show no more of their traffic than that.
 * @return the shares of each client zone; empty when no zone is usable.
 */
std::map<zone_id, zone_shares> wanted_shares(std::vector<steered_zone> const& zones);

/** Moves shares towards what is wanted, within the cap on changes of region. */
class share_mover {
public:
    /** @param cap share of a region's traffic that may change region within two seconds. */
    share_mover(std::map<zone_id, region_id> regions, double cap);

    /** Moves as far as the time since the last call allows. */
    void move(std::map<zone_id, zone_shares> const& wanted, mono_time now);

    /** @return the shares of the clients of @p zone; empty when nothing is known. */
    [[nodiscard]] zone_shares shares_of(zone_id const& zone) const;

private:
    [[nodiscard]] std::map<region_id, double> by_region(zone_shares const& shares) const;
    [[nodiscard]] zone_shares stepped(zone_shares const& current, zone_shares const& wanted,
                                      double step) const;

    std::map<zone_id, region_id> regions_;
    double cap_;
    std::map<zone_id, zone_shares> shares_;
    mono_time moved_at_{};
};

} // namespace cove
