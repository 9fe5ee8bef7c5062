/** @file The part of an entry host that exchanges messages with its peers. */

#include "host/entry_host.h"

#include "core/deflate_func.h"
#include "log/log_func.h"

#include <array>

namespace cove {

namespace {

/// When the hosts of a zone start together, each has received reports from the others within this
/// time. Before that, each of them would use the whole allowed rate of a cold target: 25 requests
/// in one second were sent that way after the loss of a region.
constexpr milliseconds discovery_time{3000};
/// A target that ends breaks all its requests at once; one message tells of all of them.
constexpr milliseconds crash_report_delay{10};
/// Repeats reach hosts that missed a report: one host each time, with the worst records.
constexpr milliseconds crash_repeat_interval{1000};
constexpr std::size_t repeated_crash_records = 32; ///< 4 KB

constexpr std::size_t max_config_bytes = 16U << 20U; ///< the store limits an object to less
/** @return era and revision, for the log. */
std::string to_text(store_position position)
{
    return std::to_string(position.era.value) + "." + std::to_string(position.at.value);
}

char const* kind_of(host_message const& message)
{
    constexpr std::array<char const*, std::variant_size_v<host_message>> kinds{
        "gossip",          "pull_request",     "snapshot",     "target_changes", "crash_report",
        "freshness_query", "freshness_answer", "pull_refused", "change_notice"};
    return kinds.at(message.index());
}

} // namespace

void entry_host::send(host_effects const& effects)
{
    for (outgoing_host_message const& effect : effects) {
        for (std::string const& ip : effect.reconnect) {
            transport_.disconnect(ip);
        }
        transmit(effect.ips, effect.message);
    }
}

/** Sends @p message, encoded once, to the hosts at @p ips. */
void entry_host::transmit(std::vector<std::string> const& ips, host_message const& message)
{
    if (ips.empty()) {
        return;
    }
    std::string const bytes = encode_host_message(message);
    for (std::string const& ip : ips) {
        transport_.send(ip, bytes);
    }
    bytes_to_peers_[kind_of(message)] += bytes.size() * ips.size();
}

void entry_host::tick()
{
    mono_time const now = read_clocks().mono;
    expire_held_entries(now);
    quotas_.tick(view_, leaving_, now);
    monitor_.measure("send_reports", [&] { send(view_.tick(state(), now)); });
    report_peers(now);
    update_store_following(now);
    send(replication_.tick(role(), now));
    freshness_.tick(view_, follows_store_, forwarder_.admission().has_workspaces(), now);
    repeat_crashes(now);
}

/** Derives what depends only on the list of serving hosts, when that list has changed. */
void entry_host::update_serving_hosts(mono_time now)
{
    std::uint64_t const version = view_.serving_version(now);
    if (version == serving_version_) {
        return;
    }
    serving_version_ = version;
    directory_hosts_.clear();
    zone_serving_.clear();
    std::vector<quota_host> sharing;
    for (roster_host const& host : view_.serving(now)) {
        auto const region = settings_.regions.find(host.zone);
        directory_hosts_.push_back(
            {host.zone, region == settings_.regions.end() ? region_id() : region->second,
             host.client_address});
        sharing.push_back({host.name, host.zone});
        if (host.zone == zone_id(settings_.zone)) {
            zone_serving_.push_back(host.name);
        }
    }
    quota_division_.set_hosts(sharing);
}

void entry_host::report_peers(mono_time now)
{
    update_serving_hosts(now);
    peers_reported peers;
    peers.hosts_in_total = static_cast<int>(directory_hosts_.size());
    peers.remote_quotas = remote_quotas(now);
    peers.hosts_in_zone = zone_serving_;
    if (now < started_ + discovery_time) {
        peers.zone_peers_known = hosts_listed_;
        auto const starting = view_.starting_zone_peers(now);
        peers.hosts_in_zone.insert(peers.hosts_in_zone.end(), starting.begin(), starting.end());
    }
    for (host_report const* const host : view_.zone_hosts(now)) {
        if (host->name != node_id(settings_.name)) {
            for (target_in_flight const& entry : host->targets_in_flight) {
                peers.in_flight_by_target[entry.target] += entry.in_flight;
            }
            for (target_limit_report const& entry : host->target_limits) {
                rate_limit_notice const heard{entry.limit, now - entry.age};
                auto const known = peers.limits.try_emplace(entry.target, heard).first;
                if (heard.heard > known->second.heard) {
                    known->second = heard;
                }
            }
            peers.objects.insert(peers.objects.end(), host->new_objects.begin(),
                                 host->new_objects.end());
        }
    }
    if (forwarder_.needs_relays()) {
        for (roster_host const& host : view_.serving(now)) {
            if (host.name != node_id(settings_.name)) {
                peers.relays.push_back(
                    {host.zone, host.ip + ":" + std::to_string(settings_.relay_port)});
            }
        }
    }
    stopping_hosts_ = view_.stopping_hosts(now);
    peers.stopping_hosts = stopping_hosts_;
    forwarder_.set_peers(peers);
}

/** @return how many requests this host may have in flight at the targets of each other zone. */
std::vector<remote_quota> entry_host::remote_quotas(mono_time now) const
{
    std::vector<zone_load> zones;
    for (zone_status const& zone : view_.zones(now)) {
        zone_load load{zone.zone, {}};
        for (service_load_report const& report : zone.loads) {
            load.loads.push_back({report.service, report.slots, report.busy + report.waiting});
        }
        zones.push_back(std::move(load));
    }
    std::vector<remote_quota> out;
    for (granted_quota const& quota : compute_remote_quotas(zones, quota_division_)) {
        out.push_back({quota.zone, quota.service, quota.requests});
    }
    return out;
}

void entry_host::on_message(std::string const& bytes)
{
    auto const message = decode_host_message(bytes, "entry host", era_);
    if (!message) {
        log_.event("malformed_message", {{"reason", to_string(message.error())}},
                   read_clocks().mono);
        return;
    }
    enter_era(latest_era(*message), "peer");
    if (generation const named = newest_config(*message); named > heard_configs_.newest()) {
        heard_configs_.hear(named, std::string(kind_of(*message)) + " " + sender_of(*message),
                            read_clocks().mono);
    }
    monitor_.measure(kind_of(*message),
                     [&] { std::visit([this](auto const& body) { on(body); }, *message); });
}

void entry_host::on(gossip const& message)
{
    mono_time const now = read_clocks().mono;
    quotas_.hear(message, now);
    send(view_.receive(message, now));
    if (view_.stopping_hosts(now) != stopping_hosts_) {
        report_peers(now); // at once, as it bears on the requests that they relay
    }
    if (!message.answer_wanted) {
        return;
    }
    if (auto records = forwarder_.crashes(repeated_crash_records); !records.empty()) {
        transmit({message.sender_ip}, crash_report{std::move(records), false});
    }
}

/** Another host has relayed a request by a version that this host lacks: it can be pulled there. */
void entry_host::note_newer_config(node_id const& host, generation version)
{
    mono_time const now = read_clocks().mono;
    heard_configs_.hear(version, "relay " + host.value, now);
    for (roster_host const& each : view_.serving(now)) {
        if (each.name == host) {
            send(replication_.on(change_notice{each.ip, each.zone, {version, {}, {}}, false}, now));
        }
    }
}

void entry_host::on(crash_report const& message)
{
    forwarder_.merge_crashes(message.records);
    if (message.pass_on) {
        push_to_zone(crash_report{message.records, false});
    }
}

void entry_host::on(freshness_query const& message)
{
    freshness_.on(message);
}

void entry_host::on(freshness_answer const& message)
{
    freshness_.on(message);
}

/** Reports ended targets to this zone and to one host of each other zone, which passes it on. */
void entry_host::spread_crashes(std::vector<crash_record> const& records)
{
    bool const scheduled = !crashes_to_report_.empty();
    crashes_to_report_.insert(crashes_to_report_.end(), records.begin(), records.end());
    if (scheduled) {
        return;
    }
    timers_.once(read_clocks().mono + crash_report_delay, [this] {
        crash_report report{std::exchange(crashes_to_report_, {}), false};
        push_to_zone(report);
        report.pass_on = true;
        std::vector<std::string> speakers;
        for (zone_status const& zone : view_.zones(read_clocks().mono)) {
            if (zone.zone != zone_id(settings_.zone)) {
                speakers.push_back(zone.ip);
            }
        }
        transmit(speakers, report);
    });
}

/** Sends the worst records to one host, drawn among the serving hosts of all zones. */
void entry_host::repeat_crashes(mono_time now)
{
    if (now < next_crash_repeat_) {
        return;
    }
    next_crash_repeat_ = now + crash_repeat_interval;
    auto const& hosts = view_.serving(now);
    auto records = forwarder_.crashes(repeated_crash_records);
    if (records.empty() || hosts.empty()) {
        return;
    }
    roster_host const& receiver = hosts[random_below(random_, hosts.size())];
    if (receiver.name != node_id(settings_.name)) {
        transmit({receiver.ip}, crash_report{std::move(records), false});
    }
}

void entry_host::on(pull_request const& message)
{
    send(replication_.on(message, read_clocks().mono));
}

void entry_host::on(pull_refused const& message)
{
    send(replication_.on(message, role(), read_clocks().mono));
}

void entry_host::on(change_notice const& message)
{
    send(replication_.on(message, read_clocks().mono));
}

void entry_host::on(host_snapshot const& message)
{
    mono_time const now = read_clocks().mono;
    if (message.config) {
        send(replication_.relay(message)); // before the configuration is decoded
        std::string const source = message.answer ? "pull" : "push";
        if (apply(*message.config, {source, message.sender_ip, now})) {
            send(replication_.config_from_peer(message, now));
            config_follower_.expect_answer();
        }
    }
    if (message.targets && apply(*message.targets, "peer")) {
        replication_.targets_from_peer(message);
    }
    if (message.evacuations) {
        bool const news = message.evacuations->zones != evacuations_.listed();
        if (apply(*message.evacuations, message.answer ? "pull" : "push", message.sender_ip)) {
            send(replication_.evacuations_from_peer(message, now));
            if (news) {
                evacuation_follower_.expect_answer();
            }
        }
    }
}

/**
 * Activates a configuration that a peer sent, unless it is older than the active one.
 * @return whether it was activated.
 */
bool entry_host::apply(packed_config const& received, config_delivery const& delivery)
{
    if (config_ && received.version <= config_->version) {
        return false;
    }
    auto document = inflate_text(received.bytes, max_config_bytes).and_then(store_.read_config);
    if (!document) {
        log_.event("malformed_config", {{"reason", to_string(document.error())}},
                   read_clocks().mono);
        return false;
    }
    return on_config(*document, received.bytes, delivery);
}

/**
 * @param source for the log.
 * @return whether the list was taken; not if it is old.
 */
bool entry_host::apply(target_snapshot const& list, std::string const& source)
{
    mono_time const now = read_clocks().mono;
    bool const old = list.at < targets_.position() || list.at.era < era_;
    log_.event(old ? "old_target_list" : "target_list",
               {{"targets", std::to_string(list.entries.size())},
                {"position", to_text(list.at)},
                {"known_position", to_text(targets_.position())},
                {"source", source}},
               now);
    if (old) {
        return false;
    }
    targets_known_ = true;
    bool const changed = targets_.replace(list.entries, list.at, now);
    for (held_target const& each : list.held) {
        targets_.hold(each, now);
    }
    if (changed) {
        forwarder_.set_targets(targets_.entries());
    }
    return true;
}

/**
 * @param source, peer for the log.
 * @return whether the list was taken; not if it is old.
 */
bool entry_host::apply(evacuation_snapshot const& list, std::string const& source,
                       std::string const& peer)
{
    if (list.at.era < era_ || list.at < evacuations_.position()) {
        return false;
    }
    if (evacuations_.replace(list.zones, list.at, read_clocks().mono)) {
        apply_evacuations(source, peer);
    }
    return true;
}

/** @param source, peer for the log: who told of the last change. */
void entry_host::apply_evacuations(std::string const& source, std::string const& peer)
{
    forwarder_.set_evacuations(evacuations_.zones());
    std::string zones;
    for (zone_id const& zone : evacuations_.zones()) {
        zones += (zones.empty() ? "" : " ") + zone.value;
    }
    log_event("evacuations_in_force", {{"zones", zones},
                                       {"position", to_text(evacuations_.position())},
                                       {"source", source},
                                       {"peer", peer}});
}

/** Ends the periods for which entries were kept although the store does not list them. */
void entry_host::expire_held_entries(mono_time now)
{
    forward_changes(targets_.expire(now));
    if (evacuations_.expire(now)) {
        apply_evacuations("grace_over", "");
    }
}

/**
 * Applies changes newer than this host's list.
 * @param source for the log.
 * @return what they changed; nothing if they are old or do not follow on from the list.
 */
std::optional<targets_changed> entry_host::apply(target_changes const& message,
                                                 std::string const& source)
{
    store_position const known = targets_.position();
    bool const contiguous = targets_known_ && message.to.era == known.era && message.from <= known;
    if (!contiguous || message.to <= known) {
        return std::nullopt; // after a gap, the host pulls the whole list
    }
    mono_time const now = read_clocks().mono;
    for (target_change const& change : message.changes) {
        if (!change.entry || change.entry->phase == target_phase::leaving) {
            log_.event("target_left",
                       {{"target", change.id.value},
                        {"entry", change.entry ? "leaving" : "removed"},
                        {"position", to_text(message.to)},
                        {"source", source}},
                       now);
        }
    }
    targets_changed changed = targets_.apply(message.changes, now);
    targets_.advance(message.to);
    forward_changes(changed);
    return changed;
}

void entry_host::on(target_changes const& message)
{
    if (auto const changed = apply(message, "peer")) {
        send(replication_.targets_from_peer(message, read_clocks().mono));
        if (!changed->updated.empty() || !changed->removed.empty()) {
            target_follower_.expect_answer();
        }
    }
}

void entry_host::forward_changes(targets_changed const& changes)
{
    if (!changes.updated.empty() || !changes.removed.empty()) {
        forwarder_.change_targets(changes);
    }
}

/** Sends @p message to all other live hosts of this zone. */
void entry_host::push_to_zone(host_message const& message)
{
    transmit(view_.zone_peer_ips(read_clocks().mono), message);
}

} // namespace cove
