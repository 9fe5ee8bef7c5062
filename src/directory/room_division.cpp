#include "directory/room_division.h"

#include "core/hash_func.h"

#include <algorithm>
#include <map>

namespace cove {

namespace {

constexpr double spare_load = 0.8;    ///< of the slots: what a zone gives away ends there
constexpr double granted_share = 0.5; ///< of the spare slots: reports are up to a second old

std::map<zone_id, reported_load> loads_of(std::vector<zone_report> const& reports,
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

std::vector<granted_room> divide_rooms(std::vector<zone_report> const& reports, node_id const& self)
{
    std::vector<granted_room> out;
    std::vector<service_id> services;
    for (zone_report const& report : reports) {
        for (reported_load const& load : report.loads) {
            if (std::find(services.begin(), services.end(), load.service) == services.end()) {
                services.push_back(load.service);
            }
        }
    }
    for (service_id const& service : services) {
        auto const loads = loads_of(reports, service);
        for (auto const& [zone, load] : loads) {
            auto const units =
                static_cast<int>(granted_share * (spare_load * load.slots - load.busy));
            std::vector<std::pair<std::uint64_t, node_id>> outside;
            for (zone_report const& report : reports) {
                if (report.zone != zone) {
                    outside.emplace_back(stable_hash(report.host.value, stable_hash(zone.value)),
                                         report.host);
                }
            }
            std::sort(outside.begin(), outside.end());
            for (std::size_t rank = 0; rank < outside.size() && units > 0; ++rank) {
                auto const count = static_cast<int>(outside.size());
                int const part = units / count + (static_cast<int>(rank) < units % count ? 1 : 0);
                if (outside[rank].second == self && part > 0) {
                    out.push_back({zone, service, part});
                }
            }
        }
    }
    return out;
}

} // namespace cove
