#pragma once
/** @file Adaptive concurrency limit of a target: at most its slots, less when it is overloaded. */

#include "config/deployment_type.h"
#include "node/node_event.h"

#include <unordered_map>

namespace cove {

/** The latest report of a target. */
struct latest_report {
    bool healthy = true;
    int limit = 0;          ///< reported limit of concurrent calls; zero if none
    mono_time expires_at{}; ///< the report is ignored afterwards
};

/** A target that this entry host is the keeper of, or was while its calls still run. */
struct kept_target {
    int in_flight = 0;      ///< running calls
    bool leaving = false;   ///< reported by the target
    double limit = 0;       ///< adaptive limit; zero before the first call result
    mono_time kept_since{}; ///< when this entry host became its keeper
    mono_time resume_at{};  ///< end of the pause after the target shed a call
    mono_time reduced_at{}; ///< when the limit was last reduced
    std::unordered_map<class_id, microseconds> base_latency; ///< latency without load, by class
    latest_report report;
};

/** Result of a call, as input for the limit. */
struct observed_call {
    class_id request_class;
    call_verdict verdict = call_verdict::answered;
    microseconds latency{};
};

/** @return how many calls the target may run concurrently now. */
int working_limit(kept_target const& target, service_config const& service, mono_time now);

/** @return the upper bound of concurrent calls for targets of @p service. */
int hard_limit(service_config const& service);

/** Adapts the limit to the result of a call. */
void observe_call(kept_target& target, service_config const& service, observed_call const& call,
                  mono_time now);

/** Applies a report of the target. */
void observe_report(kept_target& target, target_report const& report, mono_time now);

/** @return the longest deadline of the classes of @p service. */
microseconds longest_deadline(service_config const& service);

} // namespace cove
