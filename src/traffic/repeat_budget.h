#pragma once
/** @file Bounds how often a request is sent to another target. */

#include "core/ids_type.h"
#include "traffic/rate_window.h"

#include <map>

namespace cove {

/** The bound on repeats that all hosts keep together. */
struct repeat_terms {
    double ratio = 0;      ///< repeats per request
    milliseconds window{}; ///< over which it is counted
    double slack = 0;      ///< repeats allowed besides, summed over all hosts
};

/**
 * Each host takes its own requests' share of the bound and an equal part of the slack, so the sum
 * over all hosts holds without messages.
 */
class repeat_budget {
public:
    explicit repeat_budget(repeat_terms const& terms);

    /** Counts a request for @p service. */
    void count_request(service_id const& service, mono_time now);

    /** Takes a repeat. @param hosts that share the slack. @return false when none is left. */
    bool take(service_id const& service, int hosts, mono_time now);

private:
    struct counters {
        rate_window requests;
        rate_window repeats;
    };
    counters& of(service_id const& service);

    repeat_terms terms_;
    std::map<service_id, counters> services_;
};

} // namespace cove
