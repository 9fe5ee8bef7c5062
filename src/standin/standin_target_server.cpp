#include "standin/standin_target_server.h"

#include "net/caller_api.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>

namespace cove {

namespace {

constexpr milliseconds caller_check_interval{5}; ///< between checks for a closed connection
constexpr milliseconds default_timeout{600'000};
constexpr milliseconds silent_report_delay{5000};
constexpr int percent = 100;
constexpr int deadline_status = 504;
constexpr int unhealthy_status = 503;

thread_local bool is_first_request = false; ///< of the connection that this thread serves

milliseconds read_timeout(httplib::Request const& request)
{
    std::string const text = request.get_header_value(caller_api::timeout_header);
    std::int64_t value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc{} ? milliseconds(value) : default_timeout;
}

} // namespace

standin_target_server::standin_target_server(target_settings settings,
                                             std::function<void()> on_drain_requested)
    : settings_(std::move(settings)), on_drain_requested_(std::move(on_drain_requested)),
      journal_(settings_.journal),
      server_(settings_.address, [this](httplib::Server& server) { add_routes(server); },
              {[this] {
                   is_first_request = true;
                   ++connections_;
               },
               [this] { --connections_; }})
{
}

void standin_target_server::add_routes(httplib::Server& server)
{
    server.Post(
        caller_api::request_path,
        [this](request_type const& request, response_type& response) { serve(request, response); });
    server.Get("/load",
               [this](request_type const&, response_type& response) { report_load(response); });
    server.Get("/health",
               [this](request_type const&, response_type& response) { report_health(response); });
    server.Post("/admin/report", [this](request_type const& request, response_type& response) {
        set_report_mode(request, response);
    });
    server.Post("/admin/drain",
                [this](request_type const&, response_type&) { on_drain_requested_(); });
}

void standin_target_server::serve(request_type const& request, response_type& response)
{
    bool const first_on_connection = std::exchange(is_first_request, false);
    mono_time const begin = read_clocks().mono;
    milliseconds const timeout = read_timeout(request);
    std::string const operation = request.get_header_value(caller_api::operation_header);
    std::string const request_class = request.get_header_value(caller_api::class_header);
    if (connections_ > settings_.connections || !take_slot(timeout)) {
        shed(response);
        return;
    }
    write_journal(operation, request_class, journal_event::started);
    milliseconds const service_time =
        sample_service_time() +
        (first_on_connection ? settings_.connection_cost : milliseconds::zero());
    auto const remaining = std::chrono::floor<milliseconds>(begin + timeout - read_clocks().mono);
    bool const caller_connected = simulate_work(std::min(service_time, remaining));
    write_journal(operation, request_class,
                  caller_connected ? journal_event::finished : journal_event::cancelled);
    {
        std::lock_guard const lock(mutex_);
        cancelled_ += caller_connected ? 0 : 1;
    }
    free_slot();
    if (remaining < service_time) {
        response.status = deadline_status;
    }
    response.set_content(settings_.name + ":" + request.body, "application/octet-stream");
}

bool standin_target_server::take_slot(milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    if (rejects_new_work_ || (running_ >= settings_.slots && waiting_ >= settings_.queue)) {
        ++shed_;
        return false;
    }
    ++waiting_;
    bool const free =
        slot_freed_.wait_for(lock, timeout, [this] { return running_ < settings_.slots; });
    --waiting_;
    running_ += free ? 1 : 0;
    shed_ += free ? 0 : 1;
    started_ += free ? 1 : 0;
    return free;
}

void standin_target_server::free_slot()
{
    {
        std::lock_guard const lock(mutex_);
        --running_;
    }
    slot_freed_.notify_all();
}

void standin_target_server::shed(response_type& response)
{
    response.status = caller_api::not_run_status;
    response.set_header(caller_api::not_started_header, "true");
}

milliseconds standin_target_server::sample_service_time()
{
    std::lock_guard const lock(mutex_);
    auto const mean = static_cast<double>(settings_.service_time.count());
    std::uniform_real_distribution<double> spread(percent - settings_.spread_percent,
                                                  percent + settings_.spread_percent);
    double factor = spread(random_) / percent;
    if (started_ <= settings_.cold_requests) {
        double const coldness = 1.0 - static_cast<double>(started_ - 1) / settings_.cold_requests;
        factor *= 1.0 + coldness * (settings_.cold_percent - percent) / percent;
    }
    return milliseconds(std::llround(mean * factor));
}

/** Sleeps for @p time. @return false if the caller closed its connection before the end. */
bool standin_target_server::simulate_work(milliseconds time) const
{
    mono_time const end = read_clocks().mono + time;
    while (true) {
        microseconds const remaining = end - read_clocks().mono;
        if (remaining <= microseconds::zero()) {
            return true;
        }
        if (threaded_http_server::client_disconnected()) {
            return false;
        }
        std::this_thread::sleep_for(std::min<microseconds>(remaining, caller_check_interval));
    }
}

void standin_target_server::write_journal(std::string const& operation,
                                          std::string const& request_class, journal_event event)
{
    journal_.write(journal_line{operation, request_class, event, read_clocks().wall});
}

int standin_target_server::reported_in_flight()
{
    switch (report_mode_) {
    case load_report_mode::frozen:
        return frozen_in_flight_;
    case load_report_mode::idle:
        return 0;
    case load_report_mode::full:
        return settings_.slots;
    case load_report_mode::silent:
    case load_report_mode::truth:
        break;
    }
    return running_;
}

void standin_target_server::report_load(response_type& response)
{
    std::unique_lock lock(mutex_);
    if (report_mode_ == load_report_mode::silent) {
        lock.unlock();
        std::this_thread::sleep_for(silent_report_delay);
        response.status = unhealthy_status;
        return;
    }
    response.set_content(nlohmann::json{{"slots", settings_.slots},
                                        {"in_flight", reported_in_flight()},
                                        {"waiting", waiting_},
                                        {"started", started_},
                                        {"shed", shed_},
                                        {"cancelled", cancelled_},
                                        {"connections", connections_.load()},
                                        {"leaving", leaving_}}
                             .dump(),
                         "application/json");
}

void standin_target_server::report_health(response_type& response)
{
    std::lock_guard const lock(mutex_);
    bool const ok = healthy_ && !leaving_;
    response.status = ok ? 200 : unhealthy_status;
    response.set_content(leaving_ ? "leaving\n" : (ok ? "ok\n" : "failing\n"), "text/plain");
}

void standin_target_server::set_report_mode(request_type const& request, response_type& response)
{
    static std::map<std::string, load_report_mode> const names{
        {"truth", load_report_mode::truth},
        {"frozen", load_report_mode::frozen},
        {"idle", load_report_mode::idle},
        {"full", load_report_mode::full},
        {"silent", load_report_mode::silent}};
    std::lock_guard const lock(mutex_);
    if (request.has_param("load")) {
        auto const found = names.find(request.get_param_value("load"));
        if (found == names.end()) {
            response.status = caller_api::bad_request_status;
            return;
        }
        report_mode_ = found->second;
        frozen_in_flight_ = running_;
    }
    if (request.has_param("healthy")) {
        healthy_ = request.get_param_value("healthy") == "true";
    }
}

void standin_target_server::drain()
{
    {
        std::lock_guard const lock(mutex_);
        leaving_ = true;
    }
    write_journal("", "", journal_event::leaving);
    std::this_thread::sleep_for(settings_.drain_grace);
    {
        std::lock_guard const lock(mutex_);
        rejects_new_work_ = true;
    }
    server_.stop();
}

} // namespace cove
