#pragma once
/** @file A thread that sends requests of callers over its own keep-alive connections. */

#include "core/random.h"
#include "load/load_job_type.h"
#include "load/load_report.h"
#include "load/operation_log.h"

#include <functional>
#include <httplib.h>
#include <optional>
#include <thread>
#include <unordered_map>

namespace cove {

/** Callbacks through which a worker uses the shared state of its load run. */
struct load_worker_hooks {
    std::function<std::optional<load_job>()> next_job; ///< waits for a due job; nullopt at the end
    std::function<void(load_job)> add_job;             ///< schedules a job
    std::function<void()> job_finished;                ///< called once for each job taken
    std::function<lookup_cache&(std::size_t)> lookup_cache_of; ///< by index of the caller
    std::function<void(operation_line const&)> log_operation;  ///< writes a final answer to the log
};

/** Takes jobs from the queue and runs them until it is closed. */
class load_worker {
public:
    load_worker(load_settings const& settings, load_worker_hooks hooks, std::uint64_t seed);

    /** Waits for the thread to end. @return the results of its requests. */
    load_results const& finish();

private:
    /** The answer to a request as received by the caller. */
    struct caller_answer {
        std::string outcome;
        std::string body_check; ///< `own` if the body echoes the request, else `wrong` or empty
        std::string step;
        milliseconds retry_after{};
    };

    void run();
    void send_attempt(load_job job);
    bool assign_operation_id(load_job& job);
    void add_duplicate_and_cancel(load_job const& job);
    void send_cancel(load_job const& job);
    void on_failed_attempt(load_job job);
    void on_answer(load_job const& job, caller_answer const& answer);
    void record_result(load_job const& job, caller_answer const& answer);
    bool retries_as_new_operation(load_job const& job, caller_answer const& answer) const;
    [[nodiscard]] caller_answer read_answer(httplib::Response const& response,
                                            std::string const& body) const;
    [[nodiscard]] std::string body_of(load_job const& job) const;
    [[nodiscard]] std::string const& address_of(load_job const& job) const;
    result<lookup_answer> look_up(std::size_t caller);
    httplib::Client& client_to(std::string const& address, milliseconds timeout);
    bool chance(int percent);

    load_settings const& settings_;
    load_worker_hooks hooks_;
    random_engine random_;
    std::uint64_t nonce_salt_; ///< makes operation ids differ between runs with the same seed
    shared_lookup_answer direct_targets_; ///< made from target_addresses; null when unused
    std::unordered_map<std::string, std::unique_ptr<httplib::Client>> clients_;
    load_results results_;
    std::jthread thread_;
};

} // namespace cove
