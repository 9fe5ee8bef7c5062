#include "peer/byte_budget.h"

#include <algorithm>

namespace cove {

void byte_budget::refill(mono_time now)
{
    double const seconds = std::chrono::duration<double>(now - refilled_).count();
    left_ = std::min(bytes_per_second_, left_ + seconds * bytes_per_second_);
    urgent_left_ = std::min(bytes_per_second_, urgent_left_ + seconds * bytes_per_second_);
    refilled_ = now;
}

bool byte_budget::take_urgent(std::size_t bytes, mono_time now)
{
    refill(now);
    if (urgent_left_ < -bytes_per_second_) {
        return false;
    }
    urgent_left_ -= static_cast<double>(bytes);
    left_ -= static_cast<double>(bytes);
    return true;
}

bool byte_budget::take(std::size_t bytes, mono_time now)
{
    refill(now);
    auto const size = static_cast<double>(bytes);
    if (left_ < std::min(size, bytes_per_second_)) {
        return false;
    }
    left_ -= size;
    return true;
}

} // namespace cove
