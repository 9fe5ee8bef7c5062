#pragma once
/** @file Deals a route's requests out among its services. */

#include "route/route_type.h"

#include <map>

namespace cove {

/**
 * Weighted round robin: after any number of requests each service has had its share to within one
 * request.
 */
class part_choice {
public:
    /** @return the service of the next request of @p route, which has at least one part. */
    service_id next(route_config const& route);

    /** Forgets routes that are not in @p config. */
    void keep_only(routing_config const& config);

private:
    struct credit {
        std::vector<route_part> parts; ///< the weights that the credits belong to
        std::vector<double> owed;      ///< of each part, in weights
    };
    std::map<route_id, credit> credits_;
};

} // namespace cove
