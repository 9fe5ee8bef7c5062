#include "http/memory_budget.h"

#include <algorithm>
#include <tuple>

namespace cove {

namespace {

/// Holders of no more are spared while others exist: ordinary requests are that small, also while
/// their header is read and counts as the largest one allowed.
constexpr std::uint64_t spared_bytes = 65'536;

} // namespace

memory_budget::holder memory_budget::join(std::function<void()> give_back)
{
    accounts_[++last_holder_] = {0, holding::response, std::move(give_back)};
    return last_holder_;
}

void memory_budget::hold(holder who, std::uint64_t bytes, holding what)
{
    auto const found = accounts_.find(who);
    if (found == accounts_.end()) {
        return;
    }
    held_ += bytes - found->second.bytes;
    found->second.bytes = bytes;
    found->second.what = what;
    while (held_ > limit_) {
        reclaim_from_largest();
    }
}

void memory_budget::leave(holder who)
{
    auto const found = accounts_.find(who);
    if (found != accounts_.end()) {
        held_ -= found->second.bytes;
        accounts_.erase(found);
    }
}

void memory_budget::reclaim_from_largest()
{
    auto const rank = [](account const& one) {
        return std::tuple(one.bytes > spared_bytes, -static_cast<int>(one.what), one.bytes);
    };
    auto const largest =
        std::max_element(accounts_.begin(), accounts_.end(), [&rank](auto const& a, auto const& b) {
            return rank(a.second) < rank(b.second);
        });
    auto const give_back = std::move(largest->second.give_back);
    leave(largest->first);
    ++reclaims_;
    give_back();
}

} // namespace cove
