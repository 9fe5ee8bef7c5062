#pragma once
/** @file Counts events in a sliding time window. */

#include "core/time_type.h"

#include <deque>

namespace cove {

/** Counts the events of the last @p length. */
class rate_window {
public:
    explicit rate_window(milliseconds length) : length_(length) {}

    void add(mono_time now)
    {
        expire(now);
        events_.push_back(now);
    }

    /** @return number of events in the window that ends at @p now. */
    std::size_t count(mono_time now)
    {
        expire(now);
        return events_.size();
    }

private:
    void expire(mono_time now)
    {
        while (!events_.empty() && events_.front() + length_ <= now) {
            events_.pop_front();
        }
    }

    milliseconds length_;
    std::deque<mono_time> events_;
};

} // namespace cove
