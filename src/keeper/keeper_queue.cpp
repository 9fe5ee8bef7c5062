#include "keeper/keeper_func.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

/** One in this many started attempts is the oldest one, regardless of priority. */
constexpr std::uint64_t oldest_first_interval = 8;
constexpr seconds event_lead{30}; ///< an event's reserve applies from this long before its start
constexpr milliseconds refresh_interval{100}; ///< kept targets are recomputed at least this often

int total_limit(keeper_state const& state, service_config const& service, mono_time now)
{
    auto const kept = state.targets_by_service.find(service.id);
    int total = 0;
    if (kept != state.targets_by_service.end()) {
        for (target_id const& id : kept->second) {
            total += working_limit(state.targets.at(id), service, now);
        }
    }
    return total;
}

/** @return whether an event's reserve prevents attempts of the class from starting now. */
bool is_blocked_by_reserve(node_view const& view, service_config const& service,
                           service_queue const& queue, class_id const& request_class, int limit)
{
    for (event_config const& event : view.config->events) {
        bool const active = event.service == service.id &&
                            view.now.wall >= event.start - event_lead && view.now.wall < event.end;
        auto const belongs = [&](class_id const& id) {
            return std::ranges::find(event.classes, id) != event.classes.end();
        };
        if (!active || belongs(request_class)) {
            continue;
        }
        int others = 0;
        for (auto const& [id, one] : queue.classes) {
            others += belongs(id) ? 0 : one.in_flight;
        }
        if (others >= std::max(1, static_cast<int>(limit * (1 - event.reserve)))) {
            return true;
        }
    }
    return false;
}

/**
 * Chooses the class to start an attempt of: by priority, but at intervals the one with the oldest
 * attempt, so that no class starves.
 */
class_queue* choose_class(node_view const& view, service_config const& service,
                          service_queue& queue, int limit)
{
    bool const oldest_first = (queue.dequeue_count + 1) % oldest_first_interval == 0;
    class_queue* best = nullptr;
    for (auto& [id, one] : queue.classes) {
        if (one.waiting.empty() || is_blocked_by_reserve(view, service, queue, id, limit)) {
            continue;
        }
        auto const rank = [&](class_queue const& each) {
            return std::pair(oldest_first ? 0 : each.priority, each.waiting.begin()->first);
        };
        if (best == nullptr || rank(one) < rank(*best)) {
            best = &one;
        }
    }
    return best;
}

/** Chooses the target with the largest free share of its limit. */
std::optional<target_id> choose_target(keeper_state const& state, node_view const& view,
                                       service_config const& service)
{
    auto const kept = state.targets_by_service.find(service.id);
    if (kept == state.targets_by_service.end()) {
        return std::nullopt;
    }
    std::optional<target_id> best;
    double best_load = 1;
    for (target_id const& id : kept->second) {
        kept_target const& target = state.targets.at(id);
        int const limit = working_limit(target, service, view.now.mono);
        double const load = limit == 0 ? 1 : static_cast<double>(target.in_flight) / limit;
        if (load < best_load || (view.disabled.slot_limits && !best)) {
            best = id;
            best_load = load;
        }
    }
    return best;
}

void start_call(keeper_state& state, node_view const& view, service_config const& service,
                queued_attempt attempt, std::uint64_t sequence, target_id const& id,
                node_effects& effects)
{
    kept_target& target = state.targets.at(id);
    ++target.in_flight;
    require_invariant(target.in_flight <= hard_limit(service),
                      "a target runs no more than its slots");
    call_key const key = state.next_call++;
    attempt_entry* entry = find_attempt(state.attempts, attempt_of(attempt.request));
    require_invariant(entry != nullptr && entry->phase == attempt_phase::queued,
                      "only a queued attempt starts");
    entry->phase = attempt_phase::running;
    entry->call = key;
    ++state.queues[service.id].classes[attempt.request.request_class].in_flight;
    effects.emplace_back(call_target{key, id, view.members.targets.at(id).address, service.id,
                                     attempt.request.request_class, attempt.request.operation,
                                     attempt.deadline - view.now.mono, attempt.request.body});
    state.calls.emplace(key, running_call{std::move(attempt), sequence, id, view.now.mono});
}

void update_kept_targets(keeper_state& state, node_view const& view, service_config const& service)
{
    auto& kept = state.targets_by_service[service.id];
    std::vector<target_id> const before = std::move(kept);
    kept.clear();
    for (target_with_keeper const& one :
         keepers_of(state.index, view, {view.self.zone, service.id})) {
        if (one.keeper != view.self.id || state.targets[one.target].leaving) {
            continue;
        }
        kept.push_back(one.target);
        if (!std::ranges::binary_search(before, one.target)) {
            state.targets[one.target].kept_since = view.now.mono;
        }
    }
}

} // namespace

attempt_id attempt_of(hand_over const& request)
{
    return {request.operation, request.attempt};
}

void enqueue(keeper_state& state, queued_attempt attempt, class_config const& request_class,
             std::uint64_t sequence)
{
    class_queue& queue = state.queues[attempt.request.service].classes[request_class.id];
    queue.priority = request_class.priority;
    queue_position const position{attempt.deadline, attempt.request.service, request_class.id,
                                  sequence};
    state.positions.emplace(attempt_of(attempt.request), position);
    state.queued_by_deadline.insert(position);
    queue.waiting.emplace(sequence, std::move(attempt));
}

std::optional<queued_attempt> dequeue(keeper_state& state, queue_position const& position)
{
    class_queue& queue = state.queues[position.service].classes[position.request_class];
    auto node = queue.waiting.extract(position.sequence);
    if (node.empty()) {
        return std::nullopt;
    }
    state.queued_by_deadline.erase(position);
    state.positions.erase(attempt_of(node.mapped().request));
    return std::move(node.mapped());
}

void start_queued(keeper_state& state, node_view const& view, service_config const& service,
                  node_effects& effects)
{
    auto const found = state.queues.find(service.id);
    if (found == state.queues.end()) {
        return;
    }
    service_queue& queue = found->second;
    int const limit = total_limit(state, service, view.now.mono);
    while (true) {
        class_queue* from = choose_class(view, service, queue, limit);
        auto const target = from == nullptr ? std::nullopt : choose_target(state, view, service);
        if (!target) {
            return;
        }
        auto const& [sequence, head] = *from->waiting.begin();
        queue_position const position{head.deadline, service.id, head.request.request_class,
                                      sequence};
        auto attempt = dequeue(state, position);
        ++queue.dequeue_count;
        start_call(state, view, service, std::move(*attempt), position.sequence, *target, effects);
    }
}

microseconds expected_wait(keeper_state const& state, service_config const& service,
                           class_config const& request_class, mono_time now)
{
    auto const found = state.queues.find(service.id);
    if (found == state.queues.end()) {
        return {};
    }
    std::size_t ahead = 1; // the running calls count as one
    for (auto const& [id, one] : found->second.classes) {
        ahead += one.priority <= request_class.priority ? one.waiting.size() : 0;
    }
    int const limit = std::max(1, total_limit(state, service, now));
    return found->second.call_time * static_cast<std::int64_t>(ahead) / limit;
}

bool refresh_kept_targets(keeper_state& state, node_view const& view)
{
    if (view.config == nullptr ||
        (state.kept_version == view.members.membership_version &&
         state.kept_config == view.config && view.now.mono < state.next_refresh)) {
        return false;
    }
    state.kept_config = view.config;
    state.kept_version = view.members.membership_version;
    state.next_refresh = view.now.mono + refresh_interval;
    for (service_config const& service : view.config->services) {
        update_kept_targets(state, view, service);
    }
    std::erase_if(state.targets, [&](auto const& one) {
        return one.second.in_flight == 0 && !view.members.targets.contains(one.first);
    });
    return true;
}

} // namespace cove
