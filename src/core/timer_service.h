#pragma once
/** @file A timer thread that runs callbacks at their due time. */

#include "core/time_type.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace cove {

/** Calls functions once or periodically on its own thread. */
class timer_service {
public:
    using callback = std::function<void()>;
    using subscription = std::uint64_t;

    timer_service();
    ~timer_service();
    timer_service(timer_service const&) = delete;
    timer_service& operator=(timer_service const&) = delete;
    timer_service(timer_service&&) = delete;
    timer_service& operator=(timer_service&&) = delete;

    /**
     * Calls @p fn every @p interval until cancelled.
     * @return a handle for cancel().
     */
    subscription every(microseconds interval, callback fn);

    /**
     * Calls @p fn once at @p at.
     * @return a handle for cancel().
     */
    subscription once(mono_time at, callback fn);

    /** Ends a subscription. A call that is already running is not interrupted or awaited. */
    void cancel(subscription id);

private:
    struct entry {
        subscription id;
        microseconds interval; ///< zero for a single call
        callback fn;
    };

    void run(std::stop_token const& stop);
    subscription add(mono_time at, microseconds interval, callback fn);

    std::mutex mutex_;
    std::condition_variable_any changed_;
    std::multimap<mono_time, entry> queue_;
    subscription next_id_ = 1;
    std::jthread thread_;
};

} // namespace cove
