#include "traffic/warm_objects.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double longest_window = 2048; ///< requests; bounds the memory of each target
constexpr double shortest_window = 8;   ///< requests; some reuse is always worth a try
constexpr double shrink_weight = 0.02;  ///< a single slow answer proves little

} // namespace

void warm_window::observe(std::uint64_t age, bool was_warm)
{
    auto const seen = static_cast<double>(age);
    if (was_warm && seen >= length_) {
        length_ = std::min(longest_window, seen + 1);
    }
    else if (!was_warm && seen < length_) {
        length_ = std::max(shortest_window, length_ + shrink_weight * (seen - length_));
    }
}

void warm_objects::touch(object_key const& object)
{
    last_use_[object] = ++uses_;
    if (static_cast<double>(last_use_.size()) > 2 * longest_window) {
        std::erase_if(last_use_, [this](auto const& item) {
            return static_cast<double>(uses_ - item.second) > longest_window;
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
