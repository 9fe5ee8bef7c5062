#include "directory/remote_quotas.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace cove {

namespace {

/// A zone counts slots as spare only up to this share of them, so quotas cannot load it beyond
/// that.
constexpr double max_utilization = 0.8;
/// Share of the spare slots that is granted; only half, as reports may be up to one second old.
constexpr double granted_share = 0.5;

} // namespace

void quota_division::set_hosts(std::vector<quota_host> const& hosts)
{
    positions_.clear();
    auto const self = std::find_if(hosts.begin(), hosts.end(),
                                   [this](quota_host const& host) { return host.host == self_; });
    if (self == hosts.end()) {
        return; // the other hosts do not count this one yet
    }
    for (quota_host const& host : hosts) {
        if (host.zone != self->zone) {
            positions_.try_emplace(host.zone);
        }
    }
    for (auto& [zone, position] : positions_) {
        auto const zone_seed = stable_hash(zone.value);
        auto const own_hash = stable_hash(self_.value, zone_seed);
        for (quota_host const& host : hosts) {
            if (host.zone == zone) {
                continue;
            }
            auto const hash = stable_hash(host.host.value, zone_seed);
            ++position.hosts;
            position.rank += std::tie(hash, host.host) < std::tie(own_hash, self_) ? 1 : 0;
        }
    }
}

int quota_division::part_of(zone_id const& zone, int quota) const
{
    auto const found = positions_.find(zone);
    if (found == positions_.end() || found->second.hosts == 0 || quota <= 0) {
        return 0;
    }
    auto const [rank, hosts] = found->second;
    return quota / hosts + (rank < quota % hosts ? 1 : 0);
}

std::vector<granted_quota> compute_remote_quotas(std::vector<zone_load> const& zones,
                                                 quota_division const& division)
{
    std::vector<granted_quota> out;
    for (zone_load const& zone : zones) {
        for (reported_load const& load : zone.loads) {
            auto const quota =
                static_cast<int>(granted_share * (max_utilization * load.slots - load.busy));
            if (int const part = division.part_of(zone.zone, quota); part > 0) {
                out.push_back({zone.zone, load.service, part});
            }
        }
    }
    return out;
}

} // namespace cove
