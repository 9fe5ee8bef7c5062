#include "peer/host_view.h"

#include <algorithm>

namespace cove {

namespace {

/// A host whose reports stop for so long is dead; four reports in a row get lost too seldom to
/// matter.
constexpr milliseconds silence_in_zone{1500};
constexpr milliseconds silence_between_zones{3500}; ///< three rounds of speakers and the way on
constexpr std::uint64_t speak_every = 4;            ///< ticks between messages to other zones
constexpr std::uint64_t stranger_every = 4; ///< ticks between messages to hosts not heard from

} // namespace

host_view::host_view(host_report self, std::uint64_t seed) : self_(std::move(self)), random_(seed)
{
}

void host_view::add_contact(node_id const& name, zone_id const& zone, std::string const& ip)
{
    if (name == self_.name) {
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

bool host_view::is_alive(known_host const& host, mono_time now) const
{
    auto const patience = host.report.zone == self_.zone ? silence_in_zone : silence_between_zones;
    return host.reported && now - host.heard < patience;
}

bool host_view::is_speaker(mono_time now) const
{
    return std::none_of(hosts_.begin(), hosts_.end(), [this, now](auto const& item) {
        auto const& [name, host] = item;
        return host.report.zone == self_.zone && name < self_.name && is_alive(host, now) &&
               !host.report.leaving;
    });
}

void host_view::refresh_self(own_state const& own)
{
    ++self_.sequence;
    self_.leaving = own.leaving;
    self_.ready = own.ready;
    self_.config_version = own.config_version;
    self_.targets_at = own.targets_at;
    self_.evacuations_at = own.evacuations_at;
    self_.loads = own.loads;
    self_.store_lost = own.store_lost;
}

host_message host_view::zone_gossip(mono_time now) const
{
    gossip message{self_.name, {self_}, false};
    for (auto const& [name, host] : hosts_) {
        // A dead host's last report would look like a sign of life to who has an older one.
        if (is_alive(host, now) && host.report.zone == self_.zone) {
            message.reports.push_back(host.report);
        }
    }
    return message;
}

host_message host_view::whole_gossip(mono_time now, bool answer_wanted) const
{
    gossip message{self_.name, {self_}, answer_wanted};
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            message.reports.push_back(host.report);
        }
    }
    return message;
}

void host_view::tell_zone(host_effects& out, mono_time now)
{
    host_message const message = whole_gossip(now, false);
    for (auto const& [name, host] : hosts_) {
        if (host.report.zone == self_.zone && is_alive(host, now)) {
            out.push_back({host.report.ip, message});
        }
    }
}

void host_view::tell_other_zones(host_effects& out, mono_time now)
{
    std::map<zone_id, std::vector<known_host const*>> zones;
    for (auto const& [name, host] : hosts_) {
        if (host.report.zone != self_.zone && is_alive(host, now) && !host.report.leaving) {
            zones[host.report.zone].push_back(&host);
        }
    }
    host_message const message = zone_gossip(now);
    for (auto const& [zone, hosts] : zones) {
        out.push_back({hosts[random_below(random_, hosts.size())]->report.ip, message});
    }
}

/** Looks for hosts that were not heard of: at the start, and when a cut heals. */
void host_view::tell_strangers(host_effects& out, mono_time now)
{
    std::vector<std::string> ips(seeds_.begin(), seeds_.end());
    for (auto const& [name, host] : hosts_) {
        if (!is_alive(host, now)) {
            ips.push_back(host.report.ip);
        }
    }
    if (ips.empty()) {
        return;
    }
    gossip const hello{self_.name, {self_}, true};
    bool const alone = ips.size() >= hosts_.size();
    if (alone) {
        for (std::string const& ip : ips) {
            out.push_back({ip, hello});
        }
        return;
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
    host_message const message = gossip{self_.name, {self_}, false};
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            out.push_back({host.report.ip, message});
        }
    }
    return out;
}

host_effects host_view::receive(gossip const& message, mono_time now)
{
    std::string sender_ip;
    for (host_report const& report : message.reports) {
        seeds_.erase(report.ip);
        if (report.name == message.sender) {
            sender_ip = report.ip;
        }
        if (report.name == self_.name) {
            continue;
        }
        known_host& host = hosts_[report.name];
        bool const newer =
            !host.reported || report.life > host.report.life ||
            (report.life == host.report.life && report.sequence > host.report.sequence);
        if (newer) {
            host = {report, now, true};
        }
    }
    if (!message.answer_wanted || sender_ip.empty()) {
        return {};
    }
    return {{sender_ip, whole_gossip(now, false)}};
}

std::vector<host_report> host_view::alive(mono_time now) const
{
    std::vector<host_report> out{self_};
    for (auto const& [name, host] : hosts_) {
        if (is_alive(host, now)) {
            out.push_back(host.report);
        }
    }
    return out;
}

std::vector<host_report> host_view::serving(mono_time now) const
{
    std::vector<host_report> out = alive(now);
    std::erase_if(out, [](host_report const& host) { return host.leaving || !host.ready; });
    return out;
}

bool host_view::follows_store(int most, mono_time now) const
{
    int before = 0;
    int before_with_store = 0;
    for (auto const& [name, host] : hosts_) {
        // A host that was never heard may just be starting too.
        bool const counts = is_alive(host, now) || !host.reported;
        if (host.report.zone != self_.zone || !(name < self_.name) || !counts ||
            host.report.leaving) {
            continue;
        }
        ++before;
        before_with_store += host.report.store_lost ? 0 : 1;
    }
    return before < most || before_with_store < most;
}

std::vector<std::string> host_view::zone_ips(mono_time now) const
{
    std::vector<std::string> out;
    for (auto const& [name, host] : hosts_) {
        if (host.report.zone == self_.zone && is_alive(host, now)) {
            out.push_back(host.report.ip);
        }
    }
    return out;
}

int host_view::serving_in_zone(mono_time now) const
{
    int count = 0;
    for (host_report const& host : serving(now)) {
        count += host.zone == self_.zone ? 1 : 0;
    }
    return std::max(1, count);
}

} // namespace cove
