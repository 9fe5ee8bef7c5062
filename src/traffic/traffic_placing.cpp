/** @file The part of the traffic reducer that sends, keeps or refuses the requests that wait. */

#include "traffic/traffic.h"

#include "core/hash_func.h"
#include "traffic/traffic_func.h"

#include <algorithm>

namespace cove {

void traffic::pump(service_id const& service)
{
    auto& queue = queues_[service];
    if (queue.empty()) {
        return;
    }
    std::sort(queue.begin(), queue.end(), [this](request_id a, request_id b) {
        return comes_before(requests_.at(a), requests_.at(b));
    });
    for (request_id const& id : queue) {
        requests_.at(id).waits_for = nullptr;
    }
    placing_turn turn = begin_turn(service);
    for (request_id const& id : std::vector(queue)) {
        place(requests_.at(id), turn);
    }
}

bool traffic::is_home(route_config const& route, zone_id const& zone) const
{
    if (route.home_regions.empty()) {
        return true;
    }
    auto const region = settings_.regions.find(zone);
    return region != settings_.regions.end() &&
           std::find(route.home_regions.begin(), route.home_regions.end(), region->second) !=
               route.home_regions.end();
}

int traffic::remote_running(zone_id const& zone, service_id const& service) const
{
    int count = 0;
    for (auto const& [id, request] : requests_) {
        if (request.service != service || !request.target) {
            continue;
        }
        auto const target = targets_.find(*request.target);
        count += target != targets_.end() && target->second.entry().zone == zone ? 1 : 0;
    }
    return count;
}

/**
 * Answers the load of targets that start anew: their small rate is divided among the hosts of the
 * zone. Where the zone has more hosts than requests a second, a few hosts get one each, chosen by
 * hash, so that all hosts agree without a message.
 */
double traffic::cold_share(target_state const& target) const
{
    if (!neighbours_known_) {
        return 0;
    }
    auto const terms = terms_.find(target.entry().service);
    double const rate = terms == terms_.end() ? 1 : std::max(1.0, terms->second.cold_rate);
    auto const hosts = static_cast<double>(std::max<std::size_t>(1, hosts_in_zone_.size()));
    if (rate >= hosts) {
        return rate / hosts;
    }
    auto const place = [&target](node_id const& host) {
        return std::pair(stable_hash(host.value, target.id_hash()), host);
    };
    auto const before =
        std::count_if(hosts_in_zone_.begin(), hosts_in_zone_.end(),
                      [&](node_id const& host) { return place(host) < place(settings_.host); });
    return static_cast<double>(before) + 1 <= rate ? 1 : 0;
}

/**
 * Surveys the targets of this zone once for all requests that are placed now.
 * @param newcomer placed alone: those that wait count if they come before it.
 */
placing_turn traffic::begin_turn(service_id const& service, pending_request const* newcomer)
{
    placing_turn turn;
    double slots = 0;
    double busy = 0;
    auto const& own = by_service_[service].own;
    for (std::size_t i = 0; i < own.size(); ++i) {
        if (!own[i]->accepts(now_) || evacuated_.contains(settings_.zone)) {
            continue;
        }
        turn.own.push_back(survey(*own[i], now_));
        turn.own_index.push_back(i);
        slots += turn.own.back().slots;
        busy += turn.own.back().load;
    }
    auto const& queue = queues_[service];
    for (request_id const& id : queue) {
        pending_request const& other = requests_.at(id);
        target_state const* const waited_for = other.waits_for;
        if (waited_for == nullptr || (newcomer != nullptr && !comes_before(other, *newcomer))) {
            continue;
        }
        for (placement_candidate& candidate : turn.own) {
            candidate.queued += candidate.target == waited_for ? 1 : 0;
        }
    }
    turn.load_price = slots > 0 ? (busy + static_cast<double>(queue.size())) / slots : 0;
    return turn;
}

/** Surveys targets of other zones, as far as those zones have given this host room. */
void traffic::survey_remote(placing_turn& turn, service_id const& service)
{
    if (turn.remote_surveyed) {
        return;
    }
    turn.remote_surveyed = true;
    std::map<zone_id, bool> open;
    for (target_state* const target : by_service_[service].remote) {
        zone_id const& zone = target->entry().zone;
        auto const [known, fresh] = open.try_emplace(zone, false);
        if (fresh) {
            auto const room = rooms_.find({zone, service});
            known->second = room != rooms_.end() && !evacuated_.contains(zone) &&
                            remote_running(zone, service) < room->second;
        }
        if (!known->second || target->cold(now_) || !target->accepts(now_)) {
            continue;
        }
        placement_candidate candidate = survey(*target, now_);
        auto const way = way_ms_.find(zone);
        candidate.extra_ms = way == way_ms_.end() ? 0 : way->second.value();
        turn.remote.push_back(candidate);
    }
}

std::vector<placement_option> traffic::rank(pending_request& request, placing_turn const& turn,
                                            std::vector<placement_candidate>& candidates,
                                            std::vector<std::size_t> const& ranks)
{
    auto const hits = first_hits_.try_emplace(request.service, warm_weight, first_hit_start).first;
    double const mean = times_.mean(request.service);
    placement_query const query{*request.route,
                                request.object,
                                turn.load_price,
                                mean > 0 ? mean : times_.of(*request.route).expected(0),
                                windows_[request.service].length(),
                                hits->second.value()};
    auto options = rank_targets(query, times_.of(*request.route), candidates, ranks);
    std::erase_if(options, [&](placement_option const& option) {
        return !is_home(*request.route, option.candidate->target->entry().zone);
    });
    auto const untried = [&](placement_option const& option) {
        return !request.tried.contains(option.candidate->target->entry().id);
    };
    // A target that failed once is still better than none.
    if (std::any_of(options.begin(), options.end(), untried)) {
        std::erase_if(options, [&](auto const& option) { return !untried(option); });
    }
    return options;
}

std::vector<placement_option> traffic::own_options(pending_request& request, placing_turn& turn)
{
    bool const keyed = request.route->sticky && !request.object.value.empty();
    std::vector<std::size_t> ranks;
    if (keyed) {
        if (request.order_version != list_version_) {
            request.order = object_order(request.object, by_service_[request.service].own);
            request.order_version = list_version_;
        }
        for (std::size_t const index : turn.own_index) {
            ranks.push_back(request.order[index]);
        }
    }
    return rank(request, turn, turn.own, ranks);
}

std::vector<placement_option> traffic::remote_options(pending_request& request, placing_turn& turn)
{
    survey_remote(turn, request.service);
    bool const keyed = request.route->sticky && !request.object.value.empty();
    std::vector<std::size_t> ranks;
    if (keyed) {
        std::vector<target_state*> targets;
        for (placement_candidate const& candidate : turn.remote) {
            targets.push_back(candidate.target);
        }
        ranks = object_order(request.object, targets);
    }
    return rank(request, turn, turn.remote, ranks);
}

/** Sends a request of the queue, lets it wait, or refuses it. */
void traffic::place(pending_request& request, placing_turn& turn)
{
    placement_option const* waits_for = nullptr;
    auto const own = own_options(request, turn);
    for (placement_option const& option : own) {
        if (option.candidate->target->has_room(cold_share(*option.candidate->target), now_)) {
            send(request, option);
            return;
        }
        if (option.candidate->full()) {
            waits_for = &option; // waiting for it costs less than any of the rest
            break;
        }
    }
    wait_or_refuse(request, turn, waits_for);
}

/**
 * Under overload, what still meets its objective waits; the rest goes to another zone that gave
 * room, waits for a part of its time if it can be served then, or is refused at once.
 */
void traffic::wait_or_refuse(pending_request& request, placing_turn& turn,
                             placement_option const* waits_for)
{
    // Refused sooner, clients came back twice as often; later, they had no time to come back.
    constexpr double held_share = 0.25;
    double const spent = as_ms(now_ - request.arrived + request.spent_before);
    double const objective = static_cast<double>(request.route->objective.count());
    double const wait = waits_for == nullptr ? 0 : waits_for->wait_ms;
    double const need = waits_for == nullptr ? 0 : wait + waits_for->service_ms;
    auto const keep_waiting = [&] {
        if (waits_for != nullptr) {
            waits_for->candidate->queued += 1;
            request.waits_for = waits_for->candidate->target;
        }
    };
    if (waits_for != nullptr && spent + need <= objective) {
        keep_waiting();
        return;
    }
    for (placement_option const& option : remote_options(request, turn)) {
        if (option.candidate->target->has_room(0, now_)) {
            send(request, option);
            turn.remote_surveyed = false; // its zone may have no more room
            turn.remote.clear();
            return;
        }
    }
    double const left = as_ms(request.expires - now_);
    double const held = as_ms(now_ - request.arrived);
    double const hold = (left + held) * held_share;
    if (need <= left && held + wait < hold) {
        keep_waiting();
        return;
    }
    refuse(request.id, turn.own.empty() ? refusal::no_target : refusal::no_room,
           milliseconds(static_cast<std::int64_t>(wait)));
}

void traffic::send(pending_request& request, placement_option const& option)
{
    std::erase(queues_[request.service], request.id);
    target_state& target = *option.candidate->target;
    target_entry const& entry = target.entry();
    request.target = entry.id;
    request.waits_for = nullptr;
    request.sent = now_;
    auto const way = way_ms_.find(entry.zone);
    request.way_ms = way == way_ms_.end() ? 0 : way->second.value();
    request.expected_ms = option.service_ms;
    request.object_age = option.object_age;
    request.rank = option.rank;
    ++request.attempts;
    target.attempt_sent(request.id, request.object, option.service_ms, now_);
    option.candidate->load += 1;
    effects_.push_back(
        send_attempt{request.id, entry.id, entry.service, entry.address,
                     std::chrono::duration_cast<milliseconds>(request.expires - now_),
                     request.route->idempotent});
}

} // namespace cove
