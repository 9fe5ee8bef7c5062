#pragma once
/** @file Types of request quotas that all hosts share. */

#include "core/time_type.h"
#include "workspace/workspace_type.h"

#include <map>

namespace cove {

/** By how much all hosts together may exceed a limit. */
struct quota_settings {
    milliseconds window{5000}; ///< time over which the limit is checked
    double overage = 0;        ///< share of what the limit allows in a window
    double slack = 0;          ///< requests in a window
};

using workspace_limits = std::map<workspace_id, workspace_limit>; ///< only with a rate above 0

/** @return requests that may exceed @p limit in a window. */
inline double tolerance_of(quota_settings const& settings, workspace_limit const& limit)
{
    double const seconds = std::chrono::duration<double>(settings.window).count();
    return settings.overage * (seconds * limit.rate + limit.burst) + settings.slack;
}

} // namespace cove
