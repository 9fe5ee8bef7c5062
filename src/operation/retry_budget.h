#pragma once
/** @file Limits retries to a share of the first attempts. */

#include "core/ids_type.h"

#include <map>

namespace cove {

/** Key of one budget. */
struct retry_route {
    service_id service;
    class_id request_class;
    node_id destination; ///< empty for all destinations of the class
    auto operator<=>(retry_route const&) const = default;
};

/** Available retries per class, and per class and destination. */
struct retry_budget {
    std::map<retry_route, double> earned;
};

/** Adds the budget earned by a first attempt sent to @p destination. */
void earn_retry(retry_budget& budget, service_id const& service, class_id const& request_class,
                node_id const& destination);

/**
 * Spends one retry to @p destination.
 * @return false if the budget is exhausted; nothing is spent then.
 */
bool spend_retry(retry_budget& budget, service_id const& service, class_id const& request_class,
                 node_id const& destination);

} // namespace cove
