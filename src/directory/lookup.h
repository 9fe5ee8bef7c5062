#pragma once
/** @file Answers clients that ask which entry hosts to use. */

#include "directory/client_shares.h"

#include <set>
#include <string>
#include <vector>

namespace cove {

/** An entry host that clients may be sent to. */
struct directory_host {
    zone_id zone;
    region_id region;
    std::string client_address; ///< IP:port
};

/** What a look-up asks. */
struct lookup_query {
    zone_id zone;                ///< of the client
    std::string client;          ///< tells clients apart, for example the IP
    std::set<region_id> regions; ///< that may be named; empty: any
};

/**
 * Names the hosts of one zone, chosen by the client's place in the zone's shares: a client keeps
 * its zone, and a change of shares moves the fewest clients.
 * @return addresses, at most @p most; empty when nothing is known.
 */
std::vector<std::string> choose_hosts(lookup_query const& query, zone_shares const& shares,
                                      std::vector<directory_host> const& hosts, std::size_t most);

} // namespace cove
