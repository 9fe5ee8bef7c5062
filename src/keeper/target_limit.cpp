#include "keeper/target_limit.h"

#include <algorithm>

namespace cove {

namespace {

constexpr seconds report_lifetime{3};  ///< older reports are ignored
constexpr milliseconds shed_pause{20}; ///< a target that shed a call gets no new one meanwhile
/** A call is congested if it takes longer than this multiple of the base latency plus noise. */
constexpr double congested_factor = 2.0;
constexpr microseconds latency_noise{2000};
constexpr double congestion_reduction = 0.9; ///< factor on the limit for a slow answer
constexpr double shed_reduction = 0.7;       ///< factor on the limit for a shed call
constexpr double error_reduction = 0.5;      ///< factor on the limit for a broken call
constexpr int base_drift_divisor = 64; ///< a slower call raises the base by 1/64 of the difference
/**
 * A new keeper uses only this share of the slots for the longest deadline of the service, because
 * calls of the previous keeper may still run. The adaptive limit starts at the same share.
 */
constexpr double new_keeper_share = 0.5;

/** Updates the base latency. @return whether the call's latency was far above it. */
bool update_base_latency(kept_target& target, observed_call const& call)
{
    microseconds& base =
        target.base_latency.try_emplace(call.request_class, call.latency).first->second;
    bool const congested =
        call.latency >
        std::chrono::duration_cast<microseconds>(base * congested_factor) + latency_noise;
    base = call.latency < base ? call.latency : base + (call.latency - base) / base_drift_divisor;
    return congested;
}

void reduce_limit(kept_target& target, double factor, double least, mono_time now)
{
    target.limit = std::max(std::min(least, target.limit), target.limit * factor);
    target.reduced_at = now;
}

} // namespace

int hard_limit(service_config const& service)
{
    return std::min(service.slots, service.connections);
}

microseconds longest_deadline(service_config const& service)
{
    microseconds longest{};
    for (class_config const& one : service.classes) {
        longest = std::max<microseconds>(longest, one.deadline);
    }
    return longest;
}

int working_limit(kept_target const& target, service_config const& service, mono_time now)
{
    if (target.leaving || now < target.resume_at) {
        return 0;
    }
    double limit = hard_limit(service);
    if (now < target.kept_since + longest_deadline(service)) {
        limit *= new_keeper_share;
    }
    if (target.limit > 0) {
        limit = std::min(limit, target.limit);
    }
    if (now < target.report.expires_at) {
        if (!target.report.healthy) {
            limit = 1;
        }
        if (target.report.limit > 0) {
            limit = std::min<double>(limit, target.report.limit);
        }
    }
    return std::max(1, static_cast<int>(limit));
}

void observe_call(kept_target& target, service_config const& service, observed_call const& call,
                  mono_time now)
{
    double const most = hard_limit(service);
    if (target.limit == 0) {
        target.limit = std::max(1.0, most * new_keeper_share);
    }
    if (call.verdict == call_verdict::not_started) {
        reduce_limit(target, shed_reduction, 1, now);
        target.resume_at = now + shed_pause;
        return;
    }
    if (call.verdict == call_verdict::broken) {
        reduce_limit(target, error_reduction, 1, now);
        return;
    }
    if (!update_base_latency(target, call)) {
        target.limit = std::min(most, target.limit + 1 / target.limit);
    }
    else if (now - target.reduced_at > call.latency) {
        reduce_limit(target, congestion_reduction, std::max(1.0, most / 2), now);
    }
}

void observe_report(kept_target& target, target_report const& report, mono_time now)
{
    target.leaving = report.leaving;
    target.report = {report.healthy, report.limit, now + report_lifetime};
}

} // namespace cove
