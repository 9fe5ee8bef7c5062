#include "traffic/traffic.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds give_up_slack{60}; ///< for the target's own answer at the deadline to come
constexpr double warm_weight = 0.05;      ///< of a sample of how often first targets are warm
constexpr double first_hit_start = 0.5;   ///< nothing is known of the other hosts' requests yet

repeated_request identity_of(pending_request const& request)
{
    return {request.client, request.route->name.value, request.object};
}

double as_ms(microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

traffic::traffic(traffic_settings settings)
    : settings_(std::move(settings)), budget_(settings_.repeats)
{
}

traffic_effects traffic::reduce(traffic_event const& event, mono_time now)
{
    now_ = now;
    effects_.clear();
    std::visit([this](auto const& what) { on(what); }, event);
    return std::move(effects_);
}

void traffic::on(request_arrived const& event)
{
    pending_request request;
    request.id = event.id;
    request.route = event.route;
    request.service = event.service;
    request.object = event.object;
    request.arrived = now_;
    request.expires = now_ + std::min(event.deadline, event.route->timeout);
    request.deadline = now_ + event.deadline;
    request.client = event.client;
    if (auto const began = refused_.take(identity_of(request), now_)) {
        request.came_back = true;
        request.spent_before = now_ - *began;
    }
    budget_.count_request(event.service, now_);
    auto const added = requests_.emplace(event.id, std::move(request)).first;
    queues_[event.service].push_back(event.id);
    placing_turn turn = begin_turn(event.service, &added->second);
    place(added->second, turn);
}

void traffic::on(attempt_ended const& event)
{
    auto const found = requests_.find(event.id);
    if (found == requests_.end() || found->second.target != event.target) {
        return; // cancelled meanwhile
    }
    pending_request& request = found->second;
    service_id const service = request.service;
    learn(request, event);
    request.target.reset();
    request.tried.insert(event.target);
    if (event.end == attempt_end::succeeded || request.abandoned) {
        effects_.push_back(deliver_answer{event.id});
        forget(event.id);
    }
    else {
        after_failure(request, event);
    }
    pump(service);
}

void traffic::after_failure(pending_request& request, attempt_ended const& event)
{
    bool const not_run = event.end == attempt_end::refused ||
                         event.end == attempt_end::wrong_target ||
                         event.end == attempt_end::not_connected;
    if (event.end == attempt_end::not_connected) {
        --request.attempts; // nothing reached a target
    }
    request.may_have_run = request.may_have_run || !not_run;
    if ((not_run || request.route->idempotent) && retry(request)) {
        return;
    }
    if (event.end == attempt_end::failed) {
        effects_.push_back(deliver_answer{request.id});
        forget(request.id);
        return;
    }
    refuse(request.id, not_run ? refusal::no_room : refusal::lost_answer, milliseconds{0});
}

bool traffic::retry(pending_request& request)
{
    if (request.attempts >= request.route->max_attempts || now_ >= request.expires) {
        return false;
    }
    if (!budget_.take(request.service, hosts_in_total_, now_)) {
        return false;
    }
    queues_[request.service].push_back(request.id);
    return true;
}

void traffic::learn(pending_request const& request, attempt_ended const& event)
{
    auto const found = targets_.find(event.target);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    bool const cold_target = target.cold(now_);
    double const connect_ms = as_ms(event.connect_time);
    if (event.connect_time > microseconds{0} && target.entry().zone != settings_.zone) {
        way_ms_.try_emplace(target.entry().zone, warm_weight, connect_ms)
            .first->second.add(connect_ms);
    }
    double const took_ms = std::max(0.1, as_ms(now_ - request.sent) - connect_ms - request.way_ms);
    route_time& times = times_.of(*request.route);
    bool const keyed = request.route->sticky && !request.object.value.empty();
    double const slowness = target.slowness(now_);
    bool const was_warm =
        keyed && took_ms / slowness * took_ms / slowness < times.warm.value() * times.cold.value();
    double const usual = was_warm ? times.warm.value() : times.cold.value();
    target.attempt_ended(event, took_ms / std::max(0.1, usual), terms_[request.service].cold_period,
                         now_);
    bool const queued_there = event.load && event.load->waiting > 0;
    if (event.end != attempt_end::succeeded) {
        return;
    }
    times_.add_exchange(request.service, took_ms);
    if (cold_target || queued_there) {
        return; // its time says nothing of warmth
    }
    (was_warm ? times.warm : times.cold).add(took_ms / slowness);
    if (keyed && request.object_age) {
        windows_[request.service].observe(*request.object_age, was_warm);
    }
    else if (keyed && request.rank == 0) {
        first_hits_.try_emplace(request.service, warm_weight, first_hit_start)
            .first->second.add(was_warm ? 1 : 0);
    }
}

void traffic::on(client_gone const& event)
{
    auto const found = requests_.find(event.id);
    if (found == requests_.end()) {
        return;
    }
    pending_request& request = found->second;
    if (request.target && !request.route->idempotent) {
        request.abandoned = true; // breaking off a run that cannot be repeated helps nobody
        return;
    }
    service_id const service = request.service;
    if (request.target) {
        effects_.push_back(cancel_attempt{event.id});
    }
    forget(event.id);
    pump(service);
}

void traffic::on(targets_listed const& event)
{
    std::set<target_id> listed;
    by_service_.clear();
    ++list_version_;
    for (target_entry const& entry : event.entries) {
        listed.insert(entry.id);
        auto const [found, fresh] = targets_.try_emplace(entry.id, entry, now_);
        if (!fresh && found->second.entry() != entry) {
            found->second.update(entry, now_);
        }
        service_targets& targets = by_service_[entry.service];
        (entry.zone == settings_.zone ? targets.own : targets.remote).push_back(&found->second);
    }
    std::erase_if(targets_, [&listed](auto const& item) { return !listed.contains(item.first); });
    for (auto const& [service, queue] : std::map(queues_)) {
        pump(service);
    }
}

void traffic::on(evacuations_listed const& event)
{
    for (auto& [id, target] : targets_) {
        zone_id const& zone = target.entry().zone;
        if (evacuated_.contains(zone) && !event.zones.contains(zone)) {
            target.assume_cold(terms_[target.entry().service].cold_period, now_);
        }
    }
    evacuated_ = event.zones;
}

void traffic::on(services_listed const& event)
{
    terms_ = event.services;
}

void traffic::on(peers_reported const& event)
{
    hosts_in_zone_ = std::max(1, event.hosts_in_zone);
    hosts_in_total_ = std::max(1, event.hosts_in_total);
    rooms_.clear();
    for (remote_room const& room : event.rooms) {
        rooms_[{room.zone, room.service}] = room.requests;
    }
}

void traffic::on(time_passed const& /*event*/)
{
    std::vector<request_id> running;
    for (auto const& [id, request] : requests_) {
        if (request.target) {
            running.push_back(id);
        }
    }
    for (request_id const& id : running) {
        check_running(requests_.at(id));
    }
    for (auto const& [service, queue] : std::map(queues_)) {
        pump(service);
    }
}

/** Ends what lasts too long; asks another target when an answer seems lost and a repeat is safe. */
void traffic::check_running(pending_request& request)
{
    constexpr double lost_factor = 3;     // answers as late as that are mostly lost
    constexpr double lost_floor_ms = 200; // hosts that are short of processor time look as late
    if (now_ >= request.expires + give_up_slack) {
        effects_.push_back(cancel_attempt{request.id});
        refuse(request.id, refusal::gave_up, milliseconds{0});
        return;
    }
    double const waited = as_ms(now_ - request.sent);
    if (!request.route->idempotent ||
        waited < std::max(lost_floor_ms, lost_factor * request.expected_ms)) {
        return;
    }
    ask_another(request);
}

/** Sends a request that may be repeated to another target, if one takes it at once. */
void traffic::ask_another(pending_request& request)
{
    if (request.attempts >= request.route->max_attempts) {
        return;
    }
    target_id const silent = *request.target;
    request.tried.insert(silent);
    placing_turn turn = begin_turn(request.service);
    for (placement_option const& option : own_options(request, turn)) {
        bool const same = option.candidate->target->entry().id == silent;
        if (same || !option.candidate->target->has_room(cold_share(request.service), now_)) {
            continue;
        }
        if (!budget_.take(request.service, hosts_in_total_, now_)) {
            return;
        }
        effects_.push_back(cancel_attempt{request.id});
        if (auto const found = targets_.find(silent); found != targets_.end()) {
            found->second.attempt_cancelled(request.id);
        }
        request.may_have_run = true;
        send(request, option);
        return;
    }
}

void traffic::forget(request_id id)
{
    auto const found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    if (found->second.target) {
        auto const target = targets_.find(*found->second.target);
        if (target != targets_.end()) {
            target->second.attempt_cancelled(id);
        }
    }
    std::erase(queues_[found->second.service], id);
    requests_.erase(found);
}

void traffic::refuse(request_id id, refusal reason, milliseconds until_room)
{
    pending_request const& request = requests_.at(id);
    if (request.may_have_run && reason != refusal::gave_up) {
        reason = refusal::lost_answer;
    }
    auto const left = std::chrono::duration_cast<milliseconds>(request.expires - now_);
    if (reason == refusal::no_room || reason == refusal::no_target) {
        refused_.add(identity_of(request), request.arrived - request.spent_before,
                     request.deadline);
    }
    effects_.push_back(answer_self{
        id, reason, come_back_.next(until_room, std::max(left, milliseconds{0})), request.attempts,
        std::chrono::duration_cast<milliseconds>(now_ - request.arrived)});
    forget(id);
}

bool traffic::hopeless(pending_request const& request) const
{
    auto const waited = now_ - request.arrived + request.spent_before;
    return waited >= request.route->objective;
}

bool traffic::comes_before(pending_request const& a, pending_request const& b) const
{
    auto const rank = [this](pending_request const& r) {
        return std::tuple(hopeless(r), r.route->priority, !r.came_back, r.arrived, r.id);
    };
    return rank(a) < rank(b);
}

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

double traffic::cold_share(service_id const& service) const
{
    auto const terms = terms_.find(service);
    double const rate = terms == terms_.end() ? 0 : terms->second.cold_rate;
    return std::max(1.0, rate / hosts_in_zone_);
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
    double const cold_rate = cold_share(request.service);
    placement_option const* waits_for = nullptr;
    auto const own = own_options(request, turn);
    for (placement_option const& option : own) {
        if (option.candidate->target->has_room(cold_rate, now_)) {
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

std::vector<service_load> traffic::loads(mono_time now) const
{
    std::vector<service_load> out;
    for (auto const& [service, targets] : by_service_) {
        service_load load;
        load.service = service;
        for (target_state const* const target : targets.own) {
            bool const leaves = target->entry().phase == target_phase::leaving;
            if (!leaves && !target->cold(now) && !evacuated_.contains(settings_.zone)) {
                load.listed += target->entry().slots;
            }
            if (target->accepts(now) && !target->cold(now) &&
                !evacuated_.contains(settings_.zone)) {
                load.slots += target->entry().slots;
                load.busy += target->load(now);
            }
        }
        auto const queue = queues_.find(service);
        load.waiting = queue == queues_.end() ? 0 : static_cast<int>(queue->second.size());
        out.push_back(load);
    }
    return out;
}

} // namespace cove
