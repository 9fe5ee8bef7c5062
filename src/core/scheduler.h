#pragma once
/** @file Virtual time: a queue of functions, ordered by time and then by insertion. */

#include "core/time_type.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cove {

/** Runs functions in virtual time. */
class scheduler {
public:
    /** @return the virtual time, which is that of the function run last. */
    mono_time now() const { return now_; }

    /** Runs @p fn once @p delay has passed. */
    void after(microseconds delay, std::function<void()> fn) { at(now_ + delay, std::move(fn)); }

    /** Runs @p fn at @p when, or at the current time if that is past. */
    void at(mono_time when, std::function<void()> fn)
    {
        queue_.emplace(std::pair{std::max(when, now_), next_++}, std::move(fn));
    }

    /** Runs the next function and advances the time to it. @return false if there is none. */
    bool run_next()
    {
        if (queue_.empty()) {
            return false;
        }
        auto const entry = queue_.extract(queue_.begin());
        now_ = entry.key().first;
        entry.mapped()();
        return true;
    }

private:
    mono_time now_ = mono_time(seconds(1000));
    std::uint64_t next_ = 0;
    std::map<std::pair<mono_time, std::uint64_t>, std::function<void()>> queue_;
};

} // namespace cove
