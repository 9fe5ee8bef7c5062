/** @file The part of host_view that finds hosts that are not heard. */

#include "peer/host_view.h"

#include <algorithm>

namespace cove {

namespace {

/// Receivers of one round of discovery messages while no other host has answered.
constexpr std::size_t lonely_fanout = 128;
/// Zone peers that get a discovery message in one round.
constexpr std::size_t discovery_fanout = 16;

} // namespace

/** @return the IPs of known hosts that are neither live zone peers nor in a live zone's roster. */
std::vector<std::string> host_view::discovery_ips(mono_time now) const
{
    std::set<std::string> ips = seeds_;
    for (auto const& [name, host] : zone_peers_) {
        if (!is_alive(host, now)) {
            ips.insert(host.report.ip);
        }
    }
    std::set<std::string> reachable;
    for (auto const& [name, zone] : remote_zones_) {
        std::set<std::string>& known = is_alive(zone, now) ? reachable : ips;
        known.insert(zone.status.ip);
        for (roster_host const& host : roster_of(zone)) {
            known.insert(host.ip);
        }
    }
    for (auto const& [name, host] : remote_hosts_) {
        if (!reachable.contains(host.ip)) {
            ips.insert(host.ip);
        }
    }
    return {ips.begin(), ips.end()};
}

/** Sends a discovery message to zone peers whose address is new, to a few of them per tick. */
void host_view::greet_new_contacts(host_effects& out, mono_time now)
{
    std::vector<std::string> receivers;
    while (!contacts_to_greet_.empty() && receivers.size() < discovery_fanout) {
        zone_peer const& host = zone_peers_[contacts_to_greet_.back()];
        contacts_to_greet_.pop_back();
        if (!host.has_reported) {
            receivers.push_back(host.report.ip);
        }
    }
    if (!receivers.empty()) {
        out.push_back({std::move(receivers),
                       gossip{self_.name, self_.ip, {self_}, {own_status(now, true)}, true}});
    }
}

/** Sends discovery messages: finds hosts at the start and again after a network partition. */
void host_view::send_discovery(host_effects& out, mono_time now)
{
    std::vector<std::string> ips = discovery_ips(now);
    if (ips.empty()) {
        return;
    }
    gossip const hello{self_.name, self_.ip, {self_}, {own_status(now, true)}, true};
    bool const alone = zone_peer_ips(now).empty() && zones(now).size() == 1;
    if (alone) {
        std::shuffle(ips.begin(), ips.end(), random_);
        ips.resize(std::min(ips.size(), lonely_fanout));
        out.push_back({std::move(ips), hello});
        return;
    }
    std::vector<std::string> receivers;
    for (auto const& [name, host] : zone_peers_) { // zone peers come first
        if (state_of(host, now) == peer_state::starting && receivers.size() < discovery_fanout) {
            receivers.push_back(host.report.ip);
        }
    }
    receivers.push_back(ips[random_below(random_, ips.size())]);
    out.push_back({std::move(receivers), hello});
}

} // namespace cove
