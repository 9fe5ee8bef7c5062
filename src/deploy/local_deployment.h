#pragma once
/** @file A sample deployment that runs on this machine. */

#include "deploy/child_process.h"
#include "deploy/layout.h"
#include "load/journal_check.h"

#include <map>
#include <memory>

namespace cove {

/** Settings of a load run; the other settings of cove-load come from the layout. */
struct local_load {
    std::string name;
    int rate = 100; ///< requests per second
    seconds duration{10};
    int max_retries = 2;       ///< times that a caller retries after Retry-After
    int duplicate_percent = 0; ///< requests that are also sent to a second entry host
    int cancel_percent = 0;    ///< requests that the caller cancels
    int seed = 1;
};

/** Runs the processes of a layout; the destructor kills those that still run. */
class local_deployment {
public:
    /** @param programs directory of the built programs. */
    local_deployment(layout plan, std::filesystem::path programs);

    /**
     * Starts all processes and waits until each look-up process lists the entry hosts of its zone.
     * @return an error if the deployment did not become ready.
     */
    result<void> start();

    [[nodiscard]] layout const& plan() const { return plan_; }

    child_process& process(std::string const& name) { return *processes_.at(name); }

    /** Starts a load run in a process of its own. */
    std::unique_ptr<child_process> start_load(local_load const& load) const;

    /** @return the share of slots in use in each region, from the reports of the targets. */
    [[nodiscard]] std::map<std::string, double> region_utilization() const;

    /** Checks the operation logs of the load runs @p loads against the journals of all targets. */
    [[nodiscard]] result<journal_check_result> check(std::vector<std::string> const& loads) const;

    /** @return the JSON report of load run @p name; a discarded value if missing or malformed. */
    [[nodiscard]] nlohmann::json report(std::string const& name) const;

private:
    [[nodiscard]] bool lists_all_entry_hosts(layout_process const& lookup) const;

    layout plan_;
    std::filesystem::path programs_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
};

} // namespace cove
