#pragma once
/** @file Random faults of a soak run. */

#include "soak/fake_network.h"
#include "soak/fake_platform.h"

namespace cove {

/** Injects the faults that the run's profile allows, until repair(). */
class fault_schedule {
public:
    fault_schedule(scheduler& time, random_source& random, fleet& nodes, fake_network& network,
                   fake_targets& targets, fake_platform& platform, std::vector<zone_id> zones,
                   soak_profile profile);

    /** Schedules the first fault and sets the network quality and lag of the profile. */
    void start();

    /** Schedules a restart of @p host, whose process has ended. */
    void on_host_ended(std::size_t host);

    /**
     * Stops injecting and ends all cuts, outages and freezes. Hosts and targets that are down
     * restart as scheduled.
     */
    void repair();

private:
    void inject();
    void stop_host(std::size_t host);
    void kill_host(std::size_t host);
    void freeze_host(std::size_t host);
    void mark_target_leaving(std::size_t target);
    void kill_target(std::size_t target);
    void degrade_target(std::size_t target);
    void cut_zones();
    void cut_pair();
    void start_platform_outage();
    void inject_planned_change();
    void inject_node_fault();
    void inject_any_fault();
    void start_host_later(std::size_t host);

    scheduler& time_;
    random_source& random_;
    fleet& nodes_;
    fake_network& network_;
    fake_targets& targets_;
    fake_platform& platform_;
    std::vector<zone_id> zones_;
    soak_profile profile_;
    bool injecting_ = true;
};

} // namespace cove
