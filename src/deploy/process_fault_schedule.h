#pragma once
/** @file A seeded schedule of faults against a deployment on this machine. */

#include "core/random.h"
#include "deploy/local_deployment.h"

#include <functional>
#include <ostream>
#include <set>
#include <vector>

namespace cove {

/** Injects faults and takes each back after a while. */
class fault_schedule {
public:
    /** @param running must outlive this object. @param journal gets one line per fault. */
    fault_schedule(local_deployment& running, std::uint64_t seed, std::ostream& journal);

    /** Injects faults for @p duration, then takes all back. */
    void run(microseconds duration);

    /** Stops and restarts entry hosts, look-up processes and targets in a drawn order. */
    void run_planned_stops(microseconds duration);

    /** @return faults injected so far. */
    [[nodiscard]] int count() const { return count_; }

private:
    /** A fault that is in effect. */
    struct active_fault {
        mono_time end;
        std::string process;
        std::function<void()> undo;
    };

    void inject_one();
    void undo_due(mono_time now);
    void kill(layout_process const& item);
    void freeze(layout_process const& item);
    void disturb(layout_process const& item);
    void restart(std::string const& name);
    void note(char const* what, std::string const& process);
    microseconds draw(milliseconds least, milliseconds most);
    layout_process const& draw_process();

    local_deployment& running_;
    random_engine random_;
    std::ostream& journal_;
    mono_time begin_;
    std::vector<active_fault> active_;
    std::set<std::string> busy_; ///< processes with a fault in effect
    int count_ = 0;
};

} // namespace cove
