#include "steering/shift_limiter.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double rounding_error = 1e-9;

double shifted_in_window(shift_limiter const& limiter)
{
    double sum = 0;
    for (shift_entry const& entry : limiter.entries) {
        sum += entry.share;
    }
    return sum;
}

} // namespace

double acquire_shift(shift_limiter& limiter, shift_config const& limits,
                     disabled_mechanisms const& disabled, mono_time now, double wanted)
{
    microseconds const counted = limits.window + limits.answer_lifetime;
    while (!limiter.entries.empty() && now - limiter.entries.front().at > counted) {
        limiter.entries.pop_front();
    }
    double const remaining = std::max(0.0, limits.cap - shifted_in_window(limiter));
    double const shifted = disabled.shift_cap ? wanted : std::clamp(wanted, 0.0, remaining);
    if (shifted > 0) {
        limiter.entries.push_back({now, shifted});
        require_invariant(shifted_in_window(limiter) <= limits.cap + rounding_error,
                          "the traffic shifted in a window stays under the cap");
    }
    return shifted;
}

void assume_cap_used(shift_limiter& limiter, shift_config const& limits, mono_time now)
{
    limiter.entries.assign(1, {now, limits.cap});
}

} // namespace cove
