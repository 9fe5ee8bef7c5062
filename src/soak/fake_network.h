#pragma once
/** @file The network between entry hosts: delays, reordering, duplicates, loss and cuts. */

#include "soak/fleet.h"

namespace cove {

/** Rates of network faults, in thousandths of the messages. */
struct network_quality {
    std::uint64_t loss_permille = 0;
    std::uint64_t duplicate_permille = 0;
    std::uint64_t straggler_permille = 0; ///< messages delayed by up to 1.5 s more
};

/** Carries messages between entry hosts. */
class fake_network {
public:
    /** @param region_of maps a zone to its region. */
    fake_network(scheduler& time, random_source& random, fleet& nodes,
                 std::function<region_id(zone_id const&)> region_of);

    void set_quality(network_quality quality) { quality_ = quality; }

    /** Drops messages from zone @p from to zone @p to; the other direction still works. */
    void cut(zone_id const& from, zone_id const& to) { cuts_.insert({from, to}); }

    /** Drops messages between hosts @p one and @p other; ends an earlier cut of a pair. */
    void cut_pair(std::size_t one, std::size_t other);

    /** Ends all cuts of zones and of host pairs. */
    void heal();

    /** Sends one message from @p host, whose process is running. */
    void send(std::size_t host, send_peer const& message);

private:
    microseconds delay(zone_id const& from, zone_id const& to);

    scheduler& time_;
    random_source& random_;
    fleet& nodes_;
    std::function<region_id(zone_id const&)> region_of_;
    network_quality quality_;
    std::set<std::pair<zone_id, zone_id>> cuts_;
    std::set<std::pair<std::size_t, std::size_t>> pair_cuts_;
};

} // namespace cove
