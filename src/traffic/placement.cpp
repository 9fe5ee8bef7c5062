#include "traffic/placement.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double rank_step_ms = 4;      ///< holds equal targets in the object's order
constexpr double failure_cost = 2;      ///< a failed attempt costs about that many objectives
constexpr double silent_cost_ms = 2000; ///< a silent target is only for trials

/**
 * Objects that are warm elsewhere would never come to a target that joined or recovered; it gets
 * one now and then, or it is of no use when others fail.
 */
bool worth_a_trial(placement_candidate const& candidate)
{
    constexpr double sound_failure_rate = 0.1;
    constexpr double sound_slowness = 1.5;
    return candidate.idle && !candidate.full() && !candidate.silent &&
           candidate.failure_rate < sound_failure_rate && candidate.slowness < sound_slowness;
}

double warm_share(placement_query const& query, placement_option const& option)
{
    if (option.object_age) {
        return *option.object_age <= query.warm_length ? 1 : 0;
    }
    return option.rank == 0 ? query.first_hit_rate : 0;
}

} // namespace

placement_candidate survey(target_state& target, mono_time now)
{
    placement_candidate out;
    out.target = &target;
    out.slots = std::max(1, target.entry().slots);
    out.load = target.load(now);
    out.slowness = target.slowness(now);
    out.failure_rate = target.failure_rate(now);
    out.silent = target.silent(now);
    out.idle = target.idle(now);
    return out;
}

std::vector<std::size_t> object_order(object_key const& object,
                                      std::vector<target_state*> const& targets)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        order.emplace_back(stable_hash(object.value, targets[i]->id_hash()), i);
    }
    std::sort(order.rbegin(), order.rend());
    std::vector<std::size_t> ranks(targets.size());
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        ranks[order[rank].second] = rank;
    }
    return ranks;
}

std::vector<placement_option> rank_targets(placement_query const& query, route_time const& times,
                                           std::vector<placement_candidate>& candidates,
                                           std::vector<std::size_t> const& ranks)
{
    bool const keyed = !ranks.empty();
    std::vector<placement_option> options;
    options.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        placement_candidate& candidate = candidates[i];
        placement_option option;
        option.candidate = &candidate;
        option.rank = keyed ? ranks[i] : 0;
        option.object_age = keyed ? candidate.target->object_age(query.object) : std::nullopt;
        double const warm = warm_share(query, option);
        option.service_ms = times.expected(warm) * candidate.slowness + candidate.extra_ms;
        double const ahead = candidate.load + candidate.queued - candidate.slots + 1;
        option.wait_ms =
            std::max(0.0, ahead) / candidate.slots * query.service_mean_ms * candidate.slowness;
        // Judged by learned hits, the first target loses its lead under overload and objects
        // spread.
        double const share = keyed && option.rank == 0 ? 1 : warm;
        double const evicted_ms =
            (1 - share) * std::max(0.0, times.expected(0) - times.expected(1));
        double const kept_ms =
            (times.expected(share) + evicted_ms) * candidate.slowness + candidate.extra_ms;
        option.cost = option.wait_ms + kept_ms * (1 + query.load_price) +
                      rank_step_ms * static_cast<double>(option.rank) +
                      candidate.load / candidate.slots +
                      candidate.failure_rate * failure_cost *
                          static_cast<double>(query.route.objective.count()) +
                      (candidate.silent ? silent_cost_ms : 0);
        if (keyed && option.rank == 0 && worth_a_trial(candidate)) {
            option.cost = 0;
        }
        options.push_back(option);
    }
    std::sort(options.begin(), options.end(),
              [](auto const& a, auto const& b) { return a.cost < b.cost; });
    return options;
}

} // namespace cove
