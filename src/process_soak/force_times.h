#pragma once
/** @file When the entry hosts of a run put each version of the configuration into force. */

#include "process_soak/run_record_type.h"

namespace cove {

/** One version on one host. */
struct config_activation {
    std::string host;
    int version = 0;
    mono_time at;
};

/** The last host to put a version into force. */
struct force_time {
    int version = 0;
    std::string host;
    /** From the acknowledgement by the store; an upper bound, since hosts limit their log lines. */
    milliseconds late{0};
};

/**
 * @param path of the log of @p host.
 * @param log_epoch the time on the clock of this process at which the wall clock was zero.
 * @return the lines `config_in_force` of the log.
 */
std::vector<config_activation> read_activations(std::string const& path, std::string const& host,
                                                mono_time log_epoch);

/**
 * @param activations ordered by time for each host.
 * @param end of the run; hosts that have an older version by then count as late until then.
 * @return for each version the last host to put it or a newer one into force, of those that were in
 * touch all the while.
 */
std::vector<force_time> last_activations(run_record const& record, rule_bounds const& bounds,
                                         std::vector<config_activation> const& activations,
                                         mono_time end);

} // namespace cove
