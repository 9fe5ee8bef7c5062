#include "traffic/refused_requests.h"

namespace cove {

void refused_requests::add(request_identity const& request, mono_time first_arrived,
                           mono_time until)
{
    refused_.emplace(request, refusal_record{first_arrived, until});
    expiries_.emplace(until, request);
}

std::optional<mono_time> refused_requests::take(request_identity const& request, mono_time now)
{
    expire(now);
    auto const found = refused_.find(request);
    if (found == refused_.end()) {
        return std::nullopt;
    }
    mono_time const first_arrived = found->second.first_arrived;
    refused_.erase(found);
    return first_arrived;
}

void refused_requests::expire(mono_time now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        auto const [first, last] = refused_.equal_range(expiries_.begin()->second);
        for (auto it = first; it != last; ++it) {
            if (it->second.until <= now) {
                refused_.erase(it);
                break;
            }
        }
        expiries_.erase(expiries_.begin());
    }
}

} // namespace cove
