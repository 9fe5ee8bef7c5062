#pragma once
/** @file Steering policies: the placement strategy and the baselines that it is compared with. */

#include "config/deployment_type.h"
#include "core/error.h"
#include "core/random.h"
#include "steering/steering_message.h"

#include <functional>
#include <string_view>

namespace cove {

/** Information that a policy may use to place one request. */
struct placement_input {
    service_load const* own_load = nullptr; ///< load of the own zone; null when not known
    std::vector<zone_id> const* other_zones = nullptr; ///< with live targets, nearest first
    double overflow = 0; ///< share of requests that may leave the own zone now
};

/** The zones that a policy prefers for one request. */
struct placement_preference {
    bool own_zone = true;       ///< whether the own zone may serve the request
    std::vector<zone_id> zones; ///< other zones to try first, in order
};

/** Behaviour in which the policies differ. */
struct steering_policy {
    std::function<placement_preference(placement_input const&, random_engine&)> place;
    bool needs_grant = true;     ///< whether a request to another zone needs its grant
    bool capped_failover = true; ///< whether the shift cap limits changes of the overflow
};

/** @return the policy called @p name: grants, nearest, equal-spread, reported-load or uncapped. */
result<steering_policy> make_steering_policy(std::string_view name);

} // namespace cove
