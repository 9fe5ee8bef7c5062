#include "traffic/retry_after.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr double golden_ratio_step = 0.6180339887; ///< spaces any number of values evenly
constexpr milliseconds min_delay{50};      ///< an earlier retry would find the targets still full
constexpr milliseconds spread_window{150}; ///< retries of simultaneous refusals are spread over it
/// Share of the time left that a client may wait before it retries.
constexpr double max_time_left_share = 0.33;

} // namespace

milliseconds retry_after_schedule::next(milliseconds until_slot_free, milliseconds time_left)
{
    sequence_ = std::fmod(sequence_ + golden_ratio_step, 1.0);
    auto const wanted = std::max(min_delay, until_slot_free) +
                        milliseconds(static_cast<std::int64_t>(
                            sequence_ * static_cast<double>(spread_window.count())));
    auto const max_delay = milliseconds(
        static_cast<std::int64_t>(max_time_left_share * static_cast<double>(time_left.count())));
    return std::max(min_delay, std::min(wanted, max_delay));
}

} // namespace cove
