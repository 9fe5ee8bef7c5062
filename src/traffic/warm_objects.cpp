#include "traffic/warm_objects.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double max_window = 2048;    ///< requests; bounds the memory used per target
constexpr double min_window = 8;       ///< requests; keeps reuse of objects possible
constexpr double shrink_weight = 0.02; ///< small, as a single slow answer is weak evidence

} // namespace

void warm_window::observe(std::uint64_t age, bool was_warm)
{
    auto const age_requests = static_cast<double>(age);
    if (was_warm && age_requests >= length_) {
        length_ = std::min(max_window, age_requests + 1);
    }
    else if (!was_warm && age_requests < length_) {
        length_ = std::max(min_window, length_ + shrink_weight * (age_requests - length_));
    }
}

void warm_objects::touch(object_key const& object)
{
    last_use_[object] = ++uses_;
    if (static_cast<double>(last_use_.size()) > 2 * max_window) {
        std::erase_if(last_use_, [this](auto const& item) {
            return static_cast<double>(uses_ - item.second) > max_window;
        });
    }
}

std::optional<std::uint64_t> warm_objects::age(object_key const& object) const
{
    auto const found = last_use_.find(object);
    if (found == last_use_.end()) {
        return std::nullopt;
    }
    return uses_ - found->second;
}

void warm_objects::clear()
{
    last_use_.clear();
}

} // namespace cove
