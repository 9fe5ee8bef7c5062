#pragma once
/** @file How long a watch of the store waits, so that a connection that says nothing is noticed. */

#include "core/time_type.h"

namespace cove {

/** The times of one watch. */
struct watch_times {
    milliseconds wait{};    ///< for changes; the store answers without any after it
    milliseconds timeout{}; ///< from the end of the wait until the answer begins
    bool operator==(watch_times const&) const = default;
};

/** Chooses the times of the watches of one follower. */
class watch_timing {
public:
    /**
     * Sets the bound on the time until a watch without an answer ends. It is charged, so only hosts
     * on which others rely should set a short one.
     */
    void set_silence_max(milliseconds silence_max) { silence_max_ = silence_max; }

    [[nodiscard]] milliseconds silence_max() const { return silence_max_; }

    /** Takes note of an answer. @param delay since the store was to answer. */
    void add_answer(milliseconds delay);

    /** @return times whose sum is at most the bound. */
    [[nodiscard]] watch_times next() const;

    /// Longest time for which a call waits for the store's answer; a healthy one takes
    /// milliseconds.
    static constexpr milliseconds max_timeout{1500};
    static constexpr milliseconds default_silence_max{9500};

private:
    milliseconds silence_max_ = default_silence_max;
    milliseconds slowest_{}; ///< delay of the slowest recent answer
};

} // namespace cove
