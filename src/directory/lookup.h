#pragma once
/** @file Selects the entry hosts that are returned for a client look-up. */

#include "directory/client_shares.h"

#include <set>
#include <string>
#include <vector>

namespace cove {

/** An entry host that look-ups may return. */
struct directory_host {
    zone_id zone;
    region_id region;
    std::string client_address; ///< IP:port
};

/** Parameters of a client look-up. */
struct lookup_query {
    zone_id zone;                ///< availability zone of the client
    std::string client;          ///< client identity, for example its IP address
    std::set<region_id> regions; ///< regions whose hosts may be returned; empty means any
};

/**
 * Selects the hosts of one zone by weighted rendezvous hashing of the client: a client keeps its
 * zone, and a change of the shares moves as few clients as possible.
 * @return at most @p max_hosts addresses; empty if no host is eligible.
 */
std::vector<std::string> choose_hosts(lookup_query const& query, zone_shares const& shares,
                                      std::vector<directory_host> const& hosts,
                                      std::size_t max_hosts);

} // namespace cove
