#include "route/weighted_round_robin.h"

#include <algorithm>
#include <set>

namespace cove {

service_id weighted_round_robin::next(route_config const& route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    round_robin_state& state = states_[route.name];
    if (state.services != route.services) {
        state = {route.services, std::vector<double>(route.services.size(), 0.0)};
    }
    double total = 0;
    for (std::size_t i = 0; i < state.services.size(); ++i) {
        state.credits[i] += state.services[i].weight;
        total += state.services[i].weight;
    }
    auto const largest = std::max_element(state.credits.begin(), state.credits.end());
    *largest -= total;
    return state.services[static_cast<std::size_t>(largest - state.credits.begin())].service;
}

void weighted_round_robin::keep_only(routing_config const& config)
{
    std::set<route_id> names;
    for (route_config const& route : config.routes) {
        names.insert(route.name);
    }
    std::erase_if(states_, [&names](auto const& item) { return !names.contains(item.first); });
}

} // namespace cove
