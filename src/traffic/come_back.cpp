#include "traffic/come_back.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr double golden_step = 0.6180339887; ///< spreads any number of values evenly
constexpr milliseconds soonest{50};          ///< earlier ones find the state of the refusal
constexpr milliseconds spread{150};          ///< comebacks of one moment go to so long a span
constexpr double latest_share = 0.33; ///< of its time left that a client waits before it asks again

} // namespace

milliseconds come_back_times::next(milliseconds until_room, milliseconds time_left)
{
    spread_ = std::fmod(spread_ + golden_step, 1.0);
    auto const wanted =
        std::max(soonest, until_room) +
        milliseconds(static_cast<std::int64_t>(spread_ * static_cast<double>(spread.count())));
    auto const latest = milliseconds(
        static_cast<std::int64_t>(latest_share * static_cast<double>(time_left.count())));
    return std::max(soonest, std::min(wanted, latest));
}

} // namespace cove
