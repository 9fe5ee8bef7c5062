#pragma once
/** @file Which availability zones the clients of a zone are sent to, and how fast that may change.
 */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace cove {

/** Shares of zones, summing to 1. */
using zone_shares = std::map<zone_id, double>;

/** One availability zone as steering sees it. */
struct steered_zone {
    zone_id zone;
    region_id region;
    bool usable = false;                ///< it has entry hosts that take requests
    std::map<service_id, double> slots; ///< of all targets but those that leave
};

/**
 * Sends the clients of a zone home if its targets bear them, else all of them to one zone that
 * does, the same region first: a zone has to keep the objects of all its clients warm, so clients
 * are divided only where no zone bears them whole. Client zones count as equal: look-ups show no
 * more of their traffic than that.
 * @return the shares of each client zone; empty when no zone is usable.
 */
std::map<zone_id, zone_shares> wanted_shares(std::vector<steered_zone> const& zones);

/** Moves shares towards what is wanted, within the cap on changes of region. */
class share_mover {
public:
    /**
     * @param cap share of a region's traffic that may change region within two seconds.
     * @param started when this host started: what it wants then depends on the hosts that it has
     * heard of, so shares count as in force only after settle_time.
     */
    share_mover(std::map<zone_id, region_id> regions, double cap, mono_time started);

    static constexpr milliseconds settle_time{5000}; ///< until all hosts of a start were heard

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
    mono_time started_;
    std::map<zone_id, zone_shares> shares_;
    mono_time moved_at_{};
};

} // namespace cove
