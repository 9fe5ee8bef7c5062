#pragma once
/** @file Test target with slots, load shedding, drain, slow start and a falsifiable load report. */

#include "core/random.h"
#include "load/operation_log.h"
#include "net/threaded_http_server.h"
#include "standin/target_settings.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace cove {

/** What the load endpoint reports. */
enum class load_report_mode {
    truth,  ///< the actual load
    frozen, ///< the requests in flight when this mode was set
    idle,   ///< no requests in flight
    full,   ///< all slots in use
    silent, ///< no load: error response after a long delay
};

/** A target that simulates work by waiting and journals the operations that it runs. */
class standin_target_server {
public:
    /** @param on_drain_requested called for each drain request over HTTP. */
    standin_target_server(target_settings settings, std::function<void()> on_drain_requested);

    /** Starts the HTTP server. */
    result<void> start() { return server_.start(); }

    /** Reports `leaving`, serves new requests for the grace time and completes running ones. */
    void drain();

private:
    using request_type = httplib::Request;
    using response_type = httplib::Response;

    void add_routes(httplib::Server& server);
    void serve(request_type const& request, response_type& response);
    bool take_slot(milliseconds timeout);
    void free_slot();
    void shed(response_type& response);
    milliseconds sample_service_time();
    bool simulate_work(milliseconds time) const;
    void write_journal(std::string const& operation, std::string const& request_class,
                       journal_event event);
    void report_load(response_type& response);
    void report_health(response_type& response);
    void set_report_mode(request_type const& request, response_type& response);
    int reported_in_flight();

    target_settings settings_;
    std::function<void()> on_drain_requested_;
    json_lines_writer journal_;

    std::mutex mutex_;
    std::condition_variable slot_freed_;
    random_engine random_;
    int running_ = 0;
    int waiting_ = 0;
    int started_ = 0;   ///< total requests started
    int shed_ = 0;      ///< requests rejected without being started
    int cancelled_ = 0; ///< running requests whose connection was closed
    load_report_mode report_mode_ = load_report_mode::truth;
    int frozen_in_flight_ = 0; ///< requests in flight when the report was frozen
    bool healthy_ = true;      ///< reported by the health endpoint
    bool leaving_ = false;
    bool rejects_new_work_ = false; ///< set once the grace time of a drain is over

    std::atomic<int> connections_ = 0;
    threaded_http_server server_;
};

} // namespace cove
