#include "follow/watch_timing.h"

#include <algorithm>

namespace cove {

namespace {

/// A store that answers this many times as slowly as lately is taken to say nothing.
constexpr int tolerated_slowdown = 4;
/// Part of the bound that a usual time-out takes, and that the shortest wait takes.
constexpr int part_of_bound = 3;

} // namespace

void watch_timing::add_answer(milliseconds delay)
{
    slowest_ = std::max(delay, slowest_ / 2);
}

watch_times watch_timing::next() const
{
    milliseconds const part = silence_max_ / part_of_bound;
    milliseconds const longest = std::min(max_timeout, silence_max_ - part);
    milliseconds const timeout =
        std::clamp(slowest_ * tolerated_slowdown, std::min(part, longest), longest);
    return {silence_max_ - timeout, timeout};
}

} // namespace cove
