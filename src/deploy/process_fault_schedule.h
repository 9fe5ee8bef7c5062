#pragma once
/** @file A seeded schedule of faults in the processes of a local deployment. */

#include "core/random.h"
#include "deploy/local_deployment.h"

#include <functional>
#include <ostream>
#include <set>
#include <vector>

namespace cove {

/** Injects faults and reverts each after a random time. */
class process_fault_schedule {
public:
    /**
     * @param running must outlive this object.
     * @param journal gets one line for each fault, stop and restart.
     */
    process_fault_schedule(local_deployment& running, std::uint64_t seed, std::ostream& journal);

    /** Injects faults for @p duration, then reverts those that are still in effect. */
    void run(microseconds duration);

    /** Stops and restarts entry hosts, look-up processes and targets in random order. */
    void run_planned_stops(microseconds duration);

    /** @return the number of journal lines written so far. */
    [[nodiscard]] int count() const { return count_; }

private:
    /** A fault that is in effect. */
    struct active_fault {
        mono_time end;
        std::string process;
        std::function<void()> revert;
    };

    void inject_fault();
    void revert_due_faults(mono_time now);
    void kill(layout_process const& item);
    void freeze(layout_process const& item);
    void inject_admin_fault(layout_process const& item);
    void restart(std::string const& name);
    void log_fault(char const* what, std::string const& process);
    microseconds random_duration(milliseconds min, milliseconds max);
    layout_process const& random_process();

    local_deployment& running_;
    random_engine random_;
    std::ostream& journal_;
    mono_time start_time_;
    std::vector<active_fault> active_;
    std::set<std::string> faulty_processes_; ///< processes with a fault in effect
    int count_ = 0;
};

} // namespace cove
