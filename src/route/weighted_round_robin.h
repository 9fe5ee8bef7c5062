#pragma once
/** @file Splits the requests of a route among its services. */

#include "route/route_type.h"

#include <map>

namespace cove {

/**
 * Smooth weighted round robin. After any number of requests, the count of each service differs from
 * its share by about one request at most.
 */
class weighted_round_robin {
public:
    /** @return the service for the next request of @p route, which must have a service. */
    service_id next(route_config const& route);

    /** Drops the state of routes that are not in @p config. */
    void keep_only(routing_config const& config);

private:
    struct round_robin_state {
        std::vector<weighted_service> services; ///< weights at which the credits were accumulated
        std::vector<double> credits; ///< accumulated weight minus requests served, per service
    };
    std::map<route_id, round_robin_state> states_;
};

} // namespace cove
