#pragma once
/** @file Options and outcome of one soak run. */

#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cove {

/** Options of a soak run. */
struct soak_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 60'000; ///< events processed before faults and new operations end
    std::string disabled;         ///< name of a mechanism to disable; empty for none
};

/** Which faults a run may inject; chosen by the seed. */
enum class soak_profile {
    planned_stops, ///< only planned stops, leaving targets and changes of configuration
    node_faults,   ///< also kills, freezes and cuts between two hosts, but no loss
    all_faults,    ///< also loss, duplicates, cuts between zones, outages and faulty targets
};

/** Result of a soak run. */
struct soak_outcome {
    std::uint64_t seed = 0;
    std::uint64_t steps = 0;
    std::uint64_t hash = 0; ///< of all events and effects; equal for two runs of one seed
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t shifted_over_cap = 0;
    std::uint64_t region_over_limit = 0;
    std::vector<std::string> violations;
    std::vector<std::string> recent_events; ///< before the first violation
};

/** Runs one simulation. @return its result. */
soak_outcome run_soak(soak_options const& options);

} // namespace cove
