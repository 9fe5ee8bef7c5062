#pragma once
/** @file Workspaces: the customers of a deployment, their access keys and limits. */

#include "core/ids_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cove {

using workspace_id = strong_name<struct workspace_tag>; ///< empty: the request has no workspace

/** Limit on the requests of a workspace, over all hosts together. */
struct workspace_limit {
    double rate = 0;  ///< requests per second; 0: no limit
    double burst = 0; ///< requests that may come at once, on top of the rate
    bool operator==(workspace_limit const&) const = default;
};

/** One workspace of a configuration. */
struct workspace_config {
    workspace_id name;
    std::vector<std::string> keys;       ///< access keys; secret, never logged
    std::optional<int> priority;         ///< replaces that of the route; 0 is the highest
    std::vector<region_id> home_regions; ///< regions whose targets may be used; empty means any
    workspace_limit limit;
    bool operator==(workspace_config const&) const = default;
};

} // namespace cove
