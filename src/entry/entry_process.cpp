#include "entry/entry_process.h"

#include "config/config_json.h"
#include "log/log_func.h"
#include "net/caller_api.h"
#include "net/peer_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace cove {

namespace {

constexpr milliseconds default_timeout{1000};         ///< for requests without a timeout header
constexpr milliseconds max_timeout{600'000};          ///< longest timeout that a caller may request
constexpr milliseconds disconnect_check_interval{50}; ///< between checks of a waiting caller

result<milliseconds> read_timeout(httplib::Request const& request)
{
    if (!request.has_header(caller_api::timeout_header)) {
        return default_timeout;
    }
    std::string const text = request.get_header_value(caller_api::timeout_header);
    std::int64_t value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size() || value <= 0 ||
        value > max_timeout.count()) {
        return fail("request.parse", caller_api::timeout_header,
                    "expected 1 to " + std::to_string(max_timeout.count()) + " milliseconds");
    }
    return milliseconds(value);
}

result<caller_request> read_request(httplib::Request const& request)
{
    caller_request out;
    out.service = service_id{request.get_header_value(caller_api::service_header)};
    out.request_class = class_id{request.get_header_value(caller_api::class_header)};
    if (out.service.value.empty()) {
        return fail("request.parse", caller_api::service_header, "missing");
    }
    if (out.request_class.value.empty()) {
        return fail("request.parse", caller_api::class_header, "missing");
    }
    auto const timeout = read_timeout(request);
    if (!timeout) {
        return tl::make_unexpected(timeout.error());
    }
    out.timeout = *timeout;
    if (request.has_header(caller_api::operation_header)) {
        auto const id = parse_operation_id(request.get_header_value(caller_api::operation_header));
        if (!id) {
            return tl::make_unexpected(id.error());
        }
        out.operation = *id;
    }
    out.body = make_payload(request.body);
    return out;
}

void write_refusal(httplib::Response& response, int status, final_answer const& answer)
{
    response.status = status;
    response.set_header(caller_api::step_header, answer.step);
    response.set_header(caller_api::peer_header, answer.peer);
    response.set_content(answer.reason + "\n", "text/plain");
    if (answer.retry_after > microseconds::zero()) {
        auto const ms = std::chrono::ceil<milliseconds>(answer.retry_after);
        response.set_header("Retry-After", std::to_string(std::chrono::ceil<seconds>(ms).count()));
        response.set_header(caller_api::retry_after_ms_header, std::to_string(ms.count()));
    }
}

void write_answer(httplib::Response& response, final_answer const& answer)
{
    response.set_header(caller_api::outcome_header, to_string(answer.result));
    switch (answer.result) {
    case outcome::done:
        response.status = answer.status;
        response.set_content(bytes_of(answer.body), "application/octet-stream");
        return;
    case outcome::not_run:
        write_refusal(response, caller_api::not_run_status, answer);
        return;
    case outcome::unknown:
        write_refusal(response, caller_api::unknown_status, answer);
        return;
    }
}

node_identity make_identity(entry_settings const& settings, incarnation_id incarnation)
{
    return {node_id{settings.node}, zone_id{settings.zone}, incarnation, settings.caller_address,
            settings.peer_address};
}

} // namespace

entry_process::entry_process(entry_settings settings, incarnation_id incarnation,
                             std::uint64_t seed)
    : settings_(std::move(settings)),
      state_(make_node(make_identity(settings_, incarnation), seed)),
      transport_(
          {settings_.peer_address, settings_.publish_address,
           [this](std::string const& bytes) {
               auto envelope = decode_envelope(bytes);
               if (!envelope) {
                   log_event("peer_message_dropped", {{"error", to_string(envelope.error())}});
                   return;
               }
               post(std::move(*envelope));
           }}),
      target_pool_([this](call_result result) { post(std::move(result)); }),
      target_poller_([this](target_report report) { post(std::move(report)); }),
      server_(settings_.caller_address, [this](httplib::Server& server) { add_routes(server); })
{
}

result<void> entry_process::load_files()
{
    if (!settings_.host_list_file.empty()) {
        auto const text = read_file(settings_.host_list_file);
        auto hosts = text ? parse_host_list(*text, settings_.host_list_file)
                          : result<host_list>(tl::make_unexpected(text.error()));
        if (!hosts) {
            return tl::make_unexpected(hosts.error());
        }
        post(host_list_changed{std::make_shared<host_list const>(std::move(*hosts))});
    }
    if (!settings_.config_file.empty()) {
        auto const text = read_file(settings_.config_file);
        auto config = text ? parse_deployment(*text, settings_.config_file)
                           : result<deployment>(tl::make_unexpected(text.error()));
        if (!config) {
            return tl::make_unexpected(config.error());
        }
        post(config_changed{generation{0}, std::make_shared<deployment const>(std::move(*config))});
    }
    return {};
}

result<void> entry_process::start()
{
    auto policy = make_steering_policy(settings_.steering_policy);
    if (!policy) {
        return tl::make_unexpected(policy.error());
    }
    state_.steering.policy = std::move(*policy);
    if (auto const loaded = load_files(); !loaded) {
        return loaded;
    }
    if (auto const listening = transport_.start(); !listening) {
        return listening;
    }
    reducer_thread_ = std::jthread([this](std::stop_token const& stop) { run(stop); });
    post(wake_due{});
    return server_.start();
}

void entry_process::post(node_event_body body)
{
    {
        std::lock_guard const lock(queue_mutex_);
        queue_.push_back({read_clocks(), std::move(body)});
    }
    queue_changed_.notify_one();
}

void entry_process::run(std::stop_token const& stop)
{
    while (true) {
        std::deque<node_event> batch;
        {
            std::unique_lock lock(queue_mutex_);
            if (!queue_changed_.wait(lock, stop, [this] { return !queue_.empty(); })) {
                return;
            }
            batch.swap(queue_);
        }
        for (node_event const& event : batch) {
            process_event(event);
        }
    }
}

void entry_process::process_event(node_event const& event)
{
    for (node_effect& effect : reduce(state_, event)) {
        execute_effect(effect);
    }
    generation_in_force_ = state_.config_generation.value;
    stopping_ = state_.stopping;
}

void entry_process::execute_effect(node_effect& effect)
{
    if (auto const* send = std::get_if<send_peer>(&effect)) {
        bool const to_bridge = send->to == bridge_of(state_.self.id);
        std::string const& address = to_bridge ? settings_.bridge_address : send->address;
        if (!address.empty()) {
            transport_.send(address,
                            encode_envelope({state_.self.id, state_.self.incarnation, send->body}));
        }
    }
    else if (auto* call = std::get_if<call_target>(&effect)) {
        target_poller_.record_call(call->target, call->address, read_clocks().mono);
        target_pool_.start(std::move(*call));
    }
    else if (auto const* cancel = std::get_if<cancel_call>(&effect)) {
        target_pool_.cancel(cancel->key);
    }
    else if (auto const* answered = std::get_if<reply>(&effect)) {
        deliver_answer(*answered);
    }
    else if (auto const* wake = std::get_if<wake_at>(&effect)) {
        timers_.cancel(wake_timer_);
        wake_timer_ = timers_.once(wake->at, [this] { post(wake_due{}); });
    }
    else if (auto const* line = std::get_if<log_line>(&effect)) {
        log_event(line->event, line->fields);
    }
    else if (auto const* lookup = std::get_if<publish_lookup>(&effect)) {
        transport_.publish(encode_snapshot(*lookup->snapshot, state_.self.id));
    }
    else if (std::holds_alternative<stop_complete>(effect)) {
        stopped_.set_value();
    }
}

std::future<final_answer> entry_process::register_caller(caller_request const& request)
{
    std::lock_guard const lock(waiting_callers_mutex_);
    waiting_caller& caller = waiting_callers_[request.key];
    caller.operation = request.operation;
    return caller.answer.get_future();
}

/** Answers a waiting caller with `unknown` and cancels its request; a later answer is dropped. */
void entry_process::abandon_request(request_key key, std::string const& reason)
{
    {
        std::lock_guard const lock(waiting_callers_mutex_);
        auto node = waiting_callers_.extract(key);
        if (node.empty()) {
            return;
        }
        final_answer answer;
        answer.result = outcome::unknown;
        answer.step = "entry.wait";
        answer.peer = settings_.node;
        answer.reason = reason;
        node.mapped().answer.set_value(answer);
    }
    post(caller_cancel{key});
}

void entry_process::deliver_answer(reply const& answered)
{
    metrics_.add(answered.service, answered.request_class, to_string(answered.answer.result),
                 answered.latency);
    std::lock_guard const lock(waiting_callers_mutex_);
    auto node = waiting_callers_.extract(answered.key);
    if (!node.empty()) {
        node.mapped().answer.set_value(answered.answer);
    }
}

void entry_process::serve_request(httplib::Request const& request, httplib::Response& response)
{
    auto parsed = read_request(request);
    if (!parsed) {
        response.status = caller_api::bad_request_status;
        response.set_header(caller_api::outcome_header, to_string(outcome::not_run));
        response.set_content(to_string(parsed.error()) + "\n", "text/plain");
        return;
    }
    parsed->key = next_key_++;
    request_key const key = parsed->key;
    auto answer = register_caller(*parsed);
    post(std::move(*parsed));
    while (answer.wait_for(disconnect_check_interval) != std::future_status::ready) {
        if (threaded_http_server::client_disconnected()) {
            abandon_request(key, "the caller closed its connection");
        }
    }
    write_answer(response, answer.get());
}

void entry_process::serve_status(httplib::Response& response) const
{
    nlohmann::json const status{{"node", settings_.node},
                                {"zone", settings_.zone},
                                {"incarnation", state_.self.incarnation.value},
                                {"generation", generation_in_force_.load()},
                                {"stopping", stopping_.load()}};
    response.set_content(status.dump(), "application/json");
}

void entry_process::serve_cancel(httplib::Request const& request, httplib::Response& response)
{
    auto const id = parse_operation_id(request.get_header_value(caller_api::operation_header));
    if (!id) {
        response.status = caller_api::bad_request_status;
        response.set_content(to_string(id.error()) + "\n", "text/plain");
        return;
    }
    std::vector<request_key> keys;
    {
        std::lock_guard const lock(waiting_callers_mutex_);
        for (auto const& [key, caller] : waiting_callers_) {
            if (caller.operation == *id) {
                keys.push_back(key);
            }
        }
    }
    for (request_key const key : keys) {
        abandon_request(key, "the caller cancelled");
    }
    response.set_content(nlohmann::json{{"cancelled", keys.size()}}.dump(), "application/json");
}

void entry_process::add_routes(httplib::Server& server)
{
    server.Post(caller_api::request_path,
                [this](httplib::Request const& request, httplib::Response& response) {
                    serve_request(request, response);
                });
    server.Get(
        caller_api::status_path,
        [this](httplib::Request const&, httplib::Response& response) { serve_status(response); });
    server.Post(caller_api::cancel_path,
                [this](httplib::Request const& request, httplib::Response& response) {
                    serve_cancel(request, response);
                });
    server.Get(caller_api::metrics_path,
               [this](httplib::Request const&, httplib::Response& response) {
                   response.set_content(metrics_.prometheus(), "text/plain; version=0.0.4");
               });
}

void entry_process::stop()
{
    auto stopped = stopped_.get_future();
    post(stop_requested{});
    server_.close_connections_when_idle();
    stopped.wait();
    server_.stop();
    reducer_thread_.request_stop();
    reducer_thread_.join();
}

} // namespace cove
