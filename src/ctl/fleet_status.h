#pragma once
/** @file Queries the status of all entry hosts. */

#include "core/error.h"
#include "core/time_type.h"
#include "membership/host_list_type.h"

namespace cove {

/** Status of one entry host, from its /v1/status. */
struct node_status {
    node_id node;
    zone_id zone;
    generation number; ///< generation of the configuration in force
    bool stopping = false;
    step_error error; ///< why the query failed; empty step if it succeeded

    [[nodiscard]] bool answered() const { return error.step.empty(); }
};

/** Queries all entry hosts of @p hosts, several in parallel. @param timeout of each query. */
std::vector<node_status> query_entry_hosts(host_list const& hosts, milliseconds timeout);

/** @return @p status as one line of text. */
std::string to_string(node_status const& status);

} // namespace cove
