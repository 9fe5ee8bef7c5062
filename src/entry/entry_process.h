#pragma once
/**
 * @file Runs the node's reducer: passes it requests, messages, results and timers as events, and
 * executes the effects that it returns.
 */

#include "core/timer_service.h"
#include "entry/entry_settings.h"
#include "entry/target_poller.h"
#include "entry/target_pool.h"
#include "metrics/latency_metrics.h"
#include "net/peer_transport.h"
#include "net/threaded_http_server.h"
#include "node/node.h"

#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cove {

/** The process of cove-entry. */
class entry_process {
public:
    /** @param incarnation new for each start of the process. @param seed of random choices. */
    entry_process(entry_settings settings, incarnation_id incarnation, std::uint64_t seed);

    /** Loads the configured files and starts to serve. */
    result<void> start();

    /** Queues an event for the reducer. Safe to call from any thread. */
    void post(node_event_body body);

    /** Stops gracefully: returns once no request is in progress and the reducer has ended. */
    void stop();

private:
    /** A caller that is waiting for its final answer. */
    struct waiting_caller {
        std::promise<final_answer> answer;
        std::optional<operation_id> operation;
    };

    void run(std::stop_token const& stop);
    void process_event(node_event const& event);
    void execute_effect(node_effect& effect);
    void add_routes(httplib::Server& server);
    void serve_request(httplib::Request const& request, httplib::Response& response);
    std::future<final_answer> register_caller(caller_request const& request);
    void abandon_request(request_key key, std::string const& reason);
    void serve_cancel(httplib::Request const& request, httplib::Response& response);
    void deliver_answer(reply const& answered);
    result<void> load_files();
    void serve_status(httplib::Response& response) const;

    entry_settings settings_;
    node_state state_; ///< used only by the reducer thread once it runs
    std::atomic<std::uint64_t> generation_in_force_ = 0; ///< copy for /v1/status
    std::atomic<bool> stopping_ = false;
    latency_metrics metrics_;

    std::mutex queue_mutex_;
    std::condition_variable_any queue_changed_;
    std::deque<node_event> queue_;

    std::mutex waiting_callers_mutex_;
    std::unordered_map<request_key, waiting_caller> waiting_callers_;
    std::atomic<request_key> next_key_ = 1;

    std::promise<void> stopped_;
    timer_service timers_;
    timer_service::subscription wake_timer_ = 0; ///< the only pending wake-up
    peer_transport transport_;
    target_pool target_pool_;
    target_poller target_poller_;
    threaded_http_server server_;
    std::jthread reducer_thread_;
};

} // namespace cove
