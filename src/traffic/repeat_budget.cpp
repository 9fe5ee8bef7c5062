#include "traffic/repeat_budget.h"

#include <algorithm>

namespace cove {

namespace {

/// Share of the bound that is used: windows of hosts and judge differ, and hosts come and go.
constexpr double used_share = 0.6;

} // namespace

repeat_budget::repeat_budget(repeat_terms const& terms) : terms_(terms) {}

repeat_budget::counters& repeat_budget::of(service_id const& service)
{
    return services_
        .try_emplace(service, counters{rate_window(terms_.window), rate_window(terms_.window)})
        .first->second;
}

void repeat_budget::count_request(service_id const& service, mono_time now)
{
    of(service).requests.add(now);
}

bool repeat_budget::take(service_id const& service, int hosts, mono_time now)
{
    counters& seen = of(service);
    double const bound = terms_.ratio * static_cast<double>(seen.requests.count(now)) +
                         terms_.slack / std::max(1, hosts);
    if (static_cast<double>(seen.repeats.count(now)) + 1 > used_share * bound) {
        return false;
    }
    seen.repeats.add(now);
    return true;
}

} // namespace cove
