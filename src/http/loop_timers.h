#pragma once
/** @file Timers of an event loop. */

#include "core/time_type.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>

namespace cove {

/** Calls functions once or periodically on the event loop, all from one asio timer. */
class loop_timers {
public:
    using callback = std::function<void()>;
    using subscription = std::uint64_t;

    explicit loop_timers(boost::asio::io_context& loop);

    /** Calls @p fn every @p interval until cancelled. @return a handle for cancel(). */
    subscription every(microseconds interval, callback fn);

    /** Calls @p fn once at @p at. @return a handle for cancel(). */
    subscription once(mono_time at, callback fn);

    /** @param report called when timers run, with the time by which the latest of them is late. */
    void on_delay(std::function<void(microseconds)> report) { report_delay_ = std::move(report); }

    /** Cancels a timer. @param id handle of the timer; that of an ended one is ignored. */
    void cancel(subscription id);

private:
    struct entry {
        subscription id = 0;
        microseconds interval{}; ///< zero for a single call
        callback fn;
    };

    void add(mono_time at, entry timer);
    void arm();
    void run_due();

    boost::asio::steady_timer timer_;
    std::multimap<mono_time, entry> queue_;
    std::map<subscription, mono_time> due_times_; ///< key of each subscription in queue_
    std::function<void(microseconds)> report_delay_;
    subscription next_id_ = 1;
    mono_time armed_for_ = mono_time::max(); ///< when timer_ expires; max if not armed
};

} // namespace cove
