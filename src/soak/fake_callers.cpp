#include "soak/fake_callers.h"

#include "lookup/lookup_answer.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds caller_delay{3};     ///< least delay of a request; the most is twice that
constexpr milliseconds max_think_time{400}; ///< longest time between two operations of a caller
constexpr milliseconds min_timeout{200};    ///< shortest timeout of a request
constexpr milliseconds max_timeout{1200};   ///< longest timeout of a request
constexpr milliseconds answer_grace{300};   ///< after the timeout, until a caller gives up
constexpr milliseconds max_duplicate_delay{
    60};                                ///< longest delay of a duplicate after the first request
constexpr seconds max_repeat_delay{60}; ///< longest delay of a repeat after the answer
constexpr int max_requests_per_operation = 5;

} // namespace

fake_callers::fake_callers(scheduler& time, random_source& random, fleet& nodes, audit& checks,
                           deployment config)
    : time_(time), random_(random), nodes_(nodes), checks_(checks), config_(std::move(config))
{
}

void fake_callers::add(zone_id const& zone, int count)
{
    for (int i = 0; i < count; ++i) {
        callers_.push_back({"c" + std::to_string(callers_.size()), zone, nullptr, {}});
        schedule_next_operation(callers_.size() - 1);
    }
}

void fake_callers::schedule_next_operation(std::size_t caller_index)
{
    time_.after(random_.between(milliseconds(1), max_think_time),
                [this, caller_index] { start_operation(caller_index); });
}

void fake_callers::refresh_lookup(caller& state)
{
    if (state.cached && time_.now() < state.cached_until) {
        return;
    }
    std::vector<std::shared_ptr<lookup_snapshot const>> in_zone;
    std::vector<std::shared_ptr<lookup_snapshot const>> all;
    for (fleet_host const& host : nodes_.hosts()) {
        if (!host.node || host.frozen || !host.published_lookup ||
            host.published_lookup->entries.empty()) {
            continue;
        }
        all.push_back(host.published_lookup);
        if (host.host_entry.zone == state.zone) {
            in_zone.push_back(host.published_lookup);
        }
    }
    if (all.empty()) {
        return;
    }
    state.cached = random_.pick(in_zone.empty() ? all : in_zone);
    state.cached_until = time_.now() + state.cached->lifetime;
}

std::vector<lookup_entry> fake_callers::entry_hosts_for(caller& state, service_id const& service)
{
    refresh_lookup(state);
    std::vector<lookup_entry> entries;
    if (!state.cached) {
        return entries;
    }
    prepared_lookup const answers(*state.cached, state.zone);
    for (prepared_entry const* named : answers.order(service, state.name)) {
        entries.push_back(
            *std::ranges::find(state.cached->entries, named->node, &lookup_entry::node));
    }
    return entries;
}

void fake_callers::start_operation(std::size_t caller_index)
{
    if (stopped_) {
        return;
    }
    schedule_next_operation(caller_index);
    service_config const& service = random_.pick(config_.services);
    auto const entries = entry_hosts_for(callers_[caller_index], service.id);
    if (entries.empty()) {
        return;
    }
    caller_operation next;
    next.caller_index = caller_index;
    next.service = service.id;
    next.request_class = random_.pick(service.classes);
    next.tag = "op" + std::to_string(operations_.size());
    if (!next.request_class.idempotent) {
        next.id = operation_id{entries[0].incarnation, entries[0].period, random_.number()};
    }
    operations_.push_back(next);
    std::size_t const index = operations_.size() - 1;
    send_request(index, 0);
    if (next.id && random_.one_in(4)) {
        time_.after(random_.between(microseconds(0), max_duplicate_delay),
                    [this, index] { send_request(index, random_.below(3)); });
    }
}

void fake_callers::send_request(std::size_t operation_index, std::size_t entry_rank)
{
    auto& operation = operations_[operation_index];
    auto const entries = entry_hosts_for(callers_[operation.caller_index], operation.service);
    if (entries.empty() || operation.requests_sent >= max_requests_per_operation) {
        return;
    }
    ++operation.requests_sent;
    node_id const& node = entries[entry_rank % entries.size()].node;
    auto const found = std::ranges::find_if(
        nodes_.hosts(), [&](fleet_host const& host) { return host.host_entry.id == node; });
    if (found == nodes_.hosts().end() || !found->node) {
        retry(operation_index);
        return;
    }
    caller_request_id const id = next_request_id_++;
    auto const host = static_cast<std::size_t>(found - nodes_.hosts().begin());
    in_flight_request const open{operation_index, host, found->process_epoch,
                                 random_.between(min_timeout, max_timeout)};
    std::string const tag = operation.id
                                ? operation.tag
                                : operation.tag + "." + std::to_string(operation.requests_sent);
    checks_.request_sent(id, {tag, !operation.id, operation.has_final_answer});
    in_flight_.emplace(id, open);
    time_.after(random_.between(caller_delay, caller_delay * 2),
                [this, id, open] { deliver_request(id, open); });
    time_.after(open.timeout + answer_grace, [this, id] { abandon_request(id); });
}

void fake_callers::deliver_request(caller_request_id id, in_flight_request const& open)
{
    if (!checks_.is_pending(id)) {
        return;
    }
    auto const& operation = operations_[open.operation_index];
    caller_request request;
    request.key = id;
    request.operation = operation.id;
    request.service = operation.service;
    request.request_class = operation.request_class.id;
    request.timeout = open.timeout;
    request.body = make_payload(checks_.tag_of(id));
    delivered_.insert(id);
    checks_.log_event(time_.now(), "request " + std::to_string(id) + " " + checks_.tag_of(id) +
                                       " at " + nodes_.hosts()[open.host].host_entry.id.value);
    nodes_.deliver(open.host, open.process_epoch, std::move(request));
}

void fake_callers::answered(reply const& response)
{
    auto node = in_flight_.extract(response.key);
    if (node.empty()) {
        return;
    }
    checks_.request_answered(response.key, response.answer);
    checks_.log_event(time_.now(), std::string(to_string(response.answer.result)) + " " +
                                       checks_.tag_of(response.key) + " " + response.answer.step +
                                       " " + response.answer.reason);
    auto& operation = operations_[node.mapped().operation_index];
    operation.has_final_answer = true;
    if (operation.id && random_.one_in(6)) {
        repeat_later(node.mapped().operation_index);
    }
    if (!operation.id && response.answer.result == outcome::not_run) {
        time_.after(
            response.answer.retry_after,
            [this, operation_index = node.mapped().operation_index] { retry(operation_index); });
    }
}

void fake_callers::repeat_later(std::size_t operation_index)
{
    time_.after(random_.between(milliseconds(1), max_repeat_delay), [this, operation_index] {
        if (!stopped_) {
            send_request(operation_index, random_.below(6));
        }
    });
}

void fake_callers::retry(std::size_t operation_index)
{
    time_.after(random_.between(milliseconds(1), milliseconds(20)), [this, operation_index] {
        send_request(operation_index,
                     static_cast<std::size_t>(operations_[operation_index].requests_sent));
    });
}

void fake_callers::abandon_request(caller_request_id id)
{
    auto node = in_flight_.extract(id);
    if (node.empty()) {
        return;
    }
    in_flight_request const& open = node.mapped();
    fleet_host const& host = nodes_.hosts()[open.host];
    bool const recently_disturbed =
        host.frozen || time_.now() - host.disturbed_at < max_timeout + answer_grace;
    if (host.process_epoch == open.process_epoch && !recently_disturbed) {
        checks_.add_violation("lost", checks_.tag_of(id) + " request " + std::to_string(id) +
                                          " timeout_us=" + std::to_string(open.timeout.count()) +
                                          " at " + host.host_entry.id.value);
    }
    checks_.request_abandoned(id);
    nodes_.deliver(open.host, open.process_epoch, caller_cancel{id});
    retry(open.operation_index);
}

void fake_callers::on_host_ended(std::size_t host, bool planned)
{
    std::vector<caller_request_id> broken_requests;
    for (auto const& [id, open] : in_flight_) {
        if (open.host == host) {
            broken_requests.push_back(id);
        }
    }
    for (caller_request_id const id : broken_requests) {
        std::size_t const operation_index = in_flight_.at(id).operation_index;
        in_flight_.erase(id);
        checks_.request_abandoned(id);
        if (planned && delivered_.contains(id)) {
            checks_.add_violation("cut_off", checks_.tag_of(id));
        }
        retry(operation_index);
    }
}

} // namespace cove
