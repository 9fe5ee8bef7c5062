#include "quota/quota_limiter.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr double demand_smoothing_seconds = 4;
constexpr double whole_unit = 1 - 1e-9; ///< one unit, less rounding errors of the refill
/// A bucket of one unit loses what is refilled while a whole unit waits for the next request.
constexpr double small_bucket = 2;
constexpr milliseconds longest_wait{60'000};
/// Part of the tolerance by which buckets are enlarged; the rest is for minimum rates.
constexpr double rounding_part = 0.75;
/// Requests per second. A claim in proportion to the demand would refuse hosts of few requests
/// every other one, as these do not come at even intervals.
constexpr double sparse_rate = 0.5;

double seconds_between(mono_time from, mono_time to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

/** @return @p demand after the time from @p measured to @p now without a request. */
double decayed(double demand, mono_time measured, mono_time now)
{
    return demand * std::exp(-seconds_between(measured, now) / demand_smoothing_seconds);
}

milliseconds to_wait(double seconds)
{
    double const longest = std::chrono::duration<double>(longest_wait).count();
    double const bounded = std::clamp(seconds, 0.0, longest);
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(bounded));
}

} // namespace

void quota_limiter::set_limits(workspace_limits const& limits, mono_time now)
{
    std::erase_if(buckets_, [&](auto const& item) { return !limits.contains(item.first); });
    for (auto const& [name, limit] : limits) {
        auto const [found, inserted] = buckets_.try_emplace(name);
        bucket& entry = found->second;
        if (inserted) {
            entry.count.workspace = name;
            entry.refilled = entry.period_start = entry.last_minimum = entry.measured = now;
        }
        refill(entry, now);
        entry.limit = limit;
        entry.claim = std::min(entry.claim, limit.rate);
        resize(entry);
    }
}

void quota_limiter::set_claim(workspace_id const& workspace, double rate, bool within_limit,
                              mono_time now)
{
    auto const found = buckets_.find(workspace);
    if (found == buckets_.end()) {
        return;
    }
    found->second.renewed = std::max(found->second.renewed, now);
    if (found->second.claim == rate && found->second.within_limit == within_limit) {
        return;
    }
    refill(found->second, now);
    found->second.claim = rate;
    found->second.within_limit = within_limit;
    resize(found->second);
}

void quota_limiter::resize(bucket& entry) const
{
    double const share = entry.claim / entry.limit.rate;
    double const all = entry.limit.burst + rounding_part * tolerance_of(settings_, entry.limit);
    double enlarged = std::min(all * share, small_bucket);
    if (entry.within_limit) {
        enlarged = small_bucket;
    }
    else if (enlarged < whole_unit && rounds_up(entry.count.workspace, enlarged)) {
        enlarged = 1;
    }
    entry.size = std::max(entry.limit.burst * share, enlarged);
    entry.units = std::min(entry.units, entry.size);
}

/** @return units per second; hosts with little demand get some while it fits the limit. */
double quota_limiter::refill_rate(bucket const& entry)
{
    return entry.within_limit ? std::max(entry.claim, sparse_rate) : entry.claim;
}

/** @return whether this host rounds @p part of a unit up, as that part of all hosts does. */
bool quota_limiter::rounds_up(workspace_id const& workspace, double part) const
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(stable_hash(workspace.value, seed_)) / range < part;
}

void quota_limiter::refill(bucket& entry, mono_time now)
{
    if (now > entry.period_start + return_time) {
        bool const adjacent = now <= entry.period_start + 2 * return_time;
        entry.peaks = {entry.units, adjacent ? entry.peaks[0] : entry.units};
        entry.period_start = now;
    }
    double const added = seconds_between(entry.refilled, now) * refill_rate(entry);
    entry.units = std::min(entry.size, entry.units + added);
    entry.peaks[0] = std::max(entry.peaks[0], entry.units);
    entry.refilled = std::max(entry.refilled, now);
}

quota_unit quota_limiter::take(workspace_id const& workspace, mono_time now)
{
    auto const found = buckets_.find(workspace);
    if (found == buckets_.end()) {
        return {};
    }
    bucket& entry = found->second;
    entry.demand = decayed(entry.demand, entry.measured, now) + 1 / demand_smoothing_seconds;
    entry.measured = now;
    if (now > entry.renewed + claim_lifetime) {
        entry.claim = 0;
        entry.within_limit = false;
        resize(entry);
    }
    refill(entry, now);
    quota_unit unit;
    if (entry.units >= whole_unit) {
        entry.units = std::max(0.0, entry.units - 1);
        unit.returnable = true;
    }
    else if (entry.size >= whole_unit) {
        unit = {false, false, to_wait((1 - entry.units) / refill_rate(entry))};
    }
    else {
        unit = take_minimum(entry, now);
    }
    ++(unit.admitted ? entry.count.admitted : entry.count.over_quota);
    return unit;
}

/**
 * @return time between two units of the minimum rate, so that all hosts together take at most the
 * rest of the tolerance in a window; zero if there are none.
 */
milliseconds quota_limiter::minimum_interval(bucket const& entry) const
{
    double const units = (1 - rounding_part) * tolerance_of(settings_, entry.limit);
    if (units < 1) {
        return {};
    }
    double const each = units / std::max(1, hosts_);
    // Below one unit in a window the hosts are not in step; twice the interval covers the spread.
    double const interval = each >= 1 ? 1 / std::floor(each) : 2 / each;
    return std::chrono::ceil<milliseconds>(settings_.window * interval);
}

quota_unit quota_limiter::take_minimum(bucket& entry, mono_time now) const
{
    milliseconds const interval = minimum_interval(entry);
    if (interval <= milliseconds{0}) {
        return {false, false, settings_.window};
    }
    mono_time const next = entry.last_minimum + interval;
    if (now < next) {
        return {false, false, to_wait(seconds_between(now, next))};
    }
    entry.last_minimum = now;
    return {};
}

void quota_limiter::give_back(workspace_id const& workspace, mono_time taken, mono_time now)
{
    auto const found = buckets_.find(workspace);
    if (found == buckets_.end() || now > taken + return_time) {
        return;
    }
    bucket& entry = found->second;
    refill(entry, now);
    if (std::max(entry.peaks[0], entry.peaks[1]) + 1 > entry.size) {
        return;
    }
    entry.units += 1;
    entry.peaks[0] += 1;
    entry.peaks[1] += 1;
}

double quota_limiter::demand(workspace_id const& workspace, mono_time now) const
{
    auto const found = buckets_.find(workspace);
    if (found == buckets_.end()) {
        return 0;
    }
    bucket const& entry = found->second;
    return entry.demand == 0 ? 0 : decayed(entry.demand, entry.measured, now);
}

double quota_limiter::claim(workspace_id const& workspace, mono_time now) const
{
    auto const found = buckets_.find(workspace);
    bool const lapsed = found == buckets_.end() || now > found->second.renewed + claim_lifetime;
    return lapsed ? 0 : found->second.claim;
}

std::vector<quota_count> quota_limiter::counts() const
{
    std::vector<quota_count> out;
    for (auto const& [name, entry] : buckets_) {
        out.push_back(entry.count);
        out.back().claim = entry.claim;
    }
    std::sort(out.begin(), out.end(),
              [](auto const& a, auto const& b) { return a.workspace < b.workspace; });
    return out;
}

} // namespace cove
