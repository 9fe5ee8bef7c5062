#pragma once
/** @file Runs entry hosts as processes between stand-ins, under a seeded schedule of faults. */

#include "process_soak/force_times.h"
#include "process_soak/rule_audit.h"
#include "process_soak/step_schedule.h"

#include <cstdint>
#include <cstdio>

namespace cove {

struct process_soak_options {
    std::uint64_t seed = 1;
    seconds duration{60};
    std::string program; ///< the entry host
    std::string folder;  ///< for settings and logs; exists
    rule_bounds bounds;
    schedule_kind schedule = schedule_kind::mixed;
    soak_shape shape;
    std::FILE* journal = stdout;
};

struct process_soak_outcome {
    bool started = false;  ///< whether all hosts became ready
    int ended_unasked = 0; ///< processes that ended without a signal
    std::size_t requests = 0;
    std::size_t answered = 0; ///< with status 200
    std::size_t runs = 0;
    std::vector<rule_violation> violations;
    std::vector<force_time> force_times; ///< of each version
};

/** Blocks for the duration of the run and a few seconds. */
process_soak_outcome run_process_soak(process_soak_options const& options);

} // namespace cove
