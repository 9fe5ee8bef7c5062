#include "traffic/traffic.h"

#include "traffic/traffic_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds give_up_slack{60}; ///< for the target's own answer at the deadline to come

repeated_request identity_of(pending_request const& request)
{
    return {request.client, request.route->name.value, request.object};
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
    hosts_in_zone_ = event.hosts_in_zone;
    neighbours_known_ = event.neighbours_known;
    hosts_in_total_ = std::max(1, event.hosts_in_total);
    rooms_.clear();
    for (remote_room const& room : event.rooms) {
        rooms_[{room.zone, room.service}] = room.requests;
    }
    for (auto& [id, target] : targets_) {
        auto const found = event.running.find(target.short_hash());
        target.peers_running(found == event.running.end() ? 0 : found->second, now_);
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
        if (same ||
            !option.candidate->target->has_room(cold_share(*option.candidate->target), now_)) {
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
    auto const waited = now_ - request.arrived;
    // Clients come back once or twice: a comeback that is refused again is mostly lost.
    return !request.came_back && waited >= request.route->objective;
}

bool traffic::comes_before(pending_request const& a, pending_request const& b) const
{
    auto const rank = [this](pending_request const& r) {
        return std::tuple(hopeless(r), r.route->priority, !r.came_back, r.arrived, r.id);
    };
    return rank(a) < rank(b);
}

std::vector<service_load_report> traffic::loads(mono_time now) const
{
    std::vector<service_load_report> out;
    for (auto const& [service, targets] : by_service_) {
        service_load_report load;
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

std::map<std::uint32_t, int> traffic::running(mono_time now) const
{
    std::map<std::uint32_t, int> out;
    for (auto const& [id, target] : targets_) {
        if (int const count = target.own_load(now); count > 0) {
            out[target.short_hash()] = count;
        }
    }
    return out;
}

} // namespace cove
