#include "traffic/traffic.h"

#include "traffic/traffic_func.h"

#include <algorithm>

namespace cove {

namespace {

/// Window of the shift cap.
constexpr milliseconds cross_region_window{2000};
/// Targets to which a request tries in vain to connect. They cost no retry budget.
constexpr int max_unsent_attempts = 3;
constexpr double us_per_ms = 1000;
/// Time for an answer that the target sends at the deadline to arrive.
constexpr milliseconds timeout_grace{60};

request_identity identity_of(pending_request const& request)
{
    return {request.client, request.route->name.value, request.object};
}

/** @return whether a region is in both lists of home regions; an empty list means any region. */
bool share_region(std::vector<region_id> const& a, std::vector<region_id> const& b)
{
    return a.empty() || b.empty() || std::any_of(a.begin(), a.end(), [&b](region_id const& region) {
               return std::find(b.begin(), b.end(), region) != b.end();
           });
}

} // namespace

traffic::traffic(traffic_settings settings)
    : settings_(std::move(settings)), crashes_(settings_.crash_retention),
      retry_limiter_(settings_.retry_limits), sent_(cross_region_window),
      sent_cross_region_(cross_region_window)
{
}

traffic_effects traffic::reduce(traffic_event const& event, mono_time now)
{
    now_ = now;
    effects_.clear();
    std::visit([this](auto const& concrete) { on(concrete); }, event);
    if (auto changes = crashes_.take_changes(now_); !changes.empty()) {
        effects_.emplace_back(report_crashes{std::move(changes)});
    }
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
    request.allowed_until = now_ + std::min(event.deadline, event.route->timeout);
    request.expires = std::min(request.allowed_until, answers_due_.value_or(mono_time::max()));
    request.deadline = now_ + event.deadline;
    request.client = event.client;
    request.fingerprint = event.fingerprint;
    request.relayed = event.relayed;
    request.relayed_by = event.terms.relayed_by;
    request.workspace = event.terms.workspace;
    request.home_regions = event.terms.home_regions;
    request.home_elsewhere = !zone_allowed(request, settings_.zone);
    request.max_attempts = std::min(event.route->max_attempts,
                                    event.terms.attempts_left.value_or(event.route->max_attempts));
    auto const first_arrived = refused_requests_.take(identity_of(request), now_);
    request.elapsed_before = first_arrived ? now_ - *first_arrived : microseconds{0};
    request.place = place_of(event, request);
    request.place.client_retry = first_arrived.has_value();
    if (crashes_.blocked(event.fingerprint, now_)) {
        requests_.emplace(event.id, std::move(request));
        refuse(event.id, refusal::blocked, milliseconds{0});
        return;
    }
    if (!share_region(event.route->home_regions, request.home_regions)) {
        requests_.emplace(event.id, std::move(request));
        refuse(event.id, refusal::no_target, milliseconds{0});
        return;
    }
    if (request.max_attempts <= 0) {
        requests_.emplace(event.id, std::move(request));
        refuse(event.id, refusal::no_room, milliseconds{0});
        return;
    }
    retry_limiter_.add_request(event.service, now_);
    workspace_shares_[event.service].asked(request.place.priority, request.workspace, now_);
    update_share(request);
    if (event.route->sticky && !event.object.value.empty()) {
        object_balances_[event.service].use(short_hash(event.object), now_);
    }
    auto const added = requests_.emplace(event.id, std::move(request)).first;
    queues_[event.service].push_back(event.id);
    placement_round round = begin_round(event.service);
    count_waiting(round, event.service, &added->second);
    place(added->second, round);
}

void traffic::on(attempt_ended const& event)
{
    pending_request* const request = find_in_progress(event.attempt.id);
    record_end(event, request);
    note_crash(event);
    if (request == nullptr) {
        refuse_blocked();
        return;
    }
    service_id const service = request->service;
    after_end(*request, event);
    refuse_blocked();
    dispatch_queue(service);
}

/** Continues a request after its attempt in progress has ended. */
void traffic::after_end(pending_request& request, attempt_ended const& event)
{
    request.target.reset();
    request.tried.insert(event.attempt.target);
    if (event.end == attempt_end::succeeded || request.client_disconnected) {
        effects_.push_back(deliver_answer{request.id});
        remove_request(request.id);
    }
    else {
        after_failure(request, event);
    }
}

/** Records that the target ended while it ran the request, or that the request was completed. */
void traffic::note_crash(attempt_ended const& event)
{
    target_attempt const& attempt = event.attempt;
    if (event.end == attempt_end::succeeded) {
        crashes_.note_completed(attempt.fingerprint, now_);
    }
    else if (event.end == attempt_end::broken && event.target_ended &&
             targets_.contains(attempt.target)) {
        crashes_.note_end(attempt.fingerprint,
                          {attempt.target, attempt.incarnation, settings_.host}, now_);
    }
}

/** Ends the queued requests that have become blocked. Running ones may still acquit them all. */
void traffic::refuse_blocked()
{
    for (crash_record const& record : crashes_.take_blocked(now_)) {
        effects_.emplace_back(log_blocked_request{record});
        std::vector<request_id> queued;
        for (auto const& [id, request] : requests_) {
            if (request.fingerprint == record.fingerprint && !request.in_progress()) {
                queued.push_back(id);
            }
        }
        for (request_id const& id : queued) {
            refuse(id, refusal::blocked, milliseconds{0});
        }
    }
}

void traffic::on(crashes_reported const& event)
{
    crashes_.merge(event.records, now_);
    refuse_blocked();
}

void traffic::on(crash_retention_changed const& event)
{
    crashes_.set_retention(event.retention, now_);
}

void traffic::after_failure(pending_request& request, attempt_ended const& event)
{
    bool const not_run = event.end == attempt_end::refused ||
                         event.end == attempt_end::wrong_target ||
                         event.end == attempt_end::not_connected;
    if (event.end == attempt_end::not_connected) {
        --request.attempts; // nothing reached the target
        ++request.unsent_attempts;
    }
    request.may_have_run = request.may_have_run || !not_run;
    if (crashes_.blocked(request.fingerprint, now_)) {
        refuse(request.id, refusal::blocked, milliseconds{0});
        return;
    }
    if (event.end == attempt_end::not_connected && request.unsent_attempts <= max_unsent_attempts &&
        now_ < request.expires) {
        queues_[request.service].push_back(request.id);
        return;
    }
    if ((not_run || request.route->idempotent) && retry(request)) {
        return;
    }
    if (event.end == attempt_end::failed) {
        effects_.push_back(deliver_answer{request.id});
        remove_request(request.id);
        return;
    }
    refuse(request.id, not_run ? refusal::no_room : refusal::lost_answer, milliseconds{0});
}

bool traffic::retry(pending_request& request)
{
    if (request.attempts >= request.max_attempts || now_ >= request.expires) {
        return false;
    }
    if (!retry_limiter_.take(request.service, hosts_in_total_, now_)) {
        return false;
    }
    queues_[request.service].push_back(request.id);
    return true;
}

/**
 * Records what an end says of its target and of the links. It holds whether or not a request still
 * waits for it.
 * @param request whose attempt in progress has ended; null if it has left the target before.
 */
void traffic::record_end(attempt_ended const& event, pending_request const* request)
{
    auto const found = targets_.find(event.attempt.target);
    if (found == targets_.end()) {
        return;
    }
    target_state& target = found->second;
    record_links(event, target);
    if (target.entry().incarnation != event.attempt.incarnation) {
        target.attempt_cancelled(event.attempt.id); // it has started again since
    }
    else if (request == nullptr) {
        record_at_target(event, target, std::nullopt);
    }
    else {
        record_times(event, target, *request);
    }
}

void traffic::record_links(attempt_ended const& event, target_state const& target)
{
    if (event.end == attempt_end::not_connected) {
        reach_.connect_failed(target.short_hash(), now_);
    }
    else if (event.connect_time > microseconds{0}) {
        reach_.connected(now_);
    }
    if (event.end == attempt_end::not_connected || event.end == attempt_end::broken) {
        reach_.attempt_failed(target.short_hash(), now_);
    }
    else {
        reach_.attempt_answered(now_);
    }
    if (event.connect_time > microseconds{0} && target.entry().zone != settings_.zone) {
        double const connect_ms = as_ms(event.connect_time);
        rtt_ms_.try_emplace(target.entry().zone, mean_sample_weight, connect_ms)
            .first->second.add(connect_ms);
    }
}

void traffic::record_at_target(attempt_ended const& event, target_state& target,
                               std::optional<double> time_ratio)
{
    service_id const& service = target.entry().service;
    target.attempt_ended(event, time_ratio, service_settings_[service].cold_period, now_);
    if (event.notice && event.notice->leaving &&
        left_targets_.note(event.attempt.target, event.attempt.incarnation, now_)) {
        object_balances_[service].targets_changed();
    }
    if (target.limit_to_report(now_)) {
        limited_.insert(target.short_hash());
    }
}

/** Records the time that an attempt took, beside the rest that its end says. */
void traffic::record_times(attempt_ended const& event, target_state& target,
                           pending_request const& request)
{
    bool const was_cold = target.cold(now_);
    double const connect_ms = as_ms(event.connect_time);
    double const elapsed_ms =
        std::max(0.1, as_ms(now_ - request.sent) - connect_ms - request.rtt_ms);
    route_time& times = service_times_.of(*request.route);
    bool const has_affinity = request.route->sticky && !request.object.value.empty();
    double const slowness = target.slowness(now_);
    bool const was_warm = has_affinity && elapsed_ms / slowness * elapsed_ms / slowness <
                                              times.warm.value() * times.cold.value();
    double const expected_ms = was_warm ? times.warm.value() : times.cold.value();
    record_at_target(event, target, elapsed_ms / std::max(0.1, expected_ms));
    bool const queued_at_target = event.load && event.load->waiting > 0;
    if (event.end != attempt_end::succeeded) {
        return;
    }
    service_times_.add_sample(request.service, elapsed_ms);
    times.note(elapsed_ms + connect_ms + request.rtt_ms);
    if (was_cold || queued_at_target) {
        return; // start-up or queueing time hides whether the object was warm
    }
    (was_warm ? times.warm : times.cold).add(elapsed_ms / slowness);
    if (has_affinity && request.object_age) {
        warm_windows_[request.service].observe(*request.object_age, was_warm);
    }
    else if (has_affinity && request.rank == 0) {
        preferred_hit_rates_
            .try_emplace(request.service, mean_sample_weight, initial_preferred_hit_rate)
            .first->second.add(was_warm ? 1 : 0);
    }
}

void traffic::on(client_disconnected const& event)
{
    auto const found = requests_.find(event.id);
    if (found == requests_.end()) {
        return;
    }
    pending_request& request = found->second;
    if (request.in_progress() && !request.route->idempotent && !event.unsent) {
        request.client_disconnected = true; // it cannot be retried, so cancelling it has no use
        return;
    }
    service_id const service = request.service;
    if (request.in_progress()) {
        abandon_send(request, withdrawal::client_left);
    }
    remove_request(event.id);
    dispatch_queue(service);
}

void traffic::on(targets_listed const& event)
{
    std::set<target_id> listed;
    for (target_entry const& entry : event.entries) {
        listed.insert(entry.id);
        put_target(entry);
    }
    std::erase_if(targets_, [&listed](auto const& item) { return !listed.contains(item.first); });
    index_targets();
    dispatch_all_queues();
}

void traffic::on(targets_changed const& event)
{
    bool index_outdated = false;
    for (target_id const& id : event.removed) {
        index_outdated = targets_.erase(id) > 0 || index_outdated;
    }
    for (target_entry const& entry : event.updated) {
        index_outdated = put_target(entry) || index_outdated;
        if (auto const found = object_balances_.find(entry.service);
            found != object_balances_.end()) {
            found->second.targets_changed();
        }
    }
    if (index_outdated) {
        index_targets();
    }
    dispatch_all_queues();
}

/** Adds or updates a target. @return whether index_targets() is needed. */
bool traffic::put_target(target_entry const& entry)
{
    auto const [found, inserted] = targets_.try_emplace(entry.id, entry, now_);
    target_state& target = found->second;
    if (inserted) {
        // The store may return from an older copy, which lists a target as serving again.
        if (left_targets_.contains(entry.id, entry.incarnation)) {
            target.set_said_leaving();
        }
        return true;
    }
    bool const moved = target.entry().service != entry.service || target.entry().zone != entry.zone;
    if (target.entry() != entry) {
        target.update(entry, now_);
    }
    return moved;
}

void traffic::index_targets()
{
    targets_by_service_.clear();
    targets_by_hash_.clear();
    ++list_version_;
    for (auto& [id, target] : targets_) {
        service_targets& targets = targets_by_service_[target.entry().service];
        (target.entry().zone == settings_.zone ? targets.local : targets.remote).push_back(&target);
        targets_by_hash_[target.short_hash()] = &target;
    }
    for (auto& [id, request] : requests_) {
        request.queued_for = nullptr; // may have been removed
        request.placed = {};
    }
    for (auto& [service, balance] : object_balances_) {
        balance.targets_changed();
    }
}

/** Spreads the objects of each service over the targets of this zone, if they have changed. */
void traffic::balance_objects()
{
    for (auto& [service, balance] : object_balances_) {
        if (!balance.assignment_due(now_)) {
            continue;
        }
        std::vector<balance_target> targets;
        for (target_state const* const target : targets_by_service_[service].local) {
            if (!target->leaving()) {
                targets.push_back({target->id_hash(), std::max(1, target->entry().slots)});
            }
        }
        balance.assign(targets, now_);
        ++list_version_;
    }
}

std::vector<service_objects> traffic::announcements(milliseconds window, mono_time now) const
{
    std::vector<service_objects> out;
    for (auto const& [service, balance] : object_balances_) {
        if (auto objects = balance.announcements(window, now); !objects.empty()) {
            out.push_back({service, std::move(objects)});
        }
    }
    return out;
}

void traffic::dispatch_all_queues()
{
    for (auto const& [service, queue] : std::map(queues_)) {
        dispatch_queue(service);
    }
}

void traffic::on(evacuations_listed const& event)
{
    for (auto& [id, target] : targets_) {
        zone_id const& zone = target.entry().zone;
        if (evacuated_zones_.contains(zone) && !event.zones.contains(zone)) {
            target.assume_cold(service_settings_[target.entry().service].cold_period, now_);
        }
    }
    evacuated_zones_ = event.zones;
}

void traffic::on(services_listed const& event)
{
    service_settings_ = event.services;
}

void traffic::on(peers_reported const& event)
{
    hosts_in_zone_ = event.hosts_in_zone;
    zone_peers_known_ = event.zone_peers_known;
    hosts_in_total_ = std::max(1, event.hosts_in_total);
    remote_quotas_.clear();
    for (remote_quota const& quota : event.remote_quotas) {
        remote_quotas_[{quota.zone, quota.service}] = quota.requests;
    }
    auto const set_running = [this](std::uint32_t hash, int count) {
        if (auto const found = targets_by_hash_.find(hash); found != targets_by_hash_.end()) {
            found->second->peers_running(count, now_);
        }
    };
    for (std::uint32_t const hash : used_by_peers_) {
        if (!event.in_flight_by_target.contains(hash)) {
            set_running(hash, 0);
        }
    }
    std::erase_if(limited_, [this](std::uint32_t hash) {
        auto const found = targets_by_hash_.find(hash);
        return found == targets_by_hash_.end() || !found->second->limit_to_report(now_);
    });
    for (auto const& [hash, limit] : event.limits) {
        if (auto const found = targets_by_hash_.find(hash); found != targets_by_hash_.end()) {
            found->second->limit_reported(limit);
        }
    }
    for (service_objects const& announced : event.objects) {
        object_balances_[announced.service].merge(announced.objects, now_);
    }
    balance_objects();
    relays_ = event.relays;
    stopping_hosts_ = event.stopping_hosts;
    used_by_peers_.clear();
    for (auto const& [hash, count] : event.in_flight_by_target) {
        set_running(hash, count);
        used_by_peers_.push_back(hash);
    }
    if (reach_.cut_off()) {
        dispatch_all_queues(); // to hosts that can carry the requests now
    }
}

/**
 * Limits the requests that no target has yet to the time until the stop. Those that run keep
 * theirs; what still runs at the stop is answered then.
 */
void traffic::on(stop_announced const& event)
{
    answers_due_ = event.answers_due;
    stop_announced_ = now_;
    for (auto& [id, request] : requests_) {
        if (!request.in_progress()) {
            request.expires = std::min(request.expires, event.answers_due);
        }
    }
    dispatch_all_queues();
}

void traffic::on(timer_tick const& /*event*/)
{
    std::vector<request_id> running;
    for (auto const& [id, request] : requests_) {
        if (request.in_progress()) {
            running.push_back(id);
        }
    }
    for (request_id const& id : running) {
        check_attempt(requests_.at(id));
    }
    start_probes();
    dispatch_all_queues();
}

/** Refuses a timed-out request; retries an idempotent one whose answer is probably lost. */
void traffic::check_attempt(pending_request& request)
{
    constexpr double lost_answer_factor = 3;     // answers that are this late are mostly lost
    constexpr double lost_answer_floor_ms = 200; // shorter delays also occur on hosts short of CPU
    constexpr double late_answer_factor = 2;     // so late, the link may be cut; probes tell
    constexpr double late_answer_floor_ms = 250;
    if (now_ >= request.expires + timeout_grace) {
        abandon_send(request, withdrawal::time_limit);
        refuse(request.id, refusal::gave_up, milliseconds{0});
        return;
    }
    if (answers_due_ && now_ >= *answers_due_ && request.expires > *answers_due_) {
        abandon_send(request, withdrawal::stop);
        refuse(request.id, refusal::lost_answer, milliseconds{0});
        return;
    }
    double const waited = as_ms(now_ - request.sent);
    if (request.relaying) {
        return;
    }
    auto const target = targets_.find(*request.target);
    if (target != targets_.end() &&
        waited >= std::max(late_answer_floor_ms, late_answer_factor * request.expected_ms)) {
        reach_.attempt_failed(target->second.short_hash(), now_);
    }
    // The target may have evicted an object that this host takes for warm.
    double const longest_expected = std::max(
        request.expected_ms, service_times_.of(*request.route).expected(0) + request.rtt_ms);
    if (!request.route->idempotent ||
        waited < std::max(lost_answer_floor_ms, lost_answer_factor * longest_expected)) {
        return;
    }
    retry_on_other_target(request);
}

/** Moves an idempotent request to another target if one can take it immediately. */
void traffic::retry_on_other_target(pending_request& request)
{
    if (!may_be_sent_again(request)) {
        return;
    }
    target_id const previous = *request.target;
    request.tried.insert(previous);
    placement_round round = begin_round(request.service);
    count_waiting(round, request.service);
    for (placement_option const& option : local_options(request, round)) {
        bool const is_previous = option.candidate->target->entry().id == previous;
        if (is_previous ||
            !option.candidate->target->can_send(rates_for(*option.candidate->target), now_)) {
            continue;
        }
        if (withdraw_to_send_again(request, withdrawal::overdue)) {
            send(request, option);
        }
        return;
    }
}

/**
 * @return whether a running request may be withdrawn to send it again. It stays where it runs while
 * this host, or the one that relays it, stops: if no other target takes it, nothing is left to
 * answer it with.
 */
bool traffic::may_be_sent_again(pending_request const& request) const
{
    return !answers_due_ && !relaying_host_stops(request) && request.route->idempotent &&
           request.attempts < request.max_attempts && !crashes_.blocked(request.fingerprint, now_);
}

/**
 * Withdraws a running request that is sent again; the only function to do that before its time is
 * over. @return whether it was withdrawn.
 */
bool traffic::withdraw_to_send_again(pending_request& request, withdrawal reason)
{
    if (!may_be_sent_again(request) ||
        !retry_limiter_.take(request.service, hosts_in_total_, now_)) {
        return false;
    }
    abandon_send(request, reason);
    request.may_have_run = true;
    return true;
}

void traffic::remove_request(request_id id)
{
    auto const found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    std::erase(queues_[found->second.service], id);
    requests_.erase(found);
}

/** @return the request whose send in progress is @p id; null if that send was cancelled. */
pending_request* traffic::find_in_progress(send_id const& id)
{
    auto const found = requests_.find(id.request);
    bool const current =
        found != requests_.end() && found->second.in_progress() && found->second.last_send() == id;
    return current ? &found->second : nullptr;
}

/** Cancels the send in progress, so that the request can be sent again or be answered. */
void traffic::abandon_send(pending_request& request, withdrawal reason)
{
    auto const since = [this](std::optional<mono_time> start) -> std::optional<milliseconds> {
        return start ? std::optional(std::chrono::duration_cast<milliseconds>(now_ - *start))
                     : std::nullopt;
    };
    effects_.push_back(cancel_attempt{request.last_send(), reason, *since(request.sent),
                                      since(stop_announced_), since(cut_off_since_)});
    if (request.target) {
        if (auto const found = targets_.find(*request.target); found != targets_.end()) {
            found->second.attempt_cancelled(request.last_send());
        }
    }
    request.target.reset();
    request.relaying = false;
}

void traffic::refuse(request_id id, refusal reason, milliseconds until_slot_free)
{
    pending_request const& request = requests_.at(id);
    bool const claims_not_run = reason == refusal::no_room || reason == refusal::no_target;
    if (request.may_have_run && claims_not_run) {
        reason = refusal::lost_answer;
    }
    auto const left = std::chrono::duration_cast<milliseconds>(request.expires - now_);
    if (reason == refusal::no_room || reason == refusal::no_target) {
        refused_requests_.add(identity_of(request), request.arrived - request.elapsed_before,
                              request.deadline);
    }
    effects_.push_back(answer_locally{
        id, reason, retry_after_.next(until_slot_free, std::max(left, milliseconds{0})),
        request.attempts, std::chrono::duration_cast<milliseconds>(now_ - request.arrived)});
    remove_request(id);
}

/** @return the place in the queue of a request whose times are set. */
queue_place traffic::place_of(request_arrived const& event, pending_request const& request)
{
    // Whether the object is warm at the target is open until the request is placed.
    route_time const& times = service_times_.of(*event.route);
    double const expected_ms = std::min(times.expected(0), times.expected(1));
    queue_place place;
    place.priority = event.terms.priority.value_or(event.route->priority);
    place.latest_start = request.arrived - request.elapsed_before + event.route->objective -
                         microseconds(static_cast<std::int64_t>(expected_ms * us_per_ms));
    place.sequence = event.id.value;
    return place;
}

/** Notes whether the workspace of a queued request has had its share by now. */
void traffic::update_share(pending_request& request)
{
    request.place.beyond_share =
        workspace_shares_[request.service].beyond(request.place.priority, request.workspace, now_);
}

std::map<std::uint32_t, rate_limit_notice> traffic::limits(mono_time now) const
{
    std::map<std::uint32_t, rate_limit_notice> out;
    for (std::uint32_t const hash : limited_) {
        auto const found = targets_by_hash_.find(hash);
        auto const limit =
            found == targets_by_hash_.end() ? std::nullopt : found->second->limit_to_report(now);
        if (limit) {
            out.emplace(hash, *limit);
        }
    }
    return out;
}

std::vector<service_load_report> traffic::loads(mono_time now) const
{
    std::vector<service_load_report> out;
    for (auto const& [service, targets] : targets_by_service_) {
        service_load_report load;
        load.service = service;
        for (target_state const* const target : targets.local) {
            if (!target->leaving() && !target->cold(now) &&
                !evacuated_zones_.contains(settings_.zone)) {
                load.listed += usable_slots(*target);
            }
            if (target->accepts(now) && !target->cold(now) &&
                !evacuated_zones_.contains(settings_.zone)) {
                load.slots += usable_slots(*target);
                load.busy += target->load(now);
            }
        }
        auto const queue = queues_.find(service);
        load.waiting = queue == queues_.end() ? 0 : static_cast<int>(queue->second.size());
        out.push_back(load);
    }
    return out;
}

std::size_t traffic::queued_requests() const
{
    std::size_t count = 0;
    for (auto const& [service, queue] : queues_) {
        count += queue.size();
    }
    return count;
}

std::map<std::uint32_t, int> traffic::in_flight_by_target(mono_time now) const
{
    std::map<std::uint32_t, int> out;
    for (auto const& [id, request] : requests_) {
        auto const found = request.target ? targets_.find(*request.target) : targets_.end();
        if (found == targets_.end() || out.contains(found->second.short_hash())) {
            continue;
        }
        if (int const count = found->second.own_load(now); count > 0) {
            out[found->second.short_hash()] = count;
        }
    }
    return out;
}

} // namespace cove
