#include "directory/remote_quotas.h"

#include "core/hash_func.h"

#include <algorithm>
#include <map>

namespace cove {

namespace {

/// A zone counts slots as spare only up to this share of them, so quotas cannot load it beyond
/// that.
constexpr double max_utilization = 0.8;
/// Share of the spare slots that is granted; only half, as reports may be up to one second old.
constexpr double granted_share = 0.5;

std::map<zone_id, reported_load> loads_by_zone(std::vector<zone_report> const& reports,
                                               service_id const& service)
{
    std::map<zone_id, reported_load> out;
    for (zone_report const& report : reports) {
        reported_load& known = out[report.zone];
        for (reported_load const& load : report.loads) {
            if (load.service == service) {
                known = load;
            }
        }
    }
    return out;
}

} // namespace

std::vector<granted_quota> compute_remote_quotas(std::vector<zone_report> const& reports,
                                                 node_id const& self)
{
    std::vector<granted_quota> out;
    std::vector<service_id> services;
    for (zone_report const& report : reports) {
        for (reported_load const& load : report.loads) {
            if (std::find(services.begin(), services.end(), load.service) == services.end()) {
                services.push_back(load.service);
            }
        }
    }
    for (service_id const& service : services) {
        auto const loads = loads_by_zone(reports, service);
        for (auto const& [zone, load] : loads) {
            auto const quota =
                static_cast<int>(granted_share * (max_utilization * load.slots - load.busy));
            std::vector<std::pair<std::uint64_t, node_id>> remote_hosts;
            for (zone_report const& report : reports) {
                if (report.zone != zone) {
                    remote_hosts.emplace_back(
                        stable_hash(report.host.value, stable_hash(zone.value)), report.host);
                }
            }
            std::sort(remote_hosts.begin(), remote_hosts.end());
            for (std::size_t rank = 0; rank < remote_hosts.size() && quota > 0; ++rank) {
                auto const count = static_cast<int>(remote_hosts.size());
                int const share = quota / count + (static_cast<int>(rank) < quota % count ? 1 : 0);
                if (remote_hosts[rank].second == self && share > 0) {
                    out.push_back({zone, service, share});
                }
            }
        }
    }
    return out;
}

} // namespace cove
