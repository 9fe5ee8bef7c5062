#pragma once
/** @file Results of a load run, as JSON and as a table. */

#include "load/load_settings.h"
#include "metrics/latency_metrics.h"

#include <map>
#include <nlohmann/json.hpp>

namespace cove {

/** Outcomes of requests as seen by callers. */
struct load_counts {
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;                  ///< requests given up without a final answer
    std::uint64_t wrong_answer = 0;          ///< answer truncated or of another request
    std::uint64_t new_operation_retries = 0; ///< retries under a new operation id after Retry-After
    std::uint64_t retries = 0; ///< retries under the same operation id after a failed attempt
    std::uint64_t lookups = 0;
    std::uint64_t failed_lookups = 0;
    std::uint64_t cancels = 0;
};

/** Results of one worker, or the merged results of several. */
class load_results {
public:
    /** Records a request that ended. @param outcome `done`, `not_run`, `unknown` or `lost`. */
    void add(load_class const& kind, std::string const& outcome, microseconds latency);

    /** Records how long after its scheduled start a worker took up a request. */
    void add_start_lag(microseconds lag) { start_lag_.add(lag); }

    /** Adds the results of @p other. */
    void merge(load_results const& other);

    /** @return all results as JSON. @param name name of the run. */
    [[nodiscard]] nlohmann::json to_json(std::string const& name) const;

    /** @return a text table with one row per service, class and outcome. */
    [[nodiscard]] std::string to_table() const;

    load_counts counts;

private:
    struct key {
        service_id service;
        class_id request_class;
        std::string outcome;
        auto operator<=>(key const&) const = default;
    };

    std::map<key, duration_histogram> latencies_;
    duration_histogram start_lag_;
};

} // namespace cove
