#include "traffic/retry_limiter.h"

#include <algorithm>

namespace cove {

namespace {

/// Share of the limit that is used. The audit of the limit counts over other windows than the hosts
/// do, and the number of hosts changes over time.
constexpr double used_share = 0.6;

} // namespace

retry_limiter::retry_limiter(retry_limiter_settings const& settings) : settings_(settings) {}

retry_limiter::counters& retry_limiter::of(service_id const& service)
{
    return counters_by_service_
        .try_emplace(service,
                     counters{rate_window(settings_.window), rate_window(settings_.window)})
        .first->second;
}

void retry_limiter::add_request(service_id const& service, mono_time now)
{
    of(service).requests.add(now);
}

bool retry_limiter::take(service_id const& service, int hosts, mono_time now)
{
    counters& counts = of(service);
    double const limit = settings_.ratio * static_cast<double>(counts.requests.count(now)) +
                         settings_.slack / std::max(1, hosts);
    if (static_cast<double>(counts.retries.count(now)) + 1 > used_share * limit) {
        return false;
    }
    counts.retries.add(now);
    return true;
}

} // namespace cove
