#include "directory/lookup.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cove {

namespace {

/** @return a deterministic hash of @p client and @p zone, mapped to (0, 1). */
double unit_hash(std::string const& client, zone_id const& zone)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return (static_cast<double>(stable_hash(zone.value, stable_hash(client))) + 0.5) / range;
}

/** Weighted rendezvous hashing: when the share of a zone grows, clients move only to that zone. */
zone_id choose_zone(std::string const& client, zone_shares const& shares)
{
    zone_id best;
    double best_score = std::numeric_limits<double>::infinity();
    for (auto const& [zone, share] : shares) {
        double const score = -std::log(unit_hash(client, zone)) / share;
        if (score < best_score) {
            best_score = score;
            best = zone;
        }
    }
    return best;
}

} // namespace

std::vector<std::string> choose_hosts(lookup_query const& query, zone_shares const& shares,
                                      std::vector<directory_host> const& hosts,
                                      std::size_t max_hosts)
{
    std::map<zone_id, std::vector<std::string>> by_zone;
    for (directory_host const& host : hosts) {
        if (query.regions.empty() || query.regions.contains(host.region)) {
            by_zone[host.zone].push_back(host.client_address);
        }
    }
    if (by_zone.empty()) {
        return {};
    }
    zone_shares eligible_shares;
    for (auto const& [zone, share] : shares) {
        if (by_zone.contains(zone) && share > 0) {
            eligible_shares[zone] = share;
        }
    }
    if (eligible_shares.empty()) {
        for (auto const& [zone, addresses] : by_zone) {
            if (zone == query.zone || !by_zone.contains(query.zone)) {
                eligible_shares[zone] = 1;
            }
        }
    }
    std::vector<std::string> out = by_zone.at(choose_zone(query.client, eligible_shares));
    std::sort(out.begin(), out.end());
    out.resize(std::min(out.size(), max_hosts));
    return out;
}

} // namespace cove
