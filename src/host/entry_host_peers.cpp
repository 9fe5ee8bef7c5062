/** @file The part of an entry host that talks to its peers. */

#include "host/entry_host.h"

namespace cove {

namespace {

constexpr milliseconds behind_patience{600}; ///< own watches mostly bring it within that time
/// After a common start the hosts of a zone have heard each other by then; before, each would
/// take a cold target's whole rate (25 requests in a second after a region was lost).
constexpr milliseconds meeting_time{3000};
/// What a zone missed, its followers ask other zones for; the others wait for them.
constexpr milliseconds outside_patience{2000};

} // namespace

void entry_host::send(host_effects const& effects)
{
    for (send_to_host const& effect : effects) {
        transport_.send(effect.ip, encode_host_message(effect.message));
    }
}

void entry_host::tick()
{
    mono_time const now = read_clocks().mono;
    if (targets_.expire(now)) {
        on_targets(true);
    }
    send(view_.tick(state(), now));
    report_peers(now);
    choose_followers(now);
    pull_if_behind(now);
}

void entry_host::report_peers(mono_time now)
{
    auto const serving = view_.serving(now);
    peers_reported peers;
    peers.hosts_in_total = static_cast<int>(serving.size());
    peers.rooms = rooms(serving, now);
    for (roster_host const& host : serving) {
        if (host.zone == zone_id(settings_.zone)) {
            peers.hosts_in_zone.push_back(host.name);
        }
    }
    if (now < started_ + meeting_time) {
        peers.neighbours_known = hosts_listed_;
        auto const unheard = view_.unheard_neighbours();
        peers.hosts_in_zone.insert(peers.hosts_in_zone.end(), unheard.begin(), unheard.end());
    }
    for (host_report const& host : view_.zone_hosts(now)) {
        if (host.name != node_id(settings_.name)) {
            for (target_use const& use : host.running) {
                peers.running[use.target] += use.running;
            }
        }
    }
    carrier_.set_peers(peers);
}

std::vector<remote_room> entry_host::rooms(std::vector<roster_host> const& hosts,
                                           mono_time now) const
{
    std::map<zone_id, std::vector<reported_load>> loads;
    for (zone_status const& zone : view_.zones(now)) {
        for (service_load_report const& load : zone.loads) {
            loads[zone.zone].push_back({load.service, load.slots, load.busy + load.waiting});
        }
    }
    std::vector<zone_report> reports;
    for (roster_host const& host : hosts) {
        zone_report report{host.name, host.zone, {}};
        if (auto const found = loads.find(host.zone); found != loads.end()) {
            report.loads = std::move(found->second); // the first host of the zone brings them
            loads.erase(found);
        }
        reports.push_back(std::move(report));
    }
    std::vector<remote_room> out;
    for (granted_room const& room : divide_rooms(reports, node_id(settings_.name))) {
        out.push_back({room.zone, room.service, room.requests});
    }
    return out;
}

/** Asks a peer for what it has and neither own watches nor pushes have brought. */
void entry_host::pull_if_behind(mono_time now)
{
    known_versions const own = versions();
    known_versions best = own;
    std::string source_ip;
    bool outside = false;
    auto const consider = [&](auto const& source, bool other_zone) {
        if (!best.covers(source.versions)) {
            best = source.versions;
            source_ip = source.ip;
            outside = other_zone;
        }
    };
    for (host_report const& host : view_.zone_hosts(now)) {
        consider(host, false);
    }
    if (source_ip.empty()) {
        for (zone_status const& zone : view_.zones(now)) {
            consider(zone, true);
        }
    }
    milliseconds patience = ready() ? behind_patience : milliseconds{0};
    if (outside && !follows_) {
        patience = outside_patience;
    }
    if (lag_.ask_now(own, best, patience, now)) {
        pull const wanted{settings_.ip, best.config > own.config, best.targets > own.targets,
                          best.evacuations > own.evacuations};
        transport_.send(source_ip, encode_host_message(wanted));
    }
}

void entry_host::on_message(std::string const& bytes)
{
    auto const message = decode_host_message(bytes, "entry host");
    if (!message) {
        log_.event("malformed_message", {{"reason", to_string(message.error())}},
                   read_clocks().mono);
        return;
    }
    std::visit([this](auto const& body) { on(body); }, *message);
}

void entry_host::on(gossip const& message)
{
    send(view_.receive(message, read_clocks().mono));
}

void entry_host::on(pull const& message)
{
    snapshot answer;
    if (message.config && config_) {
        answer.config_text = config_->text;
    }
    if (message.targets && targets_known_) {
        answer.targets = target_snapshot{targets_.entries(), targets_.at()};
    }
    if (message.evacuations) {
        answer.evacuations = evacuation_snapshot{evacuated_, evacuations_at_};
    }
    transport_.send(message.sender_ip, encode_host_message(answer));
}

void entry_host::on(snapshot const& message)
{
    if (!message.config_text.empty()) {
        auto document = store_.read_config(message.config_text);
        if (document) {
            on_config(std::move(*document));
        }
        else {
            log_.event("malformed_config", {{"reason", to_string(document.error())}},
                       read_clocks().mono);
        }
    }
    if (message.targets) {
        take(*message.targets);
    }
    if (message.evacuations) {
        take(*message.evacuations);
    }
}

void entry_host::take(target_snapshot const& list)
{
    targets_known_ = true;
    on_targets(targets_.replace(list.entries, list.at, read_clocks().mono));
}

void entry_host::take(evacuation_snapshot const& list)
{
    if (list.at < evacuations_at_) {
        return;
    }
    evacuations_at_ = list.at;
    if (list.zones != evacuated_) {
        evacuated_ = list.zones;
        carrier_.set_evacuations(evacuated_);
    }
}

/** Applies changes that this host's list has not seen. @return whether there were any. */
bool entry_host::take(target_changes const& message)
{
    bool const fits = targets_known_ && message.from <= targets_.at();
    if (!fits || message.to <= targets_.at()) {
        return false; // a gap is closed by a pull
    }
    for (target_change const& change : message.changes) {
        if (change.entry) {
            targets_.put(*change.entry);
        }
        else {
            targets_.remove(change.id, read_clocks().mono);
        }
    }
    targets_.advance(message.to);
    on_targets(!message.changes.empty());
    return true;
}

void entry_host::on(target_changes const& message)
{
    take(message);
}

void entry_host::tell_zone(host_message const& message)
{
    std::string const bytes = encode_host_message(message);
    for (std::string const& ip : view_.zone_ips(read_clocks().mono)) {
        transport_.send(ip, bytes);
    }
}

} // namespace cove
