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
    set(found->second, bytes, what);
    while (held_ > limit_ && reclaim_from_largest()) {
    }
}

void memory_budget::leave(holder who)
{
    auto const found = accounts_.find(who);
    if (found != accounts_.end()) {
        set(found->second, 0, found->second.what);
        accounts_.erase(found);
    }
}

bool memory_budget::may_commit(std::uint64_t bytes) const
{
    return bytes <= spared_bytes || committed_ == 0 || committed_ + bytes <= limit_ - limit_ / 4;
}

void memory_budget::set(account& of, std::uint64_t bytes, holding what)
{
    held_ += bytes - of.bytes;
    committed_ -= of.what == holding::committed ? of.bytes : 0;
    committed_ += what == holding::committed ? bytes : 0;
    of.bytes = bytes;
    of.what = what;
}

/** @return whether there was a holder that could give its bytes back. */
bool memory_budget::reclaim_from_largest()
{
    auto const rank = [](account const& one) {
        return std::tuple(one.what != holding::committed, one.bytes > spared_bytes,
                          -static_cast<int>(one.what), one.bytes);
    };
    auto const largest =
        std::max_element(accounts_.begin(), accounts_.end(), [&rank](auto const& a, auto const& b) {
            return rank(a.second) < rank(b.second);
        });
    if (largest == accounts_.end() || largest->second.what == holding::committed) {
        return false;
    }
    auto const give_back = std::move(largest->second.give_back);
    leave(largest->first);
    ++reclaims_;
    give_back();
    return true;
}

} // namespace cove
