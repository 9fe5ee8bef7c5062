#pragma once
/** @file Limits how many requests are retried on another target. */

#include "core/ids_type.h"
#include "traffic/rate_window.h"

#include <map>

namespace cove {

/** Limits on retries, summed over all hosts. */
struct retry_limiter_settings {
    double ratio = 0;      ///< retries per request
    milliseconds window{}; ///< sliding window in which requests and retries are counted
    double slack = 0;      ///< additional retries per window, summed over all hosts
};

/**
 * Retry limiter of this host. Each host uses the ratio of its own requests and an equal share of
 * the slack, so the total over all hosts stays within the limit without coordination messages.
 */
class retry_limiter {
public:
    explicit retry_limiter(retry_limiter_settings const& settings);

    /** Counts a new request to @p service. */
    void add_request(service_id const& service, mono_time now);

    /**
     * Counts one retry if the limit allows it.
     * @param hosts number of hosts that share the slack.
     * @return false if the limit is reached.
     */
    bool take(service_id const& service, int hosts, mono_time now);

private:
    struct counters {
        rate_window requests;
        rate_window retries;
    };
    counters& of(service_id const& service);

    retry_limiter_settings settings_;
    std::map<service_id, counters> counters_by_service_;
};

} // namespace cove
