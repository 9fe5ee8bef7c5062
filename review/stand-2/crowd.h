#pragma once
/** @file Two entry hosts under the platform's memory limit, short orders, and a crowd beside them.
 */

#include "host.h"

namespace stand {

constexpr long legal_body_bytes = 67'108'864; ///< max_body_bytes of the configuration

/** What the crowd does at one host in one round; runs in a thread for each host. */
using crowd_round = std::function<void(entry_host const& host, int round, record& notes)>;

/**
 * Runs five rounds of @p crowd while clients send short orders.
 * @param work_ms of the servers for an order.
 * @return the exit code of the case: whether both processes ended three times.
 */
int run_crowd_case(record& notes, long work_ms, crowd_round const& crowd);

} // namespace stand
