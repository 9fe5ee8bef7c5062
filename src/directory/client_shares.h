#pragma once
/**
 * @file Distributes the clients of each availability zone among zones and limits the rate of
 * change.
 */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <vector>

namespace cove {

/** Share of traffic per zone; the shares sum to 1. */
using zone_shares = std::map<zone_id, double>;

/** State of one availability zone as used for client steering. */
struct zone_capacity {
    zone_id zone;
    region_id region;
    bool usable = false;                ///< has entry hosts that accept requests
    std::map<service_id, double> slots; ///< of targets that are neither leaving nor cold
};

/**
 * Keeps the clients of a zone in that zone as far as its targets have capacity. The excess fills
 * other zones one after the other, the same region and the most spare capacity first, so that
 * clients are split among few zones: a zone has to keep the objects of all its clients warm. All
 * client zones count as carrying equal traffic, because look-ups do not show how much each sends.
 * @return the shares per client zone; empty if no zone is usable.
 */
std::map<zone_id, zone_shares> plan_shares(std::vector<zone_capacity> const& zones);

/** Moves the shares towards the planned ones and caps how fast traffic changes region. */
class share_limiter {
public:
    /**
     * @param cap share of a region's traffic that may change region within two seconds.
     * @param started when this host started. Until settle_time has passed, the planned shares
     * depend on which other hosts are known already, so they are adopted without the cap.
     */
    share_limiter(std::map<zone_id, region_id> regions, double cap, mono_time started);

    static constexpr milliseconds settle_time{5000}; ///< time to discover all hosts after a start

    /** Moves the shares as far as the cap allows for the time since the last call. */
    void move(std::map<zone_id, zone_shares> const& planned, mono_time now);

    /** @return the shares of the clients of @p zone; empty if the zone is unknown. */
    [[nodiscard]] zone_shares shares_of(zone_id const& zone) const;

private:
    [[nodiscard]] std::map<region_id, double> by_region(zone_shares const& shares) const;
    [[nodiscard]] zone_shares step_towards(zone_shares const& current, zone_shares const& planned,
                                           double step) const;

    std::map<zone_id, region_id> regions_;
    double cap_;
    mono_time started_;
    std::map<zone_id, zone_shares> shares_;
    mono_time moved_at_{};
};

} // namespace cove
