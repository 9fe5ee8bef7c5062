#pragma once
/** @file The platform's host list and configuration: they lag, go away and are written by two. */

#include "soak/fake_targets.h"

namespace cove {

/** Tells entry hosts what the platform knows. */
class fake_platform {
public:
    fake_platform(scheduler& time, chance& random, fleet& nodes, fake_targets& targets,
                  deployment first);

    /** Rebuilds the host list from what runs and sends it to every entry host, each with a lag. */
    void publish_hosts();

    /** Tells a host that just started what the platform holds. */
    void greet(std::size_t host);

    /** Changes the state that the list gives for an entry host. */
    void list_entry_host(std::size_t host, std::optional<host_state> state);

    /** Two operators submit a change against the same generation; one wins. */
    void submit_twice();

    /** @return the number of the newest configuration that was acknowledged. */
    [[nodiscard]] generation newest() const { return generation_; }

    void set_down(bool down);
    void set_longest_lag(microseconds lag) { longest_lag_ = lag; }

private:
    void note_leaving(zone_id const& zone, host_list const& list);
    void send_hosts(std::size_t host, microseconds delay);
    void send_config(std::size_t host, microseconds delay);
    bool submit(generation seen, deployment change);

    scheduler& time_;
    chance& random_;
    fleet& nodes_;
    fake_targets& targets_;
    bool down_ = false;
    microseconds longest_lag_ = seconds(1);
    generation generation_{1};
    std::map<generation, std::shared_ptr<deployment const>> written_;
    std::map<std::size_t, host_state> listed_; ///< entry hosts in the list
    std::shared_ptr<host_list const> hosts_;
};

} // namespace cove
