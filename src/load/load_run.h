#pragma once
/** @file A load run: simulated callers look up entry hosts and send requests to them. */

#include "load/arrival.h"
#include "load/job_queue.h"
#include "load/load_worker.h"
#include "load/operation_log.h"

#include <atomic>
#include <deque>

namespace cove {

/** Schedules the requests of a load profile and runs them on worker threads. */
class load_run {
public:
    explicit load_run(load_settings settings);

    /** Starts all requests and waits until each is answered or given up. */
    load_results run();

private:
    void start_requests(mono_time begin);
    void add_job(load_job job);
    load_job make_request_job(mono_time start);
    load_worker_hooks make_hooks();

    load_settings settings_;
    random_engine random_;
    class_sampler class_sampler_;
    json_lines_writer operation_log_;
    std::deque<lookup_cache> lookup_caches_; ///< indexed by caller
    job_queue<load_job> jobs_;
    std::atomic<std::uint64_t> unfinished_jobs_ = 0; ///< queued or running
    std::uint64_t next_intent_; ///< starts at seed << 32, so runs with different seeds differ
    std::deque<load_worker> workers_;
};

} // namespace cove
