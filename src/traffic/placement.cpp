#include "traffic/placement.h"

#include "core/hash_func.h"
#include "traffic/object_balance.h"

#include <algorithm>
#include <limits>

namespace cove {

namespace {

constexpr double rank_penalty_ms = 4; ///< per rank; orders otherwise equal targets by rank
constexpr double failure_penalty = 2; ///< cost of a failed attempt, in multiples of the objective
/// A target that handles an object of another target forgets one of its own, whose next request
/// then does the same elsewhere. With a single eviction counted, overloaded zones stayed cold.
constexpr double evictions_per_move = 2;
constexpr double silent_penalty_ms = 2000; ///< so high that a silent target gets only trials

/**
 * Objects that are warm on other targets would never move to a target that joined or recovered. An
 * idle target therefore gets a trial request now and then, or it could not take over when others
 * fail.
 */
bool eligible_for_trial(placement_candidate const& candidate)
{
    constexpr double max_failure_rate = 0.1;
    constexpr double max_slowness = 1.5;
    return candidate.idle && !candidate.full() && !candidate.silent &&
           candidate.failure_rate < max_failure_rate && candidate.slowness < max_slowness;
}

double expected_warm_share(placement_query const& query, placement_option const& option)
{
    if (option.object_age) {
        return *option.object_age <= query.warm_window_length ? 1 : 0;
    }
    return option.rank == 0 ? query.preferred_hit_rate : 0;
}

} // namespace

placement_candidate make_candidate(target_state& target, mono_time now)
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

std::uint32_t short_hash(object_key const& object)
{
    return static_cast<std::uint32_t>(stable_hash(object.value));
}

std::vector<std::size_t> object_order(object_key const& object,
                                      std::vector<target_state*> const& targets,
                                      std::optional<std::uint64_t> preferred)
{
    std::uint32_t const hash = short_hash(object);
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        std::uint64_t const id = targets[i]->id_hash();
        std::uint64_t const score = rendezvous_score(hash, id);
        order.emplace_back(preferred == id ? std::numeric_limits<std::uint64_t>::max() : score, i);
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
    bool const has_affinity = !ranks.empty();
    std::vector<placement_option> options;
    options.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        placement_candidate& candidate = candidates[i];
        placement_option option;
        option.candidate = &candidate;
        option.rank = has_affinity ? ranks[i] : 0;
        option.object_age =
            has_affinity ? candidate.target->object_age(query.object) : std::nullopt;
        double const warm = expected_warm_share(query, option);
        option.service_ms = times.expected(warm) * candidate.slowness + candidate.rtt_ms;
        double const queue_ahead = candidate.load + candidate.queued - candidate.slots + 1;
        option.wait_ms = std::max(0.0, queue_ahead) / candidate.slots * query.service_mean_ms *
                         candidate.slowness;
        // The preferred target counts as warm here. With the learned hit rate, which falls under
        // overload, it would lose its advantage and objects would spread over more targets.
        double const warm_probability = has_affinity && option.rank == 0 ? 1 : warm;
        double const eviction_ms = has_affinity
                                       ? (1 - warm_probability) * evictions_per_move *
                                             std::max(0.0, times.expected(0) - times.expected(1))
                                       : 0;
        double const slot_ms =
            (times.expected(warm_probability) + eviction_ms) * candidate.slowness +
            candidate.rtt_ms;
        option.cost = option.wait_ms + slot_ms * (1 + query.slot_time_weight) +
                      rank_penalty_ms * static_cast<double>(option.rank) +
                      candidate.load / candidate.slots +
                      candidate.failure_rate * failure_penalty *
                          static_cast<double>(query.route.objective.count()) +
                      (candidate.silent ? silent_penalty_ms : 0);
        if (has_affinity && option.rank == 0 && eligible_for_trial(candidate)) {
            option.cost = 0;
        }
        options.push_back(option);
    }
    std::sort(options.begin(), options.end(),
              [](auto const& a, auto const& b) { return a.cost < b.cost; });
    return options;
}

} // namespace cove
