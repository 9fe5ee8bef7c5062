#include "traffic/refused_requests.h"

namespace cove {

void refused_requests::add(repeated_request const& request, mono_time began, mono_time until)
{
    refused_.emplace(request, refusal_memory{began, until});
    ends_.emplace(until, request);
}

std::optional<mono_time> refused_requests::take(repeated_request const& request, mono_time now)
{
    expire(now);
    auto const found = refused_.find(request);
    if (found == refused_.end()) {
        return std::nullopt;
    }
    mono_time const began = found->second.began;
    refused_.erase(found);
    return began;
}

void refused_requests::expire(mono_time now)
{
    while (!ends_.empty() && ends_.begin()->first <= now) {
        auto const [first, last] = refused_.equal_range(ends_.begin()->second);
        for (auto it = first; it != last; ++it) {
            if (it->second.until <= now) {
                refused_.erase(it);
                break;
            }
        }
        ends_.erase(ends_.begin());
    }
}

} // namespace cove
