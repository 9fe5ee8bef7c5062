#pragma once
/** @file Settings of cove-load. */

#include "core/ids_type.h"
#include "settings/settings_table.h"

namespace cove {

/** A class of requests and its share of the load. */
struct load_class {
    service_id service;
    class_id request_class;
    bool idempotent = false;    ///< whether a caller may repeat it under a new operation id
    double share = 1;           ///< weight relative to the other classes
    milliseconds timeout{1000}; ///< the caller's deadline
};

/** Part of the rate profile: @c rate applies from @c at until the next step. */
struct rate_step {
    milliseconds at{}; ///< since the start of the run
    double rate = 0;   ///< requests per second
};

/** Settings of one load run. */
struct load_settings {
    std::string name = "load";
    std::vector<std::string> lookup_addresses; ///< look-up processes; each caller prefers one
    std::vector<std::string> target_addresses; ///< targets to call without entry hosts
    std::vector<load_class> classes;
    std::vector<rate_step> profile;
    milliseconds duration{10'000};
    milliseconds client_timeout{10'000}; ///< after this, a request that keeps failing is given up
    int callers = 100;                   ///< simulated callers, each with its own look-up cache
    int threads = 64;                    ///< worker threads; each runs one request at a time
    int max_retries = 0;       ///< maximum retries under a new operation id after Retry-After
    int duplicate_percent = 0; ///< requests also sent to a second entry host
    int cancel_percent = 0;    ///< requests cancelled by the caller
    int body_bytes = 64;       ///< minimum length; operation id and intent may exceed it
    int seed = 1;
    std::string report_file;    ///< output file of the JSON report
    std::string operation_file; ///< output file with one JSON line per final answer
};

/** @return the table that describes load_settings. */
settings_table<load_settings> const& load_settings_table();

} // namespace cove
