#include "route/weighted_round_robin.h"

#include <algorithm>
#include <set>

namespace cove {

service_id weighted_round_robin::next(route_config const& route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    round_robin_state& state = states_[route.name];
    if (state.parts != route.parts) {
        state = {route.parts, std::vector<double>(route.parts.size(), 0.0)};
    }
    double total = 0;
    for (std::size_t i = 0; i < state.parts.size(); ++i) {
        state.credits[i] += state.parts[i].weight;
        total += state.parts[i].weight;
    }
    auto const largest = std::max_element(state.credits.begin(), state.credits.end());
    *largest -= total;
    return state.parts[static_cast<std::size_t>(largest - state.credits.begin())].service;
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
