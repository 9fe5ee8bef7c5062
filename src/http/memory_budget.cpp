#include "http/memory_budget.h"

#include <algorithm>

namespace cove {

memory_budget::holder memory_budget::join(std::function<void()> give_back)
{
    accounts_[++last_holder_] = {0, std::move(give_back)};
    return last_holder_;
}

void memory_budget::hold(holder who, std::uint64_t bytes)
{
    auto const found = accounts_.find(who);
    if (found == accounts_.end()) {
        return;
    }
    held_ += bytes - found->second.bytes;
    found->second.bytes = bytes;
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
    auto const largest =
        std::max_element(accounts_.begin(), accounts_.end(), [](auto const& a, auto const& b) {
            return a.second.bytes < b.second.bytes;
        });
    auto const give_back = std::move(largest->second.give_back);
    leave(largest->first);
    ++reclaims_;
    give_back();
}

} // namespace cove
