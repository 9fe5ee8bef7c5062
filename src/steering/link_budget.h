#pragma once
/** @file Rate limits that keep this entry host within its share of the links between regions. */

#include "node/node_view.h"

#include <map>

namespace cove {

/** Limits the bytes sent to one region. */
struct token_bucket {
    double bytes_per_second = 0; ///< this entry host's share of the link's bandwidth
    double bytes = 0;            ///< bytes that may be sent now
    mono_time updated{};         ///< when the bucket was last refilled
};

/** The rate limits of all links of the own region. */
struct link_budget {
    std::map<region_id, token_bucket> regions; ///< by region at the other end of a configured link
    std::map<zone_id, region_id> region_of;
    region_id own_region;
    deployment const* config = nullptr; ///< configuration that the rates were computed from
    std::uint64_t list_version = 0;     ///< host list version that the rates were computed from
};

/**
 * Recomputes the rates when the configuration or the host list has changed. The bandwidth of a link
 * is split evenly among the listed entry hosts of the own region, so that the sum of their rates
 * never exceeds it.
 */
void refresh_link_budget(link_budget& budget, node_view const& view);

/**
 * Takes @p bytes from the rate limit of the link to zone @p to. Zones of the own region are not
 * limited; regions without a configured link get nothing.
 * @return whether a request of that size may be sent.
 */
bool consume_link_budget(link_budget& budget, node_view const& view, zone_id const& to,
                         std::uint64_t bytes);

} // namespace cove
