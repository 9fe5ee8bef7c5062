/** @file The part of host_view that finds hosts that are not heard. */

#include "peer/host_view.h"

#include <algorithm>

namespace cove {

namespace {

/// Receivers of one round of discovery messages while no other host has answered.
constexpr std::size_t lonely_fanout = 128;
/// Zone peers that get a discovery message in one round.
constexpr std::size_t discovery_fanout = 16;
/// A zone peer is asked for a report when none has arrived for this long, or for two rounds of
/// reports in a large zone.
constexpr milliseconds late_report_timeout{1500};
/// The speaker of a zone is asked for a status when two rounds (1 s each) have brought none.
constexpr milliseconds late_status_timeout{2250};
/// Hosts of a zone that are asked: the speaker, and the one that follows if the speaker has ended.
constexpr std::size_t asked_per_zone = 2;
/// A host that is asked has answered, or the new connection has failed, by then.
constexpr milliseconds ask_interval{1000};
/// Time between two ticks from which on this host has been paused.
constexpr milliseconds longest_tick{1000};
/// A connection younger than this is not replaced; what was just sent on it would be lost.
constexpr milliseconds min_connection_age{500};
/// After this, a host that does not answer counts as gone.
constexpr milliseconds ask_period{10'000};

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

/** @return whether reports of @p host have ceased, though it has not announced its shutdown. */
bool host_view::is_late(zone_peer const& host, mono_time now) const
{
    milliseconds const two_rounds = tick_interval * (2 * ticks_per_zone_round() + 1);
    auto const timeout = std::max(late_report_timeout, two_rounds);
    auto const silence = now - host.last_heard;
    return host.has_reported && !host.report.leaving && silence >= timeout && silence < ask_period;
}

/**
 * Asks zone peers whose reports have ceased, and the speakers of zones whose statuses have, over
 * new connections: both ways may lose messages.
 */
void host_view::ask_late_hosts(host_effects& out, mono_time now)
{
    if (now - last_tick_ >= longest_tick) {
        return; // after a pause of this host, what has arrived meanwhile is received first
    }
    std::vector<std::string> ips;
    for (auto& [name, host] : zone_peers_) {
        if (is_late(host, now) && now - host.asked >= ask_interval) {
            host.asked = now;
            ips.push_back(host.report.ip);
        }
    }
    if (!ips.empty()) {
        out.push_back(
            {ips, gossip{self_.name, self_.ip, {self_}, {}, true}, replace_connections(ips, now)});
    }
    if (is_speaker(now)) {
        ask_late_zones(out, now);
    }
}

void host_view::ask_late_zones(host_effects& out, mono_time now)
{
    std::vector<std::string> speakers;
    std::vector<std::string> links;
    for (auto& [name, zone] : remote_zones_) {
        auto const silence = now - zone.last_heard;
        bool const late = silence >= late_status_timeout && silence < ask_period;
        if (late && now - zone.asked >= ask_interval) {
            zone.asked = now;
            auto const ips = links_to(zone); // the speaker, then all serving hosts by name
            auto const asked = std::min(ips.size(), asked_per_zone);
            speakers.insert(speakers.end(), ips.begin(),
                            ips.begin() + static_cast<std::ptrdiff_t>(asked));
            links.insert(links.end(), ips.begin(), ips.end());
        }
    }
    if (!speakers.empty()) {
        out.push_back({std::move(speakers),
                       gossip{self_.name, self_.ip, {}, {own_status(now, true)}, true},
                       replace_connections(std::move(links), now)});
    }
}

/** @return the IPs to which this host may have connections when it speaks to @p zone. */
std::vector<std::string> host_view::links_to(remote_zone const& zone) const
{
    std::vector<std::string> ips{zone.status.ip};
    for (roster_host const& host : roster_of(zone)) {
        if (host.ip != zone.status.ip) {
            ips.push_back(host.ip);
        }
    }
    return ips;
}

/**
 * @return the IPs of the hosts to which messages of this host may be lost, as @p asking shows: it
 * comes from a host, or from the speaker of a zone, that is being sent reports or statuses.
 */
std::vector<std::string> host_view::unheard_links(gossip const& asking, mono_time now) const
{
    if (!asking.answer_wanted) {
        return {};
    }
    for (host_report const& report : asking.reports) {
        auto const known = zone_peers_.find(report.name);
        if (report.name != asking.sender || known == zone_peers_.end()) {
            continue;
        }
        peer_state const state = state_of(known->second, now);
        bool const reported_to = state == peer_state::alive || state == peer_state::silent;
        if (reported_to && report.incarnation == known->second.report.incarnation) {
            return {asking.sender_ip};
        }
    }
    for (zone_status const& status : asking.zones) {
        auto const known = remote_zones_.find(status.zone);
        if (known == remote_zones_.end() || now - known->second.last_heard >= ask_period ||
            status.speaker != known->second.status.speaker ||
            status.incarnation != known->second.status.incarnation) {
            continue;
        }
        return links_to(known->second);
    }
    return {};
}

/** @param unheard result of unheard_links(), from before @p asking was merged. */
outgoing_host_message host_view::answer_to(gossip const& asking, std::vector<std::string> unheard,
                                           mono_time now)
{
    if (unheard.empty()) {
        return {{asking.sender_ip}, full_gossip(now, false)};
    }
    // Many hosts may ask at once after a pause of this one, so that the answer is short.
    gossip answer{self_.name, self_.ip, {}, {}, false};
    if (zone_peers_.contains(asking.sender)) {
        answer.reports.push_back(self_);
    }
    else {
        answer.zones.push_back(own_status(now, false));
    }
    return {{asking.sender_ip}, std::move(answer), replace_connections(std::move(unheard), now)};
}

/** @return those of @p ips to which the connection is to be replaced now. */
std::vector<std::string> host_view::replace_connections(std::vector<std::string> ips, mono_time now)
{
    std::erase_if(replaced_at_,
                  [now](auto const& item) { return now - item.second >= min_connection_age; });
    std::erase_if(ips, [this, now](std::string const& ip) {
        return !replaced_at_.try_emplace(ip, now).second;
    });
    return ips;
}

} // namespace cove
