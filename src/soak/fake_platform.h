#pragma once
/** @file The platform's host list and configuration, with lag, outages and conflicting writes. */

#include "soak/fake_targets.h"

namespace cove {

/** Sends the host list and the configuration to the entry hosts. */
class fake_platform {
public:
    fake_platform(scheduler& time, random_source& random, fleet& nodes, fake_targets& targets,
                  deployment first);

    /** Builds a new version of the host list and sends it to every entry host with a random lag. */
    void publish_hosts();

    /** Sends the current host list and configuration to a host that has just started. */
    void send_initial_state(std::size_t host);

    /** Sets the state of an entry host in the next host list, or removes it if there is none. */
    void list_entry_host(std::size_t host, std::optional<host_state> state);

    /** Submits two changes against the same generation, of which only the first is accepted. */
    void submit_conflicting_changes();

    /** @return the generation of the newest accepted configuration. */
    [[nodiscard]] generation newest_generation() const { return generation_; }

    /** Starts or ends an outage, which rejects changes and delays updates to entry hosts. */
    void set_down(bool down);

    void set_max_lag(microseconds lag) { max_lag_ = lag; }

private:
    void record_leaving(zone_id const& zone, host_list const& list);
    void send_hosts(std::size_t host, microseconds delay);
    void send_config(std::size_t host, microseconds delay);
    bool submit(generation expected, deployment change);

    scheduler& time_;
    random_source& random_;
    fleet& nodes_;
    fake_targets& targets_;
    bool down_ = false;
    microseconds max_lag_ = seconds(1);
    generation generation_{1};
    std::map<generation, std::shared_ptr<deployment const>> config_history_;
    std::map<std::size_t, host_state> listed_entry_hosts_; ///< by host index
    std::shared_ptr<host_list const> hosts_;
};

} // namespace cove
