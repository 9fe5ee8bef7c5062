#include "peer/host_view.h"

#include <algorithm>

namespace cove {

namespace {

/// A host whose reports stop for so long is dead; four reports in a row get lost too seldom to
/// matter. Zones whose hosts take turns allow for as many turns.
constexpr milliseconds silence_in_zone{1500};
constexpr milliseconds silence_between_zones{3500}; ///< three rounds of speakers and the way on
constexpr std::uint64_t speak_every = 4;            ///< ticks between messages to other zones
constexpr std::uint64_t stranger_every = 4; ///< ticks between messages to hosts not heard from
/// Neighbours told in one tick: with 53 in a zone, reports then cost 8 KB a second.
constexpr std::size_t told_per_tick = 16;
/// Rounds that tell a change of the roster: a single one may go to a host that just died.
constexpr std::uint64_t change_rounds = 3;
constexpr std::uint64_t roster_every = 8; ///< rounds; for hosts that missed all of a change
/// A speaker that is silent for two rounds may be replaced by one of a higher name.
constexpr milliseconds speaker_silence{2250};

} // namespace

host_view::host_view(host_report self, std::uint64_t seed) : self_(std::move(self)), random_(seed)
{
}

void host_view::add_contact(node_id const& name, zone_id const& zone, std::string const& ip)
{
    if (name == self_.name) {
        return;
    }
    if (zone != self_.zone) {
        outside_host& known = outside_[name];
        known.zone = zone;
        known.ip = ip;
        return;
    }
    auto const [found, fresh] = hosts_.try_emplace(name);
    if (!found->second.reported) {
        found->second.report.name = name;
        found->second.report.zone = zone;
        found->second.report.ip = ip;
    }
}

void host_view::add_seed(std::string const& ip)
{
    if (ip != self_.ip) {
        seeds_.insert(ip);
    }
}

std::uint64_t host_view::turns() const
{
    return std::max<std::uint64_t>(1, (hosts_.size() + told_per_tick - 1) / told_per_tick);
}

bool host_view::is_alive(known_host const& host, mono_time now) const
{
    return host.reported && now - host.heard < silence_in_zone * turns();
}

bool host_view::is_alive(known_zone const& zone, mono_time now) const
{
    return now - zone.heard < silence_between_zones;
}

bool host_view::is_speaker(mono_time now) const
{
    return std::none_of(hosts_.begin(), hosts_.end(), [this, now](auto const& item) {
        auto const& [name, host] = item;
        bool const before = name < self_.name || self_.leaving;
        return before && is_alive(host, now) && !host.report.leaving;
    });
}

void host_view::refresh_self(own_state const& own)
{
    ++self_.sequence;
    self_.leaving = own.leaving;
    self_.ready = own.ready;
    self_.versions = own.versions;
    self_.loads = own.loads;
    self_.store_lost = own.store_lost;
    self_.running = own.running;
}

std::vector<host_report> host_view::zone_hosts(mono_time now) const
{
    std::vector<host_report> out{self_};
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            out.push_back(host.report);
        }
    }
    return out;
}

std::vector<roster_host> host_view::own_roster(mono_time now) const
{
    std::vector<roster_host> out;
    for (host_report const& host : zone_hosts(now)) {
        if (host.ready && !host.leaving) {
            out.push_back({host.name, host.zone, host.ip, host.client_address, host.life});
        }
    }
    std::sort(out.begin(), out.end(), [](auto const& a, auto const& b) { return a.name < b.name; });
    return out;
}

/** @return the zone's roster without hosts that said since that they leave. */
std::vector<roster_host> host_view::roster_of(known_zone const& zone) const
{
    std::vector<roster_host> out = zone.status.roster.value_or(std::vector<roster_host>());
    std::erase_if(out, [this](roster_host const& host) {
        auto const known = outside_.find(host.name);
        return known != outside_.end() && known->second.left == host.life;
    });
    return out;
}

zone_status host_view::own_status(mono_time now, bool with_roster) const
{
    zone_status out;
    out.zone = self_.zone;
    out.speaker = self_.name;
    out.life = self_.life;
    out.sequence = self_.sequence;
    out.ip = self_.ip;
    node_id reporter; // the first host that serves speaks for the zone's targets
    for (host_report const& host : zone_hosts(now)) {
        out.versions.raise_to(host.versions);
        bool const serves = host.ready && !host.leaving;
        if (serves && (reporter.value.empty() || host.name < reporter)) {
            reporter = host.name;
            out.loads = host.loads;
        }
    }
    if (with_roster) {
        out.roster = own_roster(now);
    }
    return out;
}

gossip host_view::everything(mono_time now, bool answer_wanted) const
{
    gossip message{self_.name, self_.ip, zone_hosts(now), {own_status(now, true)}, answer_wanted};
    for (auto const& [name, zone] : zones_) {
        if (is_alive(zone, now)) {
            message.zones.push_back(zone.status);
        }
    }
    return message;
}

void host_view::tell_zone(host_effects& out, mono_time now)
{
    gossip message{self_.name, self_.ip, {self_}, {}, false};
    for (auto const& [zone, status] : to_pass_on_) {
        message.zones.push_back(status);
    }
    std::uint64_t turn = ticks_;
    for (auto const& [name, host] : hosts_) {
        if (!is_alive(host, now)) {
            continue;
        }
        if (turn++ % turns() == 0 || !message.zones.empty()) {
            out.push_back({host.report.ip, message});
        }
    }
    to_pass_on_.clear();
}

void host_view::tell_other_zones(host_effects& out, mono_time now)
{
    std::vector<roster_host> const roster = own_roster(now);
    if (roster != last_roster_) {
        last_roster_ = roster;
        roster_rounds_ = change_rounds;
    }
    bool const refresh = ticks_ / speak_every % roster_every == 0;
    gossip const message{
        self_.name, self_.ip, {}, {own_status(now, refresh || roster_rounds_ > 0)}, false};
    roster_rounds_ -= roster_rounds_ > 0 ? 1 : 0;
    for (auto const& [name, zone] : zones_) {
        auto const hosts = roster_of(zone);
        if (is_alive(zone, now) && !hosts.empty()) {
            out.push_back({hosts[random_below(random_, hosts.size())].ip, message});
        }
        else if (is_alive(zone, now)) {
            out.push_back({zone.status.ip, message}); // its hosts are not ready yet
        }
    }
}

/** @return the IPs of hosts that should be there and were not heard of. */
std::vector<std::string> host_view::strangers(mono_time now) const
{
    std::set<std::string> ips = seeds_;
    for (auto const& [name, host] : hosts_) {
        if (!is_alive(host, now)) {
            ips.insert(host.report.ip);
        }
    }
    std::set<std::string> spoken_for;
    for (auto const& [name, zone] : zones_) {
        std::set<std::string>& known = is_alive(zone, now) ? spoken_for : ips;
        known.insert(zone.status.ip);
        for (roster_host const& host : roster_of(zone)) {
            known.insert(host.ip);
        }
    }
    for (auto const& [name, host] : outside_) {
        if (!spoken_for.contains(host.ip)) {
            ips.insert(host.ip);
        }
    }
    return {ips.begin(), ips.end()};
}

/** Looks for hosts that were not heard of: at the start, and when a cut heals. */
void host_view::tell_strangers(host_effects& out, mono_time now)
{
    std::vector<std::string> ips = strangers(now);
    if (ips.empty()) {
        return;
    }
    gossip const hello{self_.name, self_.ip, {self_}, {own_status(now, true)}, true};
    bool const alone = zone_ips(now).empty() && zones(now).size() == 1;
    if (alone) {
        for (std::string const& ip : ips) {
            out.push_back({ip, hello});
        }
        return;
    }
    std::size_t told = 0;
    for (auto const& [name, host] : hosts_) {
        if (!host.reported && told < told_per_tick) { // neighbours matter most
            ++told;
            out.push_back({host.report.ip, hello});
        }
    }
    out.push_back({ips[random_below(random_, ips.size())], hello});
}

host_effects host_view::tick(own_state const& own, mono_time now)
{
    host_effects out;
    refresh_self(own);
    tell_zone(out, now);
    if (ticks_ % speak_every == 0 && is_speaker(now)) {
        tell_other_zones(out, now);
    }
    if (ticks_ % stranger_every == 0) {
        tell_strangers(out, now);
    }
    ++ticks_;
    return out;
}

host_effects host_view::announce_leaving(own_state const& own, mono_time now)
{
    host_effects out;
    refresh_self(own);
    gossip const message{self_.name, self_.ip, {self_}, {}, false};
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            out.push_back({host.report.ip, message});
        }
    }
    for (auto const& [name, zone] : zones_) {
        if (is_alive(zone, now)) {
            for (roster_host const& host : roster_of(zone)) {
                out.push_back({host.ip, message});
            }
        }
    }
    return out;
}

void host_view::take(host_report const& report, mono_time now)
{
    if (report.name == self_.name) {
        return;
    }
    if (report.zone != self_.zone) {
        outside_host& known = outside_[report.name];
        known.zone = report.zone;
        known.ip = report.ip;
        if (report.leaving) {
            known.left = report.life;
        }
        return;
    }
    known_host& host = hosts_[report.name];
    bool const newer = !host.reported || report.life > host.report.life ||
                       (report.life == host.report.life && report.sequence > host.report.sequence);
    if (newer) {
        host = {report, now, true};
    }
}

void host_view::take(zone_status const& status, bool relay, mono_time now)
{
    if (status.zone == self_.zone) {
        for (roster_host const& host : status.roster.value_or(std::vector<roster_host>())) {
            add_contact(host.name, host.zone, host.ip);
        }
        return;
    }
    auto const [found, fresh] = zones_.try_emplace(status.zone, known_zone{status, now});
    known_zone& known = found->second;
    bool const same = status.speaker == known.status.speaker && status.life == known.status.life;
    bool const silent = now - known.heard >= speaker_silence;
    bool const newer =
        same ? status.sequence > known.status.sequence
             : silent || status.speaker < known.status.speaker ||
                   (status.speaker == known.status.speaker && status.life > known.status.life);
    if (!fresh && !newer) {
        return;
    }
    if (!fresh) {
        auto roster = std::move(known.status.roster);
        known = {status, now};
        if (!status.roster) {
            known.status.roster = std::move(roster);
        }
    }
    if (relay) {
        to_pass_on_[status.zone] = status;
    }
}

host_effects host_view::receive(gossip const& message, mono_time now)
{
    seeds_.erase(message.sender_ip);
    bool from_neighbour = hosts_.contains(message.sender);
    for (host_report const& report : message.reports) {
        seeds_.erase(report.ip);
        from_neighbour =
            from_neighbour || (report.name == message.sender && report.zone == self_.zone);
        take(report, now);
    }
    for (zone_status const& status : message.zones) {
        take(status, !from_neighbour, now); // neighbours have told the rest of the zone
    }
    if (!message.answer_wanted || message.sender_ip.empty() || message.sender == self_.name) {
        return {};
    }
    return {{message.sender_ip, everything(now, false)}};
}

std::vector<roster_host> host_view::serving(mono_time now) const
{
    std::vector<roster_host> out = own_roster(now);
    for (auto const& [name, zone] : zones_) {
        if (is_alive(zone, now)) {
            auto const hosts = roster_of(zone);
            out.insert(out.end(), hosts.begin(), hosts.end());
        }
    }
    return out;
}

std::vector<zone_status> host_view::zones(mono_time now) const
{
    std::vector<zone_status> out{own_status(now, false)};
    for (auto const& [name, zone] : zones_) {
        if (is_alive(zone, now)) {
            out.push_back(zone.status);
            out.back().roster.reset();
        }
    }
    return out;
}

bool host_view::follows_store(int most, mono_time now) const
{
    int before = 0;
    int before_with_store = 0;
    for (auto const& [name, host] : hosts_) {
        // A host that was never heard may just be starting too.
        bool const counts = is_alive(host, now) || !host.reported;
        if (!(name < self_.name) || !counts || host.report.leaving) {
            continue;
        }
        ++before;
        before_with_store += host.report.store_lost ? 0 : 1;
    }
    return before < most || before_with_store < most;
}

std::vector<node_id> host_view::unheard_neighbours() const
{
    std::vector<node_id> out;
    for (auto const& [name, host] : hosts_) {
        if (!host.reported) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> host_view::zone_ips(mono_time now) const
{
    std::vector<std::string> out;
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            out.push_back(host.report.ip);
        }
    }
    return out;
}

} // namespace cove
