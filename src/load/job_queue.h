#pragma once
/** @file Queue of jobs ordered by due time. */

#include "core/time_type.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <queue>
#include <vector>

namespace cove {

/**
 * Thread-safe priority queue from which workers take jobs once they are due.
 * @tparam Job has a member `due` of type mono_time.
 */
template <class Job>
class job_queue {
public:
    void push(Job job)
    {
        {
            std::lock_guard const lock(mutex_);
            jobs_.push(std::move(job));
        }
        timed_waiter_.notify_one();
        idle_workers_.notify_one();
    }

    /**
     * Waits for a job that is due. Only one worker waits with a time-out, for the earliest job; the
     * others wait without one, so that a due job wakes a single worker.
     * @return the job, or nullopt once the queue is closed.
     */
    std::optional<Job> pop()
    {
        std::unique_lock lock(mutex_);
        while (!closed_) {
            if (jobs_.empty() || has_timed_waiter_) {
                idle_workers_.wait(lock);
                continue;
            }
            mono_time const due = jobs_.top().due;
            if (read_clocks().mono < due) {
                has_timed_waiter_ = true;
                timed_waiter_.wait_until(lock, due);
                has_timed_waiter_ = false;
                continue;
            }
            Job job = jobs_.top();
            jobs_.pop();
            idle_workers_.notify_one();
            return job;
        }
        return std::nullopt;
    }

    /** Makes all current and future pop() calls return nullopt. */
    void close()
    {
        {
            std::lock_guard const lock(mutex_);
            closed_ = true;
        }
        timed_waiter_.notify_all();
        idle_workers_.notify_all();
    }

private:
    struct due_later {
        bool operator()(Job const& a, Job const& b) const { return a.due > b.due; }
    };

    std::mutex mutex_;
    std::condition_variable idle_workers_; ///< workers that wait without a time-out
    std::condition_variable timed_waiter_; ///< the worker that waits for the earliest job
    bool has_timed_waiter_ = false;        ///< whether a worker waits for the earliest job
    std::priority_queue<Job, std::vector<Job>, due_later> jobs_;
    bool closed_ = false;
};

} // namespace cove
