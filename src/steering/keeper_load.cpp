#include "steering/keeper_load.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

service_load& load_of(std::map<service_id, service_load>& loads, service_id const& service)
{
    service_load& load = loads[service];
    load.service = service;
    return load;
}

void add_kept_targets(std::map<service_id, service_load>& loads, keeper_state const& keeper,
                      node_view const& view)
{
    for (auto const& [id, targets] : keeper.targets_by_service) {
        service_config const* service = find_service(*view.config, id);
        for (target_id const& target : targets) {
            auto const kept = keeper.targets.find(target);
            if (service != nullptr && kept != keeper.targets.end()) {
                int const limit = working_limit(kept->second, *service, view.now.mono);
                load_of(loads, id).slots += std::max(1, limit);
            }
        }
    }
}

void add_running_calls(std::map<service_id, service_load>& loads, keeper_state const& keeper,
                       node_view const& view)
{
    for (auto const& [key, call] : keeper.calls) {
        service_load& load = load_of(loads, call.attempt.request.service);
        auto const home = view.members.members.find(call.attempt.home);
        bool const own =
            home == view.members.members.end() || home->second.host.zone == view.self.zone;
        ++(own ? load.own : load.foreign);
    }
}

void add_waiting(std::map<service_id, service_load>& loads, keeper_state const& keeper)
{
    for (auto const& [id, queue] : keeper.queues) {
        for (auto const& [request_class, waiting] : queue.classes) {
            load_of(loads, id).queued += static_cast<int>(waiting.waiting.size());
        }
    }
}

} // namespace

std::vector<service_load> keeper_loads(keeper_state const& keeper, node_view const& view)
{
    std::map<service_id, service_load> loads;
    add_kept_targets(loads, keeper, view);
    add_running_calls(loads, keeper, view);
    add_waiting(loads, keeper);
    double const usable = 1 - view.config->shift.zone_reserve;
    std::vector<service_load> out;
    for (auto& [id, load] : loads) {
        int const limit = static_cast<int>(std::floor(load.slots * usable));
        load.grantable = std::max(0, limit - load.own - load.queued);
        out.push_back(load);
    }
    return out;
}

} // namespace cove
