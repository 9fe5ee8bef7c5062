#include "load/load_run.h"

namespace cove {

namespace {

constexpr milliseconds completion_poll_interval{5};

} // namespace

load_run::load_run(load_settings settings)
    : settings_(std::move(settings)), random_(static_cast<std::uint64_t>(settings_.seed)),
      class_sampler_(settings_.classes), operation_log_(settings_.operation_file),
      lookup_caches_(static_cast<std::size_t>(settings_.callers)),
      next_intent_(static_cast<std::uint64_t>(settings_.seed) << 32U)
{
    for (int i = 0; i < settings_.threads; ++i) {
        workers_.emplace_back(settings_, make_hooks(), random_());
    }
}

load_worker_hooks load_run::make_hooks()
{
    load_worker_hooks hooks;
    hooks.next_job = [this] { return jobs_.pop(); };
    hooks.add_job = [this](load_job job) { add_job(std::move(job)); };
    hooks.job_finished = [this] { --unfinished_jobs_; };
    hooks.lookup_cache_of = [this](std::size_t caller) -> lookup_cache& {
        return lookup_caches_[caller];
    };
    hooks.log_operation = [this](operation_line const& line) { operation_log_.write(line); };
    return hooks;
}

load_results load_run::run()
{
    start_requests(read_clocks().mono);
    while (unfinished_jobs_ > 0) {
        std::this_thread::sleep_for(completion_poll_interval);
    }
    jobs_.close();
    load_results merged;
    for (load_worker& worker : workers_) {
        merged.merge(worker.finish());
    }
    return merged;
}

void load_run::start_requests(mono_time begin)
{
    arrival_schedule arrivals(settings_.profile, settings_.duration, random_());
    while (auto const at = arrivals.next()) {
        mono_time const start = begin + *at;
        std::this_thread::sleep_until(start);
        add_job(make_request_job(start));
    }
}

load_job load_run::make_request_job(mono_time start)
{
    load_job job;
    job.due = start;
    job.start = start;
    job.intent = ++next_intent_;
    job.request_class = class_sampler_.sample(random_);
    job.caller = random_below(random_, lookup_caches_.size());
    return job;
}

void load_run::add_job(load_job job)
{
    ++unfinished_jobs_;
    jobs_.push(std::move(job));
}

} // namespace cove
