#pragma once
/** @file Messages that share loads within a zone and grant capacity between zones. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <variant>
#include <vector>

namespace cove {

/** Capacity and load of the targets of one service, summed over one keeper or one zone. */
struct service_load {
    service_id service;
    int slots = 0;     ///< requests that the targets may run at the same time
    int own = 0;       ///< running requests that entered at a host of the same zone
    int foreign = 0;   ///< running requests that entered at hosts of other zones
    int queued = 0;    ///< accepted and waiting for a slot
    int grantable = 0; ///< slots that the receiver of the report may grant to other zones
    bool operator==(service_load const&) const = default;
};

/** A member's load per service, sent to the aggregators of its zone. */
struct load_report {
    std::vector<service_load> services;
};

/** Share of a service's callers that look-up answers direct to another zone. */
struct zone_share {
    service_id service;
    zone_id zone;
    double share = 0;
    bool operator==(zone_share const&) const = default;
};

/** A zone's loads and look-up shares, distributed by the first aggregator to all members. */
struct zone_summary {
    node_id leader;             ///< the aggregator that made it
    std::uint64_t sequence = 0; ///< increases with each summary of the leader
    std::vector<service_load> services;
    std::vector<zone_share> shares;
};

/** Requests capacity from another zone; replaces the holder's earlier request for the service. */
struct grant_request {
    std::uint64_t sequence = 0; ///< increases with each message of the holder
    service_id service;
    int wanted = 0; ///< number of requests that the holder wants to have in flight
};

/** The issuer's answer to a request for capacity. */
struct grant_answer {
    std::uint64_t sequence = 0; ///< sequence number of the request
    service_id service;
    int units = 0; ///< number of requests that may be in flight; zero when no capacity is free
    milliseconds lifetime{}; ///< measured by the holder from sending its request
    int room = 0;            ///< further units that the issuer could have granted
};

/** Returns part of a grant before it expires. */
struct grant_return {
    std::uint64_t sequence = 0; ///< higher than that of every grant that it reduces
    service_id service;
    int keep = 0; ///< requests that the holder may still have in flight
};

using steering_message =
    std::variant<load_report, zone_summary, grant_request, grant_answer, grant_return>;

} // namespace cove
