#include "traffic/service_time.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double sample_weight = 0.05;     ///< averages over about the last 40 requests
constexpr double slow_decay = 0.99;        ///< for each request; halves over about 70 of them
constexpr double initial_warm_share = 0.5; ///< initial warm time, as a share of the objective

} // namespace

route_time::route_time(milliseconds objective)
    : cold(sample_weight, static_cast<double>(objective.count())),
      warm(sample_weight, initial_warm_share * static_cast<double>(objective.count()))
{
}

void route_time::note(double elapsed_ms)
{
    slow_ = std::max(elapsed_ms, slow_decay * slow_.value_or(0));
}

double route_time::expected(double share) const
{
    return share * warm.value() + (1 - share) * cold.value();
}

route_time& service_times::of(route_config const& route)
{
    return routes_.try_emplace(route.name, route.objective).first->second;
}

double service_times::mean(service_id const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? 0 : found->second.value();
}

void service_times::add_sample(service_id const& service, double elapsed_ms)
{
    auto const [found, fresh] = services_.try_emplace(service, sample_weight, elapsed_ms);
    if (!fresh) {
        found->second.add(elapsed_ms);
    }
}

} // namespace cove
