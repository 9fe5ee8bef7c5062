#pragma once
/** @file Measures how late an event loop comes to its work, and which work occupies it. */

#include "metrics/latency_metrics.h"

#include <map>
#include <string>
#include <utility>

namespace cove {

/** Used by the thread of one event loop only. */
class loop_monitor {
public:
    /** Work of one kind. */
    struct work_total {
        std::uint64_t count = 0;
        microseconds time{};
    };
    /** A single piece of work. */
    struct work_item {
        std::string kind;
        microseconds time{};
    };

    /** Adds the time between the moment at which a timer was due and the moment at which it ran. */
    void add_delay(microseconds delay) { delays_.add(delay); }

    /** Adds the time for which a request had been received by the kernel when it was read. */
    void add_unread(microseconds time) { unread_.add(time); }

    /** Adds work that took @p time in one turn of the loop. */
    void add_work(std::string const& kind, microseconds time);

    /** Calls @p work and adds the time that it takes. */
    template <class Work>
    void measure(std::string const& kind, Work work)
    {
        auto const started = read_clocks().mono;
        work();
        add_work(kind, read_clocks().mono - started);
    }

    /** @return the longest work since the last call; of no kind if there was none. */
    [[nodiscard]] work_item take_longest() { return std::exchange(longest_, {}); }

    /** @return the work done so far, by kind. */
    [[nodiscard]] std::map<std::string, work_total> const& work() const { return work_; }

    /** @return all measurements in the Prometheus text format. */
    [[nodiscard]] std::string prometheus() const;

private:
    duration_histogram delays_;
    duration_histogram unread_;
    std::map<std::string, work_total> work_;
    work_item longest_;
};

} // namespace cove
