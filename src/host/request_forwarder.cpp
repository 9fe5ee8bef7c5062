#include "host/request_forwarder.h"

#include "core/hash_func.h"
#include "http/counted_body.h"
#include "http/forwarding.h"
#include "traffic/load_field.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace cove {

namespace http = boost::beast::http;

namespace {

constexpr milliseconds tick_interval{20}; ///< resolution of queue waits and timeouts
constexpr milliseconds no_config_retry_after{
    500}; ///< a new host usually has a configuration by then
/// Requests that take most of the memory have usually ended by then.
constexpr milliseconds no_memory_retry_after{1000};
/// A few round trips between regions.
constexpr milliseconds connect_timeout{300};
/// Field of a relayed request with the IP of the client; read on the port for other hosts only.
constexpr char const* client_field = "Cove-Client";
/// Field of a relayed request with the number of targets that it may still be sent to.
constexpr char const* attempts_field = "Cove-Attempts";
/// Field of a relayed request with the name of the host that relays it.
constexpr char const* host_field = "Cove-Host";
/// Field of a relayed request with the version of the configuration by which it is relayed.
constexpr char const* config_field = "Cove-Config";
constexpr std::uint64_t relayed_id_bit = std::uint64_t{1} << 63U; ///< calls of two servers differ
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_client_error = 400;

constexpr double ms_per_second = 1000;
constexpr double max_pause_seconds = 1e6; ///< keeps the conversion to milliseconds in range

std::string format_seconds(milliseconds time)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.3f", static_cast<double>(time.count()) / ms_per_second);
    return buffer;
}

template <class Number>
std::optional<Number> read_number(std::string_view text)
{
    Number value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<int> read_int(std::string_view text)
{
    return read_number<int>(text);
}

/** @return whether a client takes an answer with @p status as a promise that nothing has run. */
bool promises_not_run(http::status status)
{
    return status == http::status::request_timeout || status == http::status::misdirected_request ||
           status == http::status::too_many_requests || status == http::status::service_unavailable;
}

/** @return the number in @p text, 0 or more, without unit; nullopt if it is none. */
std::optional<double> read_decimal(std::string const& text)
{
    double value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size() || !(value >= 0)) {
        return std::nullopt;
    }
    return value;
}

/** @param identity of the client, as far as it tells its requests apart from those of others. */
request_fingerprint fingerprint_of(http_request const& request, std::string const& identity)
{
    std::uint64_t hash = 0;
    for (auto const part : {request.method_string(), request[http::field::host], request.target(),
                            boost::beast::string_view(identity)}) {
        hash = stable_hash({part.data(), part.size()}, hash);
    }
    return request_fingerprint(stable_hash(request.body(), hash));
}

std::string to_hex(request_fingerprint fingerprint)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(fingerprint.value));
    return buffer;
}

char const* kind_of(traffic_event const& event)
{
    constexpr std::array<char const*, std::variant_size_v<traffic_event>> kinds{
        "request_arrived",         "attempt_ended",   "client_disconnected",
        "targets_listed",          "targets_changed", "evacuations_listed",
        "services_listed",         "peers_reported",  "crashes_reported",
        "crash_retention_changed", "relay_ended",     "probe_ended",
        "stop_announced",          "timer_tick"};
    return kinds.at(event.index());
}

char const* name_of(refusal reason)
{
    switch (reason) {
    case refusal::no_room:
        return "no_room";
    case refusal::no_target:
        return "no_target";
    case refusal::gave_up:
        return "gave_up";
    case refusal::lost_answer:
        return "lost_answer";
    case refusal::blocked:
        return "blocked";
    }
    return "unknown";
}

http::status status_of(refusal reason)
{
    switch (reason) {
    case refusal::gave_up:
        return http::status::gateway_timeout;
    case refusal::lost_answer:
    case refusal::blocked: // 503 would invite the client to send it again
        return http::status::bad_gateway;
    default:
        return http::status::service_unavailable;
    }
}

request_id request_of(deliver_answer const& effect)
{
    return effect.id;
}

request_id request_of(answer_locally const& effect)
{
    return effect.id;
}

request_id request_of(send_attempt const& effect)
{
    return effect.attempt.id.request;
}

request_id request_of(relay_request const& effect)
{
    return effect.id.request;
}

request_id request_of(cancel_attempt const& effect)
{
    return effect.id.request;
}

} // namespace

request_forwarder::request_forwarder(boost::asio::io_context& loop, loop_timers& timers,
                                     header_names names, traffic_settings settings,
                                     exchange_limits const& limits, log_limiter& log,
                                     loop_monitor& monitor)
    : timers_(timers), memory_(limits.memory), names_(std::move(names)), host_(settings.host),
      log_(log), monitor_(monitor), traffic_(std::move(settings)), pool_(loop, timers, limits),
      relay_pool_(loop, timers, limits), admission_({names_.workspace, names_.key_scheme}, log)
{
    tick_ = timers_.every(tick_interval, [this] {
        if (traffic_.needs_ticks()) {
            feed(timer_tick{});
        }
    });
}

request_forwarder::~request_forwarder()
{
    timers_.cancel(tick_);
}

void request_forwarder::feed(traffic_event const& event)
{
    perform(event);
    drop_ended();
}

void request_forwarder::perform(traffic_event const& event)
{
    performing_ = true;
    monitor_.measure(kind_of(event), [&] {
        for (traffic_effect const& effect : traffic_.reduce(event, read_clocks().mono)) {
            std::visit([this](auto const& what) { execute_guarded(what); }, effect);
        }
    });
    performing_ = false;
}

/** Executes @p effect; an exception costs only the request that it concerns. */
template <class Effect>
void request_forwarder::execute_guarded(Effect const& effect)
{
    if constexpr (requires { request_of(effect); }) {
        request_id const id = request_of(effect);
        try {
            execute(effect);
        }
        catch (std::exception const& error) {
            ++failed_requests_;
            auto const found = open_.find(id);
            log_.event("request_failed",
                       {{"request", found == open_.end() ? "" : found->second.attempt_id},
                        {"detail", error.what()}},
                       read_clocks().mono);
            failed_.push_back(id);
        }
    }
    else {
        execute(effect);
    }
}

/** Ends the requests that the last effects have marked; ending one may mark others. */
void request_forwarder::drop_ended()
{
    while (!performing_ && !(departed_.empty() && stopped_.empty() && failed_.empty())) {
        drop_departed();
        drop_stopped();
        drop_failed();
    }
}

/** Ends the requests whose handling has failed, once the current effects are done. */
void request_forwarder::drop_failed()
{
    while (!performing_ && !failed_.empty()) {
        request_id const id = failed_.back();
        failed_.pop_back();
        if (auto const found = open_.find(id); found != open_.end() && found->second.exchange) {
            cancel_attempt failed;
            failed.id = found->second.exchange->id;
            failed.reason = withdrawal::host_failed;
            withdraw(found->second, failed);
        }
        perform(client_disconnected{id, true}); // frees its slot, wherever it is
        if (auto const found = open_.find(id); found != open_.end()) {
            record_outcome(found->second, "host_failed");
            open_.erase(found);
        }
        bool const relayed = (id.value & relayed_id_bit) != 0;
        respond(relayed ? *peers_ : *clients_, call_id(id.value & ~relayed_id_bit),
                http::status::internal_server_error, milliseconds{0}); // it may have run
    }
}

void request_forwarder::on_request(call_id call, http_request request)
{
    open_request open;
    open.server = clients_;
    open.call = call;
    open.client = clients_->client_ip(call);
    open.message = std::move(request);
    accept(request_id(call.value), std::move(open), false);
}

void request_forwarder::on_relayed_request(call_id call, http_request request)
{
    open_request open;
    open.server = peers_;
    open.call = call;
    open.client = to_std_string(request[client_field]);
    request.erase(client_field);
    open.attempts_left = take_attempts_left(request);
    open.relayed_by = node_id(to_std_string(request[host_field]));
    request.erase(host_field);
    if (!take_config_version(request, open.relayed_by)) {
        respond(*peers_, call, http::status::service_unavailable, no_config_retry_after);
        return;
    }
    open.message = std::move(request);
    accept(request_id(call.value | relayed_id_bit), std::move(open), true);
}

bool request_forwarder::may_run_concurrently(http_request const& request) const
{
    if (!routes_) {
        return false;
    }
    std::string const target = to_std_string(request.target());
    auto const route = routes_->find(to_std_string(request[http::field::host]), path_of(target));
    return route && route->idempotent;
}

/**
 * Removes the field with the attempts left from a relayed request.
 * @return nullopt if the field is absent, as hosts of earlier versions do not send it; 0 if it is
 * not a number, so that the request is refused as not run.
 */
std::optional<int> request_forwarder::take_attempts_left(http_request& request)
{
    auto const field = request.find(attempts_field);
    if (field == request.end()) {
        return std::nullopt;
    }
    std::string const text = to_std_string(field->value());
    request.erase(attempts_field);
    auto const attempts = read_int(text);
    if (!attempts) {
        log_.event("relay_field_malformed", {{"field", attempts_field}, {"value", text}},
                   read_clocks().mono);
    }
    return std::max(0, attempts.value_or(0));
}

/**
 * Removes the field with the version by which another host relays a request.
 * @return whether this host may decide on the request: its configuration is not older. The field is
 * absent if the other host is of an earlier version of the program.
 */
bool request_forwarder::take_config_version(http_request& request, node_id const& relayed_by)
{
    auto const field = request.find(config_field);
    if (field == request.end()) {
        return true;
    }
    std::string const text = to_std_string(field->value());
    request.erase(config_field);
    auto const named = read_number<std::uint64_t>(text);
    if (!named) {
        log_.event("relay_field_malformed", {{"field", config_field}, {"value", text}},
                   read_clocks().mono);
        return false;
    }
    generation const version(*named);
    if (version <= version_) {
        return true;
    }
    log_.event("relayed_by_newer_config",
               {{"request", to_std_string(request[names_.attempt_id])},
                {"host", relayed_by.value},
                {"version", std::to_string(version_.value)},
                {"newer", text}},
               read_clocks().mono);
    if (newer_config_) {
        newer_config_(relayed_by, version);
    }
    return false;
}

void request_forwarder::accept(request_id id, open_request open, bool relayed)
{
    if (!routes_) {
        respond(*open.server, open.call, http::status::service_unavailable, no_config_retry_after);
        return;
    }
    http_request& request = open.message;
    std::string const target = to_std_string(request.target());
    auto const route = routes_->find(to_std_string(request[http::field::host]), path_of(target));
    if (!route) {
        log_unknown_route(request, relayed);
        respond(*open.server, open.call, http::status::not_found, milliseconds{0});
        return;
    }
    admission_result const admitted = admission_.admit(request, *route, relayed);
    if (admitted.refused != http::status::unknown) {
        refuse(*open.server, open.call, admitted.refused);
        return;
    }
    open.attempt_id = to_std_string(request[names_.attempt_id]);
    open.fingerprint = fingerprint_of(request, admitted.identity);
    open.credentials = admitted.credentials;
    open.route = route;
    open.service = round_robin_.next(*route);
    open.arrived = read_clocks().mono;
    auto const deadline = read_int(to_std_string(request[names_.deadline]));
    request_arrived event{id,
                          route,
                          open.service,
                          object_key(to_std_string(request[names_.object])),
                          open.client,
                          deadline ? milliseconds(*deadline) : route->timeout,
                          open.fingerprint,
                          relayed,
                          admitted.terms};
    event.terms.attempts_left = open.attempts_left;
    event.terms.relayed_by = open.relayed_by;
    if (memory_ && !route->idempotent && !memory_->may_commit(request.body().size())) {
        record_outcome(open, "no_memory");
        respond(*open.server, open.call, http::status::service_unavailable, no_memory_retry_after);
        return;
    }
    if (quotas_ != nullptr && !relayed) {
        open.quota = quotas_->take(event.terms.workspace, event.deadline, open.arrived);
        if (!open.quota.admitted) {
            record_outcome(open, "over_quota");
            respond(*open.server, open.call, http::status::too_many_requests,
                    open.quota.retry_after);
            return;
        }
    }
    remove_hop_by_hop_fields(request);
    request.erase(http::field::expect);
    request.version(http_version);
    open.body = keep_body(open, std::move(request.body()));
    request.body().clear();
    open_.emplace(event.id, std::move(open));
    feed(event);
}

void request_forwarder::log_unknown_route(http_request const& request, bool relayed)
{
    log_fields fields{{"request", to_std_string(request[names_.attempt_id])},
                      {"relayed", relayed ? "1" : "0"}};
    log_fields const config = describe_config_();
    fields.insert(fields.end(), config.begin(), config.end());
    log_.event("route_unknown", std::move(fields), read_clocks().mono);
}

/**
 * @return the body of a request, counted while it exists. One that may run twice ends when its
 * memory is needed, as if its client had left; any other goes on.
 */
std::shared_ptr<std::string> request_forwarder::keep_body(open_request const& open,
                                                          std::string body)
{
    // Not at once, as another request may be at work.
    auto const give_back = [this, server = open.server, call = open.call] {
        timers_.once(read_clocks().mono, [server, call] { server->abandon(call); });
    };
    return count_body(std::move(body), memory_,
                      open.route->idempotent ? holding::request : holding::committed, give_back);
}

void request_forwarder::on_client_disconnected(call_id call)
{
    on_disconnected(request_id(call.value));
}

void request_forwarder::on_relay_disconnected(call_id call)
{
    on_disconnected(request_id(call.value | relayed_id_bit));
}

void request_forwarder::on_disconnected(request_id id)
{
    auto const found = open_.find(id);
    bool const unsent =
        found != open_.end() && found->second.exchange && !found->second.exchange->used->sending();
    drop(id, unsent);
    drop_ended();
}

/** Ends the requests whose clients were found to have left, once the current effects are done. */
void request_forwarder::drop_departed()
{
    while (!performing_ && !departed_.empty()) {
        request_id const id = departed_.back();
        departed_.pop_back();
        ++departed_requests_;
        drop(id, true);
    }
}

void request_forwarder::drop(request_id id, bool unsent)
{
    perform(client_disconnected{id, unsent});
    auto const found = open_.find(id);
    if (found != open_.end() && !found->second.exchange) {
        record_outcome(found->second, "client_left");
        if (found->second.sends == 0 || (found->second.sends == 1 && unsent)) {
            give_back(found->second);
        }
        open_.erase(found);
    }
}

/** Returns the unit of a request that has not run. */
void request_forwarder::give_back(open_request const& open)
{
    if (quotas_ != nullptr) {
        quotas_->give_back(open.quota, read_clocks().mono);
    }
}

/** @return whether the client of request @p id is still there. */
bool request_forwarder::client_connected(request_id id) const
{
    auto const found = open_.find(id);
    return found != open_.end() && found->second.server->client_connected(found->second.call);
}

/** @return a test whether request @p id is still to be sent. */
exchange_connection::condition request_forwarder::still_wanted(request_id id) const
{
    return [this, id] {
        return client_connected(id) && admission_.may_send(open_.at(id).credentials);
    };
}

/** @return whether the request must not be sent; it is then answered after the current effects. */
bool request_forwarder::stop_unless_admitted(request_id id, open_request const& open)
{
    if (admission_.may_send(open.credentials)) {
        return false;
    }
    stopped_.push_back(id);
    return true;
}

/** Ends a request that was not sent, as its client has left or its access key is not valid. */
void request_forwarder::end_withdrawn(request_id id)
{
    (client_connected(id) ? stopped_ : departed_).push_back(id);
    drop_ended();
}

/** Answers the requests that may not be sent any more, by their access keys. */
void request_forwarder::drop_stopped()
{
    while (!performing_ && !stopped_.empty()) {
        request_id const id = stopped_.back();
        stopped_.pop_back();
        perform(client_disconnected{id, true}); // frees its slot; nothing of it is under way
        auto const found = open_.find(id);
        if (found == open_.end()) {
            continue;
        }
        open_request const open = std::move(found->second);
        open_.erase(found);
        if (!open.may_have_run) {
            give_back(open);
        }
        admission_.note_stopped(open.attempt_id, open.credentials);
        record_outcome(open, "not_admitted");
        refuse(*open.server, open.call,
               open.may_have_run ? http::status::bad_gateway : http::status::service_unavailable);
    }
}

/** @return the request to send, whose body is sent apart from it. */
http_request request_forwarder::header_of(open_request const& open, milliseconds time_left,
                                          std::string const& deadline_name)
{
    http_request out = open.message;
    out.set(deadline_name, std::to_string(time_left.count()));
    out.prepare_payload();
    if (!open.body->empty()) {
        out.content_length(open.body->size());
    }
    return out;
}

void request_forwarder::execute(send_attempt const& effect)
{
    request_id const id = effect.attempt.id.request;
    auto const found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    if (stop_unless_admitted(id, open)) {
        return;
    }
    target_id const& target = effect.attempt.target;
    http_request message = header_of(open, effect.time_left, names_.deadline);
    admission_.prepare_for_target(message, open.credentials);
    message.set(names_.expected_target, target.value);
    connection const used =
        pool_.acquire(target, effect.address, effect.idempotent, open.attempt_id);
    bool const fresh = !used->connected();
    bool const carried_others = used->idle_since != mono_time{};
    begin_exchange(open, {effect.attempt.id, used, pool_, target});
    if (fresh) {
        limit_connect_time(used);
    }
    used->exchange(
        std::move(message),
        [this, attempt_id = open.attempt_id, carried_others](http_response const& response) {
            // A faulty target may repeat a refusal of an earlier request.
            bool const has_id = response.count(names_.attempt_id) > 0;
            return has_id || !carried_others ? match(attempt_id, response)
                                             : response_match::other_request;
        },
        // Weak, as the connection holds this handler; it lives while it calls it.
        [this, effect, fresh, owner = std::weak_ptr(used)](exchange_result result) {
            on_attempt_end(effect, owner.lock(), fresh, std::move(result));
        },
        still_wanted(id), open.body);
}

/** Notes that @p exchange begins. No other one of the request is in progress. */
void request_forwarder::begin_exchange(open_request& open, running_exchange exchange)
{
    if (open.exchange) {
        throw std::logic_error("another exchange of the request is in progress");
    }
    ++open.sends;
    open.exchange.emplace(std::move(exchange));
}

/** Notes that the exchange of send @p id has ended. */
void request_forwarder::end_exchange(open_request& open, send_id const& id)
{
    if (open.exchange && open.exchange->id == id) {
        open.exchange.reset();
    }
}

/** Ends the exchange in progress. */
void request_forwarder::withdraw(open_request& open, cancel_attempt const& effect)
{
    running_exchange const aborted = *open.exchange;
    open.exchange.reset();
    open.may_have_run = open.may_have_run || aborted.used->sending();
    withdrawals_.note(effect,
                      {open.attempt_id, aborted.peer.value, open.service, aborted.used->sending()},
                      read_clocks().mono);
    if (effect.reason == withdrawal::overdue || effect.reason == withdrawal::time_limit) {
        aborted.pool.give_up(aborted.peer, aborted.used);
    }
    else {
        aborted.used->close();
    }
}

std::size_t request_forwarder::open_sends() const
{
    return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(), [](auto const& item) {
        return item.second.exchange.has_value();
    }));
}

/** Gives up connecting, so that the request goes elsewhere while there is time. */
void request_forwarder::limit_connect_time(connection const& used)
{
    timers_.once(read_clocks().mono + connect_timeout, [weak = std::weak_ptr(used)] {
        if (auto const waiting = weak.lock()) {
            waiting->give_up_connecting();
        }
    });
}

void request_forwarder::execute(relay_request const& effect)
{
    request_id const id = effect.id.request;
    auto const found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    if (stop_unless_admitted(id, open)) {
        return;
    }
    ++relayed_requests_;
    http_request message = header_of(open, effect.time_left, names_.deadline);
    admission_.prepare_for_relay(message, open.credentials);
    message.set(client_field, open.client);
    message.set(host_field, host_.value);
    message.set(config_field, std::to_string(version_.value));
    message.set(attempts_field, std::to_string(effect.attempts_left));
    target_id const peer(effect.address);
    connection const used =
        relay_pool_.acquire(peer, effect.address, effect.idempotent, open.attempt_id);
    begin_exchange(open, {effect.id, used, relay_pool_, peer});
    if (!used->connected()) {
        limit_connect_time(used);
    }
    used->exchange(
        std::move(message),
        [this, attempt_id = open.attempt_id](http_response const& response) {
            return match(attempt_id, response);
        },
        [this, effect, owner = std::weak_ptr(used)](exchange_result result) {
            on_relay_end(effect, owner.lock(), std::move(result));
        },
        still_wanted(id), open.body);
}

void request_forwarder::on_relay_end(relay_request const& relay, connection const& used,
                                     exchange_result result)
{
    auto const found = open_.find(relay.id.request);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    end_exchange(open, relay.id);
    if (result.outcome == exchange_outcome::withdrawn) {
        relay_pool_.release(target_id(relay.address), used);
        end_withdrawn(relay.id.request);
        return;
    }
    relay_ended event{relay.id, relay_end::broken};
    if (result.outcome == exchange_outcome::connect_failed) {
        event.end = relay_end::not_sent;
    }
    else if (result.outcome == exchange_outcome::answered) {
        event.end =
            promises_not_run(result.response.result()) ? relay_end::refused : relay_end::answered;
        relay_pool_.release(target_id(relay.address), used);
    }
    open.may_have_run = open.may_have_run || event.end == relay_end::broken;
    if (event.end != relay_end::answered) {
        log_.event("relay_failed",
                   {{"request", open.attempt_id},
                    {"send", std::to_string(relay.id.number.value)},
                    {"host", relay.address},
                    {"service", open.service.value},
                    {"end", std::to_string(static_cast<int>(event.end))},
                    {"detail", result.detail}},
                   read_clocks().mono);
    }
    open.response = std::move(result.response);
    feed(event);
}

void request_forwarder::execute(probe_target const& effect)
{
    pool_.probe(effect.target, effect.address, [this](probe_result result) {
        feed(probe_ended{result == probe_result::reached, result == probe_result::timed_out,
                         last_received_from_targets()});
    });
}

/** @return when bytes last came on a connection to a target that is in use. */
mono_time request_forwarder::last_received_from_targets() const
{
    mono_time last{};
    for (auto const& [id, open] : open_) {
        if (open.exchange && &open.exchange->pool == &pool_) {
            last = std::max(last, open.exchange->used->last_received());
        }
    }
    return last;
}

void request_forwarder::execute(links_probed const& effect)
{
    auto const text_of = [](std::optional<milliseconds> time) {
        return time ? std::to_string(time->count()) : "";
    };
    auto const connecting = std::count_if(open_.begin(), open_.end(), [this](auto const& item) {
        auto const& exchange = item.second.exchange;
        return exchange && &exchange->pool == &pool_ && !exchange->used->connected();
    });
    probe_round const& round = effect.round;
    // Not limited: the failures that lead to a round use up the lines of a second.
    log_event("links_probed", {{"probes", std::to_string(round.probes)},
                               {"reached", std::to_string(round.reached)},
                               {"timed_out", std::to_string(round.timed_out)},
                               {"answer_ms", text_of(round.answer)},
                               {"received_ms", text_of(round.receipt)},
                               {"connecting", std::to_string(connecting)},
                               {"open", std::to_string(open_.size())}});
}

void request_forwarder::execute(links_changed const& effect)
{
    log_.event(effect.cut_off ? "cut_off_from_targets" : "targets_reached_again", {},
               read_clocks().mono);
    if (links_changed_) {
        links_changed_(effect.cut_off);
    }
}

bool request_forwarder::needs_relays() const
{
    return has_homes_elsewhere_ || traffic_.needs_relays(read_clocks().mono);
}

response_match request_forwarder::match(std::string const& attempt_id,
                                        http_response const& response) const
{
    auto const echoed = response.find(names_.attempt_id);
    if (echoed != response.end()) {
        return to_std_string(echoed->value()) == attempt_id ? response_match::this_request
                                                            : response_match::other_request;
    }
    // Without the echoed id, only an error response is taken as the answer to this request.
    bool const is_error = response.result_int() >= first_client_error;
    return is_error ? response_match::this_request : response_match::other_request;
}

std::optional<target_load> request_forwarder::parse_load(http_response const& response) const
{
    return read_load_field(to_std_string(response[names_.load]));
}

target_notice request_forwarder::parse_notice(http_response const& response) const
{
    target_notice notice{read_decimal(to_std_string(response[names_.limit])),
                         response[names_.leaving] == "1"};
    if (response.result() == http::status::service_unavailable) {
        double const seconds =
            read_decimal(to_std_string(response[http::field::retry_after])).value_or(0);
        notice.pause = milliseconds(
            static_cast<std::int64_t>(std::min(seconds, max_pause_seconds) * ms_per_second));
    }
    return notice;
}

attempt_end request_forwarder::classify(exchange_result const& result) const
{
    if (result.outcome == exchange_outcome::connect_failed) {
        return attempt_end::not_connected;
    }
    if (result.outcome == exchange_outcome::broken) {
        return attempt_end::broken;
    }
    http_response const& response = result.response;
    bool const says_not_run = response.count(names_.not_run) > 0;
    bool const is_signed = response.count(names_.signature) > 0;
    if (response.result() == http::status::misdirected_request && (says_not_run || !is_signed)) {
        return attempt_end::wrong_target;
    }
    if (says_not_run) {
        return attempt_end::refused;
    }
    if (!is_signed) {
        return attempt_end::broken; // not generated by a target
    }
    unsigned const status = response.result_int();
    bool const success = status >= first_success && status < first_redirect;
    if (!success) {
        // Passed on, such a status would tell the client that the request has not run.
        return promises_not_run(response.result()) ? attempt_end::broken : attempt_end::failed;
    }
    return response.count(http::field::content_encoding) > 0 ? attempt_end::broken
                                                             : attempt_end::succeeded;
}

void request_forwarder::on_attempt_end(send_attempt const& attempt, connection const& used,
                                       bool fresh, exchange_result result)
{
    send_id const& id = attempt.attempt.id;
    target_id const& target = attempt.attempt.target;
    auto const found = open_.find(id.request);
    if (found == open_.end()) {
        return;
    }
    open_request& open = found->second;
    end_exchange(open, id);
    if (result.outcome == exchange_outcome::withdrawn) {
        pool_.release(target, used);
        end_withdrawn(id.request);
        return;
    }
    attempt_ended event{attempt.attempt, classify(result), std::nullopt, std::nullopt,
                        fresh ? used->connect_time() : microseconds{0}};
    event.connect_timed_out = result.connect_timed_out;
    if (result.outcome == exchange_outcome::answered) {
        event.load = parse_load(result.response);
        event.notice = parse_notice(result.response);
        if (event.end == attempt_end::refused || event.end == attempt_end::wrong_target) {
            used->refused_here.push_back(open.attempt_id);
        }
        pool_.release(target, used);
    }
    open.may_have_run =
        open.may_have_run || event.end == attempt_end::failed || event.end == attempt_end::broken;
    if (event.end != attempt_end::succeeded) {
        log_.event("attempt_failed",
                   {{"request", open.attempt_id},
                    {"fingerprint", to_hex(open.fingerprint)},
                    {"send", std::to_string(id.number.value)},
                    {"target", target.value},
                    {"service", attempt.service.value},
                    {"end", std::to_string(static_cast<int>(event.end))},
                    {"status", std::to_string(result.response.result_int())},
                    {"fresh_connection", fresh ? "1" : "0"},
                    {"detail", result.detail}},
                   read_clocks().mono);
    }
    open.response = std::move(result.response);
    if (!result.connection_lost) {
        feed(event);
        return;
    }
    pool_.probe(target, attempt.address, [this, event](probe_result got) mutable {
        event.target_ended = got == probe_result::refused;
        feed(event);
    });
}

void request_forwarder::execute(cancel_attempt const& effect)
{
    auto const found = open_.find(effect.id.request);
    if (found == open_.end() || !found->second.exchange ||
        found->second.exchange->id != effect.id) {
        return; // its connection has ended, and the target is being probed
    }
    withdraw(found->second, effect);
}

void request_forwarder::execute(deliver_answer const& effect)
{
    auto const found = open_.find(effect.id);
    if (found == open_.end()) {
        return;
    }
    http_response response = std::move(found->second.response);
    bool const success = response.result_int() < first_redirect;
    open_request const open = std::move(found->second);
    record_outcome(open, success ? "served" : "target_failed");
    open_.erase(found);
    remove_hop_by_hop_fields(response);
    open.server->respond(open.call, std::move(response));
}

void request_forwarder::execute(answer_locally const& effect)
{
    auto const found = open_.find(effect.id);
    if (found == open_.end()) {
        return;
    }
    log_.event("answered_by_host",
               {{"request", found->second.attempt_id},
                {"fingerprint", to_hex(found->second.fingerprint)},
                {"route", found->second.route->name.value},
                {"service", found->second.service.value},
                {"workspace", found->second.credentials.workspace.value},
                {"reason", name_of(effect.reason)},
                {"attempts", std::to_string(effect.attempts)},
                {"held_ms", std::to_string(effect.elapsed.count())},
                {"come_back_ms", std::to_string(effect.retry_after.count())}},
               read_clocks().mono);
    record_outcome(found->second, name_of(effect.reason));
    blocked_requests_ += effect.reason == refusal::blocked ? 1 : 0;
    open_request const open = std::move(found->second);
    open_.erase(found);
    bool const not_run = effect.reason == refusal::no_room || effect.reason == refusal::no_target;
    if (not_run) {
        give_back(open);
    }
    respond(*open.server, open.call, status_of(effect.reason),
            not_run ? effect.retry_after : milliseconds{0});
}

void request_forwarder::execute(report_crashes const& effect)
{
    if (report_crashes_) {
        report_crashes_(effect.records);
    }
}

void request_forwarder::execute(log_blocked_request const& effect)
{
    std::string ends;
    for (target_end const& end : effect.record.ends) {
        ends += (ends.empty() ? "" : ",") + end.target.value + "/" +
                std::to_string(end.incarnation.value) + "@" + end.observer.value;
    }
    log_.event("request_blocked",
               {{"fingerprint", to_hex(effect.record.fingerprint)}, {"ended", ends}},
               read_clocks().mono);
}

void request_forwarder::respond(http_server& server, call_id call, http::status status,
                                milliseconds retry_after)
{
    http_response response(status, http_version);
    if (retry_after > milliseconds{0}) {
        response.set(http::field::retry_after, format_seconds(retry_after));
    }
    server.respond(call, std::move(response));
}

/** Answers a request that is not admitted. */
void request_forwarder::refuse(http_server& server, call_id call, http::status status) const
{
    http_response response(status, http_version);
    if (status == http::status::service_unavailable) {
        response.set(http::field::retry_after, format_seconds(request_admission::retry_after));
    }
    else if (status == http::status::unauthorized) {
        response.set(http::field::www_authenticate, admission_.key_scheme());
    }
    server.respond(call, std::move(response));
}

void request_forwarder::record_outcome(open_request const& request, std::string const& outcome)
{
    metrics_.add(request.service, class_id(request.route->name.value), outcome,
                 read_clocks().mono - request.arrived);
}

void request_forwarder::set_config(routing_config const& config)
{
    version_ = config.version;
    routes_ = std::make_unique<route_table>(config);
    admission_.set_config(config);
    round_robin_.keep_only(config);
    has_homes_elsewhere_ = traffic_.has_homes_elsewhere(config);
    feed(services_listed{config.services});
}

void request_forwarder::set_targets(std::vector<target_entry> const& entries)
{
    std::set<target_id> ids;
    for (target_entry const& entry : entries) {
        ids.insert(entry.id);
    }
    pool_.keep_only(ids);
    feed(targets_listed{entries});
}

void request_forwarder::change_targets(targets_changed const& changes)
{
    for (target_id const& id : changes.removed) {
        pool_.drop(id);
    }
    feed(changes);
}

void request_forwarder::set_evacuations(std::set<zone_id> const& zones)
{
    feed(evacuations_listed{zones});
}

void request_forwarder::set_peers(peers_reported const& peers)
{
    feed(peers);
}

void request_forwarder::announce_stop(mono_time answers_due)
{
    feed(stop_announced{answers_due});
}

void request_forwarder::set_crash_retention(milliseconds retention)
{
    feed(crash_retention_changed{retention});
}

void request_forwarder::merge_crashes(std::vector<crash_record> const& records)
{
    feed(crashes_reported{records});
}

std::vector<crash_record> request_forwarder::crashes(std::size_t limit) const
{
    return traffic_.crashes(limit, read_clocks().mono);
}

std::vector<service_load_report> request_forwarder::loads() const
{
    return traffic_.loads(read_clocks().mono);
}

std::map<std::uint32_t, rate_limit_notice> request_forwarder::limits() const
{
    return traffic_.limits(read_clocks().mono);
}

std::vector<service_objects> request_forwarder::announcements(milliseconds window) const
{
    return traffic_.announcements(window, read_clocks().mono);
}

std::map<std::uint32_t, int> request_forwarder::in_flight_by_target() const
{
    return traffic_.in_flight_by_target(read_clocks().mono);
}

} // namespace cove
