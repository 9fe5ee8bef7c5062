#include "traffic/placement.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double rank_step_ms = 4;      ///< holds equal targets in the object's order
constexpr double failure_cost = 2;      ///< a failed attempt costs about that many objectives
constexpr double silent_cost_ms = 2000; ///< a silent target is only for trials

std::vector<std::size_t> ranks_of(placement_query const& query,
                                  std::vector<placement_candidate> const& candidates)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto const seed = stable_hash(candidates[i].target->entry().id.value);
        order.emplace_back(stable_hash(query.object.value, seed), i);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<std::size_t> ranks(candidates.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        ranks[order[rank].second] = rank;
    }
    return ranks;
}

double warm_share(placement_query const& query, placement_option const& option)
{
    if (!query.route.sticky || query.object.value.empty()) {
        return 0;
    }
    if (option.object_age) {
        return *option.object_age <= query.warm_length ? 1 : 0;
    }
    return option.rank == 0 ? query.first_hit_rate : 0;
}

} // namespace

std::vector<placement_option> rank_targets(placement_query const& query, route_time const& times,
                                           std::vector<placement_candidate> const& candidates)
{
    bool const keyed = query.route.sticky && !query.object.value.empty();
    std::vector<std::size_t> const ranks =
        keyed ? ranks_of(query, candidates) : std::vector<std::size_t>(candidates.size(), 0);
    std::vector<placement_option> options;
    options.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        target_state& target = *candidates[i].target;
        if (!target.accepts(query.now)) {
            continue;
        }
        placement_option option;
        option.target = &target;
        option.rank = ranks[i];
        option.object_age = keyed ? target.object_age(query.object) : std::nullopt;
        double const share = warm_share(query, option);
        option.expected_warm = share >= 0.5;
        double const slowness = target.slowness(query.now);
        option.service_ms = times.expected(share) * slowness + candidates[i].extra_ms;
        double const load = target.load(query.now) + candidates[i].queued;
        double const slots = std::max(1, target.entry().slots);
        option.wait_ms =
            std::max(0.0, load - slots + 1) / slots * query.service_mean_ms * slowness;
        option.cost =
            option.wait_ms + option.service_ms * (1 + query.load_price) +
            rank_step_ms * static_cast<double>(option.rank) + load / slots +
            target.failure_rate(query.now) * failure_cost *
                static_cast<double>(query.route.objective.count()) +
            (target.silent(query.now) ? silent_cost_ms : 0);
        options.push_back(option);
    }
    std::sort(options.begin(), options.end(),
              [](auto const& a, auto const& b) { return a.cost < b.cost; });
    return options;
}

} // namespace cove
