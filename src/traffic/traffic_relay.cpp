/** @file The part of the traffic reducer that lets other hosts carry requests. */

#include "core/hash_func.h"
#include "traffic/traffic.h"

#include <algorithm>

namespace cove {

namespace {

constexpr std::size_t probes_per_round = 4;
constexpr std::size_t max_relays = 2; ///< hosts that are asked to carry one request

} // namespace

/** Starts a round of probes if one is due, spread over the targets of all services and zones. */
void traffic::start_probes()
{
    if (!reach_.probes_due(targets_.size(), now_)) {
        return;
    }
    std::size_t const count = std::min(probes_per_round, targets_.size());
    reach_.probes_started(count, now_);
    std::size_t const step = targets_.size() / count;
    for (std::size_t i = 0; i < count; ++i) {
        auto const position = (next_probed_ + i * step) % targets_.size();
        auto const probed = std::next(targets_.begin(), static_cast<std::ptrdiff_t>(position));
        effects_.emplace_back(probe_target{probed->first, probed->second.entry().address});
    }
    ++next_probed_;
}

void traffic::on(probe_ended const& event)
{
    reach_.received(event.last_received);
    bool const changed = reach_.probe_ended(event.reached, now_, event.timed_out);
    if (reach_.round_ended()) {
        effects_.emplace_back(links_probed{reach_.round(now_)});
    }
    if (!changed) {
        return;
    }
    // What failed was not the targets.
    for (auto& [id, target] : targets_) {
        target.forgive(now_);
    }
    cut_off_since_ = reach_.cut_off() ? std::optional(now_) : std::nullopt;
    effects_.emplace_back(links_changed{reach_.cut_off()});
    if (reach_.cut_off()) {
        move_running_to_relays(); // the next report names the hosts that carry them
        return;
    }
    dispatch_all_queues();
}

/** Queues again the running requests that may run twice, so that other hosts carry them. */
void traffic::move_running_to_relays()
{
    for (auto& [id, request] : requests_) {
        if (request.target && !request.relayed &&
            withdraw_to_send_again(request, withdrawal::cut_off)) {
            queues_[request.service].push_back(id);
        }
    }
}

bool traffic::has_homes_elsewhere(routing_config const& config) const
{
    auto const elsewhere = [this](auto const& item) {
        return !is_home(item.home_regions, settings_.zone);
    };
    return std::any_of(config.routes.begin(), config.routes.end(), elsewhere) ||
           std::any_of(config.workspaces.begin(), config.workspaces.end(), elsewhere);
}

/** @return whether the host that relays the request, if another one does, is shutting down. */
bool traffic::relaying_host_stops(pending_request const& request) const
{
    return request.relayed && stopping_hosts_.contains(request.relayed_by);
}

bool traffic::wants_relay(pending_request const& request) const
{
    constexpr double range = 18446744073709551616.0; // 2^64
    double const share = reach_.relay_share(now_);
    double const place = static_cast<double>(stable_hash(request.id.value, 0)) / range;
    return !request.relayed && place < share && choose_relay(request) != nullptr;
}

/**
 * @return the nearest host that may carry the request and was not asked yet, or null. There is none
 * if no attempts are left.
 */
relay_host const* traffic::choose_relay(pending_request const& request) const
{
    if (request.relays.size() >= max_relays || request.attempts >= request.max_attempts) {
        return nullptr;
    }
    relay_host const* best = nullptr;
    std::pair<int, std::uint64_t> best_rank;
    for (relay_host const& host : relays_) {
        if (!zone_allowed(request, host.zone) || request.relays.contains(host.address)) {
            continue;
        }
        int const distance = host.zone == settings_.zone ? 0 : (in_other_region(host.zone) ? 2 : 1);
        std::pair const rank{distance, stable_hash(host.address, request.id.value)};
        if (best == nullptr || rank < best_rank) {
            best = &host;
            best_rank = rank;
        }
    }
    return best;
}

/** Lets another host carry a queued request. @return whether there is such a host. */
bool traffic::relay(pending_request& request)
{
    relay_host const* const host = choose_relay(request);
    if (host == nullptr) {
        return false;
    }
    std::erase(queues_[request.service], request.id);
    request.relaying = true;
    ++request.sends.value;
    request.relays.insert(host->address);
    request.queued_for = nullptr;
    request.sent = now_;
    count_sent(request, host->zone);
    effects_.emplace_back(
        relay_request{request.last_send(), host->address,
                      std::chrono::duration_cast<milliseconds>(request.expires - now_),
                      request.route->idempotent, request.max_attempts - request.attempts});
    return true;
}

void traffic::on(relay_ended const& event)
{
    pending_request* const found = find_in_progress(event.id);
    if (found == nullptr) {
        return; // the relay was cancelled before
    }
    pending_request& request = *found;
    request.relaying = false;
    if (event.end == relay_end::answered || request.client_disconnected) {
        effects_.push_back(deliver_answer{request.id});
        remove_request(request.id);
        return;
    }
    bool const may_have_run = event.end == relay_end::broken;
    request.may_have_run = request.may_have_run || may_have_run;
    if (may_have_run) {
        request.attempts = request.max_attempts; // the other host may have used all of them
    }
    // What may have run cannot be refused as not run, so it takes every chance to be answered.
    bool const may_begin = request.may_have_run || ends_before_stop(request);
    if (now_ < request.expires && may_begin && choose_relay(request) != nullptr) {
        relay(request);
    }
    else if (event.end == relay_end::refused && !request.may_have_run) {
        effects_.push_back(deliver_answer{request.id}); // with the time to come back
        remove_request(request.id);
    }
    else {
        refuse(request.id, refusal::no_room, milliseconds{0});
    }
}

} // namespace cove
