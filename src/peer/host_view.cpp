#include "peer/host_view.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

/// A zone peer from which no report arrives for this long is considered dead. The loss of four
/// reports in a row is rare enough to be ignored. In a zone that needs several ticks for a round of
/// reports, the timeout is multiplied by that number of ticks.
constexpr milliseconds zone_peer_timeout{1500};
/// Reports go on for this long to a zone peer that is considered dead: both may only have lost each
/// other's messages.
constexpr milliseconds silent_peer_retention{10'000};
/// A host whose address has become known, and that runs, has answered a discovery message by then.
constexpr milliseconds start_timeout{2000};
/// A remote zone without a newer status for this long is considered dead: three rounds of messages
/// between zones, plus the relay inside the zone.
constexpr milliseconds remote_zone_timeout{3500};
/// Ticks between two rounds of messages to the other zones.
constexpr std::uint64_t zone_gossip_interval_ticks = 4;
/// Ticks between messages to hosts that have not been heard from.
constexpr std::uint64_t discovery_interval_ticks = 4;
/// Zone peers that get a periodic report in one tick; with 53 hosts in a zone, reports then cost
/// 8 KB/s.
constexpr std::size_t gossip_fanout = 16;
/// Rounds between zones that carry a changed roster; a single one may go to a host that just died.
constexpr std::uint64_t roster_change_rounds = 3;
/// Rounds between two refreshes of the roster, for hosts that missed every message of a change.
constexpr std::uint64_t roster_refresh_rounds = 8;
/// A host that has announced its shutdown has ended, or has been heard again, within this time.
constexpr milliseconds stop_retention{60'000};
/// A speaker that misses two rounds (1 s each) may be replaced by one with a higher name.
constexpr milliseconds speaker_takeover_timeout{2250};

} // namespace

host_view::host_view(host_report self, std::uint64_t seed) : self_(std::move(self)), random_(seed)
{
}

void host_view::add_contact(node_id const& name, zone_id const& zone, std::string const& ip,
                            mono_time now)
{
    if (name == self_.name) {
        return;
    }
    if (zone != self_.zone) {
        remote_host& known = remote_hosts_[name];
        known.zone = zone;
        known.ip = ip;
        return;
    }
    zone_peer& known = zone_peers_[name];
    bool const replaced = known.has_reported && state_of(known, now) == peer_state::gone;
    if (known.report.ip == ip || (known.has_reported && !replaced)) {
        return;
    }
    known = {};
    known.report.name = name;
    known.report.zone = zone;
    known.report.ip = ip;
    known.known_since = now;
    contacts_to_greet_.push_back(name);
}

void host_view::add_seed(std::string const& ip)
{
    if (ip != self_.ip) {
        seeds_.insert(ip);
    }
}

std::uint64_t host_view::ticks_per_zone_round() const
{
    return std::max<std::uint64_t>(1, (reporting_peers_ + gossip_fanout - 1) / gossip_fanout);
}

void host_view::count_reporting_peers(mono_time now)
{
    reporting_peers_ = static_cast<std::size_t>(
        std::count_if(zone_peers_.begin(), zone_peers_.end(), [now](auto const& item) {
            return item.second.has_reported && now - item.second.last_heard < silent_peer_retention;
        }));
}

peer_state host_view::state_of(zone_peer const& host, mono_time now) const
{
    if (!host.has_reported) {
        return now - host.known_since < start_timeout ? peer_state::starting : peer_state::gone;
    }
    milliseconds const timeout = zone_peer_timeout * ticks_per_zone_round();
    if (now - host.last_heard < timeout) {
        return host.report.leaving ? peer_state::leaving : peer_state::alive;
    }
    bool const recent = now - host.last_heard < std::max(timeout, silent_peer_retention);
    return recent ? peer_state::silent : peer_state::gone;
}

bool host_view::is_alive(zone_peer const& host, mono_time now) const
{
    peer_state const state = state_of(host, now);
    return state == peer_state::alive || state == peer_state::leaving;
}

bool host_view::is_alive(remote_zone const& zone, mono_time now) const
{
    return now - zone.last_heard < remote_zone_timeout;
}

bool host_view::is_speaker(mono_time now) const
{
    return std::none_of(zone_peers_.begin(), zone_peers_.end(), [this, now](auto const& item) {
        auto const& [name, host] = item;
        bool const precedes = name < self_.name || self_.leaving;
        return precedes && state_of(host, now) == peer_state::alive;
    });
}

void host_view::refresh_self(local_host_state const& own)
{
    serving_changed_ = serving_changed_ || self_.leaving != own.leaving ||
                       self_.ready != own.ready || self_.cut_off != own.cut_off ||
                       self_.stale_config != own.stale_config;
    ++self_.sequence;
    self_.leaving = own.leaving;
    self_.ready = own.ready;
    self_.cut_off = own.cut_off;
    self_.stale_config = own.stale_config;
    self_.versions = own.versions;
    self_.loads = own.loads;
    self_.store_lost = own.store_lost;
    self_.targets_in_flight = own.targets_in_flight;
    self_.target_limits = own.target_limits;
    self_.new_objects = own.new_objects;
    self_.quota_demands = own.quota_demands;
    zone_quota_demands_ = own.zone_quota_demands;
}

std::vector<host_report const*> host_view::zone_hosts(mono_time now) const
{
    std::vector<host_report const*> out{&self_};
    for (auto const& [name, host] : zone_peers_) {
        if (is_alive(host, now)) {
            out.push_back(&host.report);
        }
    }
    return out;
}

/** @return the serving hosts of this zone; those with a stale configuration if there are no others.
 */
std::vector<roster_host> host_view::own_roster(mono_time now) const
{
    std::vector<roster_host> out;
    auto hosts = zone_hosts(now);
    std::erase_if(hosts,
                  [](auto const* host) { return !host->ready || host->leaving || host->cut_off; });
    bool const any_fresh = std::any_of(hosts.begin(), hosts.end(),
                                       [](auto const* host) { return !host->stale_config; });
    for (host_report const* const host : hosts) {
        if (!any_fresh || !host->stale_config) {
            out.push_back(
                {host->name, host->zone, host->ip, host->client_address, host->incarnation});
        }
    }
    std::sort(out.begin(), out.end(), [](auto const& a, auto const& b) { return a.name < b.name; });
    return out;
}

/** @return the zone's last roster without hosts that have since announced their shutdown. */
std::vector<roster_host> host_view::roster_of(remote_zone const& zone) const
{
    std::vector<roster_host> out = zone.status.roster.value_or(std::vector<roster_host>());
    std::erase_if(out, [this](roster_host const& host) {
        auto const known = remote_hosts_.find(host.name);
        return known != remote_hosts_.end() && known->second.left_incarnation == host.incarnation;
    });
    return out;
}

zone_status host_view::own_status(mono_time now, bool with_roster) const
{
    zone_status out;
    out.zone = self_.zone;
    out.speaker = self_.name;
    out.incarnation = self_.incarnation;
    out.sequence = self_.sequence;
    out.ip = self_.ip;
    out.quota_demands = zone_quota_demands_;
    // The serving host with the lowest name reports the zone's target loads; hosts that are cut off
    // from the targets only if there is no other.
    host_report const* reporter = nullptr;
    for (host_report const* const host : zone_hosts(now)) {
        out.versions.merge(host->versions);
        bool const serves = host->ready && !host->leaving;
        if (serves && (reporter == nullptr || std::pair(host->cut_off, host->name) <
                                                  std::pair(reporter->cut_off, reporter->name))) {
            reporter = host;
        }
    }
    if (reporter != nullptr) {
        out.loads = reporter->loads;
    }
    if (with_roster) {
        out.roster = own_roster(now);
    }
    return out;
}

gossip host_view::full_gossip(mono_time now, bool answer_wanted) const
{
    gossip message{self_.name, self_.ip, {}, {own_status(now, true)}, answer_wanted};
    for (host_report const* const host : zone_hosts(now)) {
        message.reports.push_back(*host);
    }
    for (auto const& [name, zone] : remote_zones_) {
        if (is_alive(zone, now)) {
            message.zones.push_back(zone.status);
        }
    }
    return message;
}

void host_view::gossip_within_zone(host_effects& out, mono_time now)
{
    gossip message{self_.name, self_.ip, {self_}, {}, false};
    for (auto const& [zone, status] : statuses_to_relay_) {
        message.zones.push_back(status);
    }
    std::uint64_t turn = ticks_;
    std::vector<std::string> ips;
    for (auto const& [name, host] : zone_peers_) {
        peer_state const state = state_of(host, now);
        if (state == peer_state::starting || state == peer_state::gone) {
            continue;
        }
        if (turn++ % ticks_per_zone_round() == 0 || !message.zones.empty()) {
            ips.push_back(host.report.ip);
        }
    }
    out.push_back({std::move(ips), std::move(message)});
    statuses_to_relay_.clear();
}

/**
 * @return one of the @p hosts of another zone. Every second round it is the same one as long as it
 * serves: a link that is used often is soon known to be dead, and a message on it is seldom lost.
 * In between, a random host bridges the failure of that one.
 */
roster_host const& host_view::choose_receiver(std::vector<roster_host> const& hosts)
{
    if (ticks_ / zone_gossip_interval_ticks % 2 == 1) {
        return hosts[random_below(random_, hosts.size())];
    }
    auto const weight = [this](roster_host const& host) {
        return stable_hash(host.name.value, stable_hash(self_.zone.value));
    };
    return *std::max_element(hosts.begin(), hosts.end(), [&weight](auto const& a, auto const& b) {
        return weight(a) < weight(b);
    });
}

void host_view::gossip_to_other_zones(host_effects& out, mono_time now)
{
    std::vector<roster_host> const roster = own_roster(now);
    if (roster != last_sent_roster_) {
        last_sent_roster_ = roster;
        roster_rounds_left_ = roster_change_rounds;
    }
    bool const refresh = ticks_ / zone_gossip_interval_ticks % roster_refresh_rounds == 0;
    gossip const message{
        self_.name, self_.ip, {}, {own_status(now, refresh || roster_rounds_left_ > 0)}, false};
    bool const round_due = ticks_ % zone_gossip_interval_ticks == 0;
    roster_rounds_left_ -= round_due && roster_rounds_left_ > 0 ? 1 : 0;
    told_config_ = message.zones.front().versions.config;
    std::vector<std::string> ips;
    for (auto const& [name, zone] : remote_zones_) {
        // Also to zones that are considered dead, for the same reason.
        auto const hosts = roster_of(zone);
        ips.push_back(hosts.empty() ? zone.status.ip : choose_receiver(hosts).ip);
    }
    out.push_back({std::move(ips), message});
}

/**
 * @return whether this zone has a configuration that its last status lacked. It changes seldom, and
 * a zone that the store does not serve learns of it by that status alone.
 */
bool host_view::has_untold_config(mono_time now) const
{
    return own_status(now, false).versions.config > told_config_;
}

host_effects host_view::tick(local_host_state const& own, mono_time now)
{
    host_effects out;
    refresh_self(own);
    count_reporting_peers(now);
    std::erase_if(stops_,
                  [now](auto const& item) { return now - item.second.heard >= stop_retention; });
    ask_late_hosts(out, now); // first, so that the other messages use the new connections
    gossip_within_zone(out, now);
    greet_new_contacts(out, now);
    bool const round_due = ticks_ % zone_gossip_interval_ticks == 0;
    if (is_speaker(now) && (round_due || has_untold_config(now))) {
        gossip_to_other_zones(out, now);
    }
    if (ticks_ % discovery_interval_ticks == 0) {
        send_discovery(out, now);
    }
    last_tick_ = now;
    ++ticks_;
    return out;
}

host_effects host_view::announce_leaving(local_host_state const& own, mono_time now)
{
    host_effects out;
    refresh_self(own);
    std::vector<std::string> ips = zone_peer_ips(now);
    for (auto const& [name, zone] : remote_zones_) {
        if (is_alive(zone, now)) {
            for (roster_host const& host : roster_of(zone)) {
                ips.push_back(host.ip);
            }
        }
    }
    out.push_back({std::move(ips), gossip{self_.name, self_.ip, {self_}, {}, false}});
    return out;
}

/** Notes that a host shuts down, or that it has started again since it did. */
void host_view::note_stop(node_id const& host, host_incarnation incarnation, bool leaving,
                          mono_time now)
{
    auto const known = stops_.find(host);
    if (known != stops_.end() && incarnation < known->second.incarnation) {
        return;
    }
    if (leaving) {
        stops_[host] = {incarnation, now};
    }
    else if (known != stops_.end() && incarnation > known->second.incarnation) {
        stops_.erase(known);
    }
}

std::set<node_id> host_view::stopping_hosts(mono_time now) const
{
    std::set<node_id> out;
    for (auto const& [name, stop] : stops_) {
        if (now - stop.heard < stop_retention) {
            out.insert(name);
        }
    }
    return out;
}

void host_view::merge_report(host_report const& report, mono_time now)
{
    if (report.name == self_.name) {
        return;
    }
    note_stop(report.name, report.incarnation, report.leaving, now);
    if (report.zone != self_.zone) {
        remote_host& known = remote_hosts_[report.name];
        known.zone = report.zone;
        known.ip = report.ip;
        if (report.leaving && known.left_incarnation != report.incarnation) {
            known.left_incarnation = report.incarnation;
            serving_changed_ = true;
        }
        return;
    }
    zone_peer& host = zone_peers_[report.name];
    bool const newer =
        !host.has_reported || report.incarnation > host.report.incarnation ||
        (report.incarnation == host.report.incarnation && report.sequence > host.report.sequence);
    if (newer) {
        serving_changed_ =
            serving_changed_ || !host.has_reported ||
            report.incarnation != host.report.incarnation || report.ready != host.report.ready ||
            report.cut_off != host.report.cut_off || report.leaving != host.report.leaving ||
            report.stale_config != host.report.stale_config;
        bool const reporting = host.has_reported && now - host.last_heard < silent_peer_retention;
        reporting_peers_ += reporting ? 0 : 1;
        host = {report, now, true, host.known_since};
    }
}

void host_view::merge_zone_status(zone_status const& status, bool relay, mono_time now)
{
    if (status.zone == self_.zone) {
        for (roster_host const& host : status.roster.value_or(std::vector<roster_host>())) {
            add_contact(host.name, host.zone, host.ip, now);
        }
        return;
    }
    auto const [found, inserted] = remote_zones_.try_emplace(status.zone, remote_zone{status, now});
    remote_zone& known = found->second;
    bool const same =
        status.speaker == known.status.speaker && status.incarnation == known.status.incarnation;
    bool const silent = now - known.last_heard >= speaker_takeover_timeout;
    bool const newer = same ? status.sequence > known.status.sequence
                            : silent || status.speaker < known.status.speaker ||
                                  (status.speaker == known.status.speaker &&
                                   status.incarnation > known.status.incarnation);
    if (!inserted && !newer) {
        return;
    }
    for (roster_host const& host : status.roster.value_or(std::vector<roster_host>())) {
        note_stop(host.name, host.incarnation, false, now);
    }
    serving_changed_ =
        serving_changed_ || inserted || (status.roster && status.roster != known.status.roster);
    if (!inserted) {
        auto roster = std::move(known.status.roster);
        known = {status, now};
        if (!status.roster) {
            known.status.roster = std::move(roster);
        }
    }
    if (relay) {
        statuses_to_relay_[status.zone] = status;
    }
}

host_effects host_view::receive(gossip const& message, mono_time now)
{
    auto unheard = unheard_links(message, now);
    seeds_.erase(message.sender_ip);
    bool from_zone_peer = zone_peers_.contains(message.sender);
    for (host_report const& report : message.reports) {
        seeds_.erase(report.ip);
        from_zone_peer =
            from_zone_peer || (report.name == message.sender && report.zone == self_.zone);
        merge_report(report, now);
    }
    for (zone_status const& status : message.zones) {
        // A zone peer has already sent the status to the whole zone.
        merge_zone_status(status, !from_zone_peer, now);
    }
    if (!message.answer_wanted || message.sender_ip.empty() || message.sender == self_.name) {
        return {};
    }
    return {answer_to(message, std::move(unheard), now)};
}

/** @return whether each zone peer and each other zone is alive, in the order of their names. */
std::vector<bool> host_view::liveness(mono_time now) const
{
    std::vector<bool> out;
    out.reserve(zone_peers_.size() + remote_zones_.size());
    for (auto const& [name, host] : zone_peers_) {
        out.push_back(is_alive(host, now));
    }
    for (auto const& [name, zone] : remote_zones_) {
        out.push_back(is_alive(zone, now));
    }
    return out;
}

void host_view::refresh_serving(mono_time now)
{
    auto alive = liveness(now);
    if (!serving_changed_ && alive == serving_liveness_) {
        return;
    }
    serving_changed_ = false;
    serving_liveness_ = std::move(alive);
    std::vector<roster_host> hosts = own_roster(now);
    for (auto const& [name, zone] : remote_zones_) {
        if (is_alive(zone, now)) {
            auto const roster = roster_of(zone);
            hosts.insert(hosts.end(), roster.begin(), roster.end());
        }
    }
    if (hosts != serving_) {
        serving_ = std::move(hosts);
        ++serving_version_;
    }
}

std::vector<roster_host> const& host_view::serving(mono_time now)
{
    refresh_serving(now);
    return serving_;
}

std::uint64_t host_view::serving_version(mono_time now)
{
    refresh_serving(now);
    return serving_version_;
}

std::vector<zone_status> host_view::zones(mono_time now) const
{
    std::vector<zone_status> out{own_status(now, false)};
    for (auto const& [name, zone] : remote_zones_) {
        if (is_alive(zone, now)) {
            zone_status const& known = zone.status;
            out.push_back({known.zone, known.speaker, known.incarnation, known.sequence, known.ip,
                           known.versions, known.loads, std::nullopt, known.quota_demands});
        }
    }
    return out;
}

bool host_view::follows_store(int max_followers, mono_time now) const
{
    int preceding = 0;
    int preceding_with_store = 0;
    for (auto const& [name, host] : zone_peers_) {
        peer_state const state = state_of(host, now);
        bool const counts = state == peer_state::alive || state == peer_state::starting;
        if (!(name < self_.name) || !counts) {
            continue;
        }
        ++preceding;
        preceding_with_store += host.report.store_lost ? 0 : 1;
    }
    return preceding < max_followers || preceding_with_store < max_followers;
}

std::vector<node_id> host_view::starting_zone_peers(mono_time now) const
{
    std::vector<node_id> out;
    for (auto const& [name, host] : zone_peers_) {
        if (state_of(host, now) == peer_state::starting) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> host_view::zone_peer_ips(mono_time now) const
{
    std::vector<std::string> out;
    for (auto const& [name, host] : zone_peers_) {
        if (is_alive(host, now)) {
            out.push_back(host.report.ip);
        }
    }
    return out;
}

std::vector<pull_source> host_view::reported_copies(mono_time now) const
{
    std::vector<pull_source> out;
    for (host_report const* const host : zone_hosts(now)) {
        out.push_back({host->ip, host->versions, false});
    }
    for (auto const& [name, zone] : remote_zones_) {
        if (is_alive(zone, now)) {
            out.push_back({zone.status.ip, zone.status.versions, true, true});
        }
    }
    return out;
}

int host_view::rank_in_zone(mono_time now) const
{
    return static_cast<int>(
        std::count_if(zone_peers_.begin(), zone_peers_.end(), [this, now](auto const& item) {
            return item.first < self_.name && is_alive(item.second, now);
        }));
}

std::vector<std::string> host_view::zone_peer_ips_before(generation version, mono_time now) const
{
    std::vector<std::string> out;
    for (auto const& [name, host] : zone_peers_) {
        if (is_alive(host, now) && host.report.versions.config < version) {
            out.push_back(host.report.ip);
        }
    }
    return out;
}

} // namespace cove
