#include "admission/queue_order.h"

#include <tuple>

namespace cove {

bool objective_missed(queue_place const& place, mono_time now)
{
    return !place.client_retry && now > place.latest_start;
}

bool comes_before(queue_place const& a, queue_place const& b, mono_time now)
{
    auto const rank = [now](queue_place const& place) {
        return std::tuple(objective_missed(place, now), place.priority, place.beyond_share,
                          !place.client_retry, place.latest_start, place.sequence);
    };
    return rank(a) < rank(b);
}

} // namespace cove
