/** @file Placement in the traffic reducer: sends, queues or refuses requests. */

#include "traffic/traffic.h"

#include "core/hash_func.h"
#include "traffic/traffic_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double ms_per_second = 1000;
constexpr double us_per_ms = 1000;
/// Queued requests that are compared with the targets in one turn of the loop.
constexpr std::size_t max_placed_per_turn = 32;
/// Interval at which a queue that is not longer is placed as a whole.
constexpr milliseconds placement_interval{20};

} // namespace

/**
 * Places the queued requests of a service, first those that come first. The work is bounded
 * whatever the length of the queue: requests whose target has a free slot are placed, the others in
 * turn.
 */
void traffic::dispatch_queue(service_id const& service)
{
    refuse_expired(service);
    auto& queue = queues_[service];
    if (queue.empty()) {
        return;
    }
    sort_queue(queue);
    placement_round round = begin_round(service);
    // A short queue is placed as a whole each time.
    auto const rounds = static_cast<int>(queue.size() / max_placed_per_turn);
    microseconds const pause = placement_interval * rounds;
    std::size_t placed = 0;
    for (request_id const& id : std::vector(queue)) {
        pending_request& request = requests_.at(id);
        auto const position = round.position.find(request.queued_for);
        placement_candidate* const awaited =
            position == round.position.end() ? nullptr : &round.local[position->second];
        bool const has_room = awaited != nullptr && !awaited->full();
        bool const due = has_room || now_ >= request.placed + pause;
        if (due && placed < max_placed_per_turn) {
            ++placed;
            request.queued_for = nullptr;
            place(request, round);
        }
        else if (awaited != nullptr) {
            awaited->queued += 1;
        }
    }
}

/** Refuses the queued requests of a service whose time is over. */
void traffic::refuse_expired(service_id const& service)
{
    std::vector<request_id> expired;
    for (request_id const& id : queues_[service]) {
        if (now_ >= requests_.at(id).expires) {
            expired.push_back(id);
        }
    }
    for (request_id const& id : expired) {
        refuse(id, refusal::no_room, milliseconds{0});
    }
}

void traffic::sort_queue(std::vector<request_id>& queue)
{
    std::vector<pending_request const*> order;
    order.reserve(queue.size());
    for (request_id const& id : queue) {
        pending_request& request = requests_.at(id);
        update_share(request);
        order.push_back(&request);
    }
    std::sort(order.begin(), order.end(), [this](auto const* a, auto const* b) {
        return comes_before(a->place, b->place, now_);
    });
    std::transform(order.begin(), order.end(), queue.begin(),
                   [](auto const* request) { return request->id; });
}

bool traffic::is_home(std::vector<region_id> const& home_regions, zone_id const& zone) const
{
    auto const region = settings_.regions.find(zone);
    return home_regions.empty() ||
           (region != settings_.regions.end() && std::find(home_regions.begin(), home_regions.end(),
                                                           region->second) != home_regions.end());
}

/** @return whether @p zone is in the home regions of the route and of the workspace. */
bool traffic::zone_allowed(pending_request const& request, zone_id const& zone) const
{
    return is_home(request.route->home_regions, zone) && is_home(request.home_regions, zone);
}

bool traffic::in_other_region(zone_id const& zone) const
{
    auto const own = settings_.regions.find(settings_.zone);
    auto const other = settings_.regions.find(zone);
    return own == settings_.regions.end() || other == settings_.regions.end() ||
           own->second != other->second;
}

/**
 * Counts a request that is sent to @p zone for the shift cap. Those of other home regions always
 * leave this region, so they shift nothing.
 */
void traffic::count_sent(pending_request const& request, zone_id const& zone)
{
    if (request.home_elsewhere) {
        return;
    }
    sent_.add(now_);
    if (in_other_region(zone)) {
        sent_cross_region_.add(now_);
    }
}

/**
 * Keeps the part of the requests that leaves the region so small that it can come and go without
 * exceeding the shift cap. The other half of the cap is left to the look-ups. Requests of other
 * home regions are outside the cap.
 */
bool traffic::cross_region_allowed(pending_request const& request, placement_round const& round)
{
    constexpr double share_of_cap = 0.5;
    if (request.home_elsewhere || round.local.empty()) {
        return true; // the latter: the zone has lost its targets
    }
    auto const sent = static_cast<double>(sent_.count(now_) + 1);
    return static_cast<double>(sent_cross_region_.count(now_) + 1) <=
           share_of_cap * settings_.shift_cap * sent;
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
 * Divides the rates of a target among the hosts of the zone: the one that protects it after a start
 * and the limit that it names. Hosts of other zones send nothing to such targets. All hosts derive
 * the same parts without coordination messages.
 */
send_rates traffic::rates_for(target_state const& target) const
{
    if (!zone_peers_known_) {
        return {};
    }
    auto const settings = service_settings_.find(target.entry().service);
    double const cold =
        settings == service_settings_.end() ? 1 : std::max(1.0, settings->second.cold_rate);
    auto const part = [&](double rate) {
        return rate_part(rate, settings_.host, hosts_in_zone_, target.id_hash());
    };
    return {target.cold(now_) ? part(cold) : 0, target.limit() ? part(*target.limit()) : 0};
}

/** @return the slots of a target that can be in use at once within the limit that it names. */
double traffic::usable_slots(target_state const& target) const
{
    double const mean_seconds = service_times_.mean(target.entry().service) / ms_per_second;
    double const slots = target.entry().slots;
    if (!target.limit() || mean_seconds <= 0) {
        return slots;
    }
    return std::min(slots, *target.limit() * mean_seconds);
}

/** Takes a snapshot of the local targets for all requests that are placed in this round. */
placement_round traffic::begin_round(service_id const& service)
{
    placement_round round;
    double slots = 0;
    double busy = 0;
    auto const& local = targets_by_service_[service].local;
    for (std::size_t i = 0; i < local.size(); ++i) {
        if (!local[i]->accepts(now_) || evacuated_zones_.contains(settings_.zone)) {
            continue;
        }
        round.position.emplace(local[i], round.local.size());
        round.local.push_back(make_candidate(*local[i], now_));
        round.local_index.push_back(i);
        slots += round.local.back().slots;
        busy += round.local.back().load;
    }
    round.slot_time_weight =
        slots > 0 ? (busy + static_cast<double>(queues_[service].size())) / slots : 0;
    return round;
}

/** Counts the queued requests, or those that come @p before another one, at their targets. */
void traffic::count_waiting(placement_round& round, service_id const& service,
                            pending_request const* before) const
{
    auto const queue = queues_.find(service);
    if (queue == queues_.end()) {
        return;
    }
    for (request_id const& id : queue->second) {
        pending_request const& other = requests_.at(id);
        auto const position = round.position.find(other.queued_for);
        if (position != round.position.end() &&
            (before == nullptr || comes_before(other.place, before->place, now_))) {
            round.local[position->second].queued += 1;
        }
    }
}

/** Adds the targets of other zones in which this host has quota left. */
void traffic::collect_remote_candidates(placement_round& round, service_id const& service)
{
    if (round.remote_collected) {
        return;
    }
    round.remote_collected = true;
    std::map<zone_id, bool> has_quota;
    for (target_state* const target : targets_by_service_[service].remote) {
        zone_id const& zone = target->entry().zone;
        auto const [known, fresh] = has_quota.try_emplace(zone, false);
        if (fresh) {
            auto const quota = remote_quotas_.find({zone, service});
            known->second = quota != remote_quotas_.end() && !evacuated_zones_.contains(zone) &&
                            remote_running(zone, service) < quota->second;
        }
        if (!known->second || target->cold(now_) || !target->accepts(now_)) {
            continue;
        }
        placement_candidate candidate = make_candidate(*target, now_);
        auto const rtt = rtt_ms_.find(zone);
        candidate.rtt_ms = rtt == rtt_ms_.end() ? 0 : rtt->second.value();
        round.remote.push_back(candidate);
    }
}

std::vector<placement_option> traffic::rank(pending_request& request, placement_round const& round,
                                            std::vector<placement_candidate>& candidates,
                                            std::vector<std::size_t> const& ranks)
{
    ++ranked_requests_;
    request.placed = now_;
    auto const hits =
        preferred_hit_rates_
            .try_emplace(request.service, mean_sample_weight, initial_preferred_hit_rate)
            .first;
    double const mean = service_times_.mean(request.service);
    placement_query const query{*request.route,
                                request.object,
                                round.slot_time_weight,
                                mean > 0 ? mean : service_times_.of(*request.route).expected(0),
                                warm_windows_[request.service].length(),
                                hits->second.value()};
    auto options = rank_targets(query, service_times_.of(*request.route), candidates, ranks);
    std::erase_if(options, [&](placement_option const& option) {
        return !zone_allowed(request, option.candidate->target->entry().zone);
    });
    auto const untried = [&](placement_option const& option) {
        return !request.tried.contains(option.candidate->target->entry().id);
    };
    // Targets that were already tried are used only if there is no other.
    if (std::any_of(options.begin(), options.end(), untried)) {
        std::erase_if(options, [&](auto const& option) { return !untried(option); });
    }
    if (crashes_.suspected(request.fingerprint, now_)) {
        keep_suspects_apart(request, options);
    }
    return options;
}

/**
 * Leaves the targets that run no other suspect and orders them by a hash of the request, so that
 * requests that were beside a fatal one do not follow it to the next target.
 */
void traffic::keep_suspects_apart(pending_request const& request,
                                  std::vector<placement_option>& options) const
{
    std::set<target_id> with_suspect;
    for (auto const& [id, other] : requests_) {
        if (other.target && id != request.id && crashes_.suspected(other.fingerprint, now_)) {
            with_suspect.insert(*other.target);
        }
    }
    auto const free = [&](placement_option const& option) {
        return !with_suspect.contains(option.candidate->target->entry().id) &&
               !option.candidate->full();
    };
    if (std::none_of(options.begin(), options.end(), free)) {
        return;
    }
    std::erase_if(options, [&](placement_option const& option) { return !free(option); });
    auto const order = [&](placement_option const& option) {
        return stable_hash(option.candidate->target->id_hash(), request.fingerprint.value);
    };
    std::sort(options.begin(), options.end(),
              [&](auto const& a, auto const& b) { return order(a) < order(b); });
}

std::vector<placement_option> traffic::local_options(pending_request& request,
                                                     placement_round& round)
{
    bool const has_affinity = request.route->sticky && !request.object.value.empty();
    std::vector<std::size_t> ranks;
    if (has_affinity) {
        if (request.order_version != list_version_) {
            request.order = object_order(
                request.object, targets_by_service_[request.service].local,
                object_balances_[request.service].moved_to(short_hash(request.object)));
            request.order_version = list_version_;
        }
        for (std::size_t const index : round.local_index) {
            ranks.push_back(request.order[index]);
        }
    }
    return rank(request, round, round.local, ranks);
}

std::vector<placement_option> traffic::remote_options(pending_request& request,
                                                      placement_round& round)
{
    collect_remote_candidates(round, request.service);
    bool const has_affinity = request.route->sticky && !request.object.value.empty();
    std::vector<std::size_t> ranks;
    if (has_affinity) {
        std::vector<target_state*> targets;
        for (placement_candidate const& candidate : round.remote) {
            targets.push_back(candidate.target);
        }
        ranks = object_order(request.object, targets);
    }
    return rank(request, round, round.remote, ranks);
}

/**
 * @return whether the request ends before this host stops, by its own limit or by twice the time
 * that few requests of its route exceed.
 */
bool traffic::ends_before_stop(pending_request const& request)
{
    constexpr double margin_factor = 2; // over times that are rarely exceeded
    if (!answers_due_ || request.allowed_until <= *answers_due_) {
        return true;
    }
    auto const slow = service_times_.of(*request.route).slow();
    return slow &&
           now_ + microseconds(static_cast<std::int64_t>(margin_factor * *slow * us_per_ms)) <=
               *answers_due_;
}

/**
 * @return whether a stopping host tries a request as long as there is time: it may have run, so
 * that it cannot be refused as not run, and came before the stop was announced.
 */
bool traffic::must_be_tried(pending_request const& request) const
{
    return stop_announced_ && request.may_have_run && request.arrived <= *stop_announced_;
}

/** Sends a queued request, leaves it in the queue, or refuses it. */
void traffic::place(pending_request& request, placement_round& round)
{
    if (!must_be_tried(request) && !ends_before_stop(request)) {
        refuse(request.id, refusal::no_room, milliseconds{0});
        return;
    }
    request.expires = std::min(request.expires, answers_due_.value_or(mono_time::max()));
    if (wants_relay(request) && relay(request)) {
        return;
    }
    placement_option const* queued_for = nullptr;
    auto const local = local_options(request, round);
    for (placement_option const& option : local) {
        if (option.candidate->target->can_send(rates_for(*option.candidate->target), now_)) {
            send(request, option);
            return;
        }
        if (option.candidate->full()) {
            queued_for = &option; // waiting for it is cheaper than the remaining options
            break;
        }
    }
    wait_or_refuse(request, round, queued_for);
}

/**
 * Handles a request that no local target can take now. It stays queued if it can still meet its
 * objective. Otherwise it is sent to another zone within the quota, or relayed to a host of its
 * home regions if this one is in none. Else it stays queued for a part of its time if it can be
 * answered before it expires, or is refused immediately.
 */
void traffic::wait_or_refuse(pending_request& request, placement_round& round,
                             placement_option const* queued_for)
{
    // A request that cannot meet its objective stays queued only if its total wait is expected to
    // be below this share of its time. With earlier refusals clients retried twice as often; with
    // later ones they had no time left to retry.
    constexpr double max_hold_share = 0.25;
    double const elapsed = as_ms(now_ - request.arrived + request.elapsed_before);
    double const objective = static_cast<double>(request.route->objective.count());
    double const wait = queued_for == nullptr ? 0 : queued_for->wait_ms;
    double const need = queued_for == nullptr ? 0 : wait + queued_for->service_ms;
    auto const keep_waiting = [&] {
        if (queued_for != nullptr) {
            queued_for->candidate->queued += 1;
            request.queued_for = queued_for->candidate->target;
        }
    };
    if (queued_for != nullptr && elapsed + need <= objective) {
        keep_waiting();
        return;
    }
    bool const may_leave_region = cross_region_allowed(request, round);
    for (placement_option const& option : remote_options(request, round)) {
        if (!may_leave_region && in_other_region(option.candidate->target->entry().zone)) {
            continue;
        }
        if (option.candidate->target->can_send({}, now_)) {
            send(request, option);
            round.remote_collected = false; // the quota of its zone may be used up
            round.remote.clear();
            return;
        }
    }
    // The hosts of its home regions know which of their targets have room, and can queue it.
    if (request.home_elsewhere && !request.relayed && relay(request)) {
        return;
    }
    if (must_be_tried(request)) {
        keep_waiting();
        return;
    }
    double const left = as_ms(request.expires - now_);
    double const held = as_ms(now_ - request.arrived);
    double const hold = (left + held) * max_hold_share;
    if (need <= left && held + wait < hold) {
        keep_waiting();
        return;
    }
    if (round.local.empty()) {
        refuse(request.id, refusal::no_target, pause_left(request.service));
        return;
    }
    refuse(request.id, refusal::no_room, milliseconds(static_cast<std::int64_t>(wait)));
}

/** @return the time until the first target of this zone that now takes no requests does. */
milliseconds traffic::pause_left(service_id const& service) const
{
    std::optional<milliseconds> shortest;
    auto const targets = targets_by_service_.find(service);
    if (targets == targets_by_service_.end()) {
        return milliseconds{0};
    }
    for (target_state const* const target : targets->second.local) {
        milliseconds const left = target->pause_left(now_);
        if (!target->leaving() && (!shortest || left < *shortest)) {
            shortest = left;
        }
    }
    return shortest.value_or(milliseconds{0});
}

void traffic::send(pending_request& request, placement_option const& option)
{
    std::erase(queues_[request.service], request.id);
    target_state& target = *option.candidate->target;
    target_entry const& entry = target.entry();
    request.target = entry.id;
    ++request.sends.value;
    request.queued_for = nullptr;
    request.sent = now_;
    auto const rtt = rtt_ms_.find(entry.zone);
    request.rtt_ms = rtt == rtt_ms_.end() ? 0 : rtt->second.value();
    request.expected_ms = option.service_ms;
    request.object_age = option.object_age;
    request.rank = option.rank;
    if (++request.attempts == 1) {
        workspace_shares_[request.service].served(request.place.priority, request.workspace, now_);
    }
    count_sent(request, entry.zone);
    target.attempt_sent(request.last_send(), request.object, option.service_ms, now_);
    option.candidate->load += 1;
    effects_.push_back(
        send_attempt{{request.last_send(), request.fingerprint, entry.id, entry.incarnation},
                     entry.service,
                     entry.address,
                     std::chrono::duration_cast<milliseconds>(request.expires - now_),
                     request.route->idempotent});
}

} // namespace cove
