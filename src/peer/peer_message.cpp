#include "peer/peer_message.h"

#include "host_gossip.pb.h"

#include <algorithm>
#include <map>

namespace cove {

namespace {

template <class Message>
void write_versions(Message& out, known_versions const& versions)
{
    out.set_config_version(versions.config.value);
    out.set_targets_era(versions.targets.era.value);
    out.set_targets_revision(versions.targets.at.value);
    out.set_evacuations_era(versions.evacuations.era.value);
    out.set_evacuations_revision(versions.evacuations.at.value);
}

template <class Message>
known_versions read_versions(Message const& in)
{
    return {generation(in.config_version()),
            {store_era(in.targets_era()), revision(in.targets_revision())},
            {store_era(in.evacuations_era()), revision(in.evacuations_revision())}};
}

template <class Message>
void write_loads(Message& out, std::vector<service_load_report> const& loads)
{
    for (service_load_report const& load : loads) {
        auto* const item = out.add_loads();
        item->set_service(load.service.value);
        item->set_slots(static_cast<float>(load.slots));
        item->set_listed(static_cast<float>(load.listed));
        item->set_busy(static_cast<float>(load.busy));
        item->set_waiting(static_cast<std::uint32_t>(load.waiting));
    }
}

template <class Message>
std::vector<service_load_report> read_loads(Message const& in)
{
    std::vector<service_load_report> loads;
    for (wire::ServiceLoadReport const& item : in.loads()) {
        loads.push_back({service_id(item.service()), item.slots(), item.listed(), item.busy(),
                         static_cast<int>(item.waiting())});
    }
    return loads;
}

template <class Message>
void write_demands(Message& out, std::vector<quota_demand> const& demands)
{
    for (quota_demand const& demand : demands) {
        auto* const item = out.add_quota_demands();
        item->set_workspace(demand.workspace);
        item->set_rate(static_cast<float>(demand.rate));
        item->set_hosts(static_cast<std::uint32_t>(demand.hosts));
        item->set_zone_hosts(static_cast<std::uint32_t>(demand.zone_hosts));
    }
}

template <class Message>
std::vector<quota_demand> read_demands(Message const& in)
{
    std::vector<quota_demand> demands;
    for (wire::QuotaDemand const& item : in.quota_demands()) {
        demands.push_back({item.workspace(), item.rate(), static_cast<int>(item.hosts()),
                           static_cast<int>(item.zone_hosts())});
    }
    return demands;
}

void write(wire::HostReport& out, host_report const& report)
{
    out.set_stale_config(report.stale_config);
    write_demands(out, report.quota_demands);
    out.set_name(report.name.value);
    out.set_zone(report.zone.value);
    out.set_ip(report.ip);
    out.set_client_address(report.client_address);
    out.set_life(report.incarnation.value);
    out.set_sequence(report.sequence);
    out.set_leaving(report.leaving);
    out.set_ready(report.ready);
    out.set_cut_off(report.cut_off);
    write_versions(out, report.versions);
    out.set_store_lost(report.store_lost);
    write_loads(out, report.loads);
    for (target_in_flight const& entry : report.targets_in_flight) {
        out.add_busy_targets(entry.target);
        out.add_running(static_cast<std::uint32_t>(entry.in_flight));
    }
    for (target_limit_report const& entry : report.target_limits) {
        auto* const item = out.add_target_limits();
        item->set_target(entry.target);
        item->set_limited(entry.limit.has_value());
        item->set_limit(static_cast<float>(entry.limit.value_or(0)));
        item->set_age_ms(static_cast<std::uint32_t>(entry.age.count()));
    }
    for (service_objects const& seen : report.new_objects) {
        auto* const item = out.add_new_objects();
        item->set_service(seen.service.value);
        item->mutable_objects()->Add(seen.objects.begin(), seen.objects.end());
    }
}

host_report read(wire::HostReport const& in)
{
    host_report report;
    report.name = node_id(in.name());
    report.zone = zone_id(in.zone());
    report.ip = in.ip();
    report.client_address = in.client_address();
    report.incarnation = host_incarnation(in.life());
    report.sequence = in.sequence();
    report.leaving = in.leaving();
    report.ready = in.ready();
    report.cut_off = in.cut_off();
    report.versions = read_versions(in);
    report.store_lost = in.store_lost();
    report.loads = read_loads(in);
    report.stale_config = in.stale_config();
    report.quota_demands = read_demands(in);
    for (int i = 0; i < std::min(in.busy_targets_size(), in.running_size()); ++i) {
        report.targets_in_flight.push_back({in.busy_targets(i), static_cast<int>(in.running(i))});
    }
    for (wire::TargetLimit const& item : in.target_limits()) {
        auto const limit = item.limited() ? std::optional<double>(item.limit()) : std::nullopt;
        report.target_limits.push_back({item.target(), limit, milliseconds(item.age_ms())});
    }
    for (wire::ServiceObjects const& item : in.new_objects()) {
        report.new_objects.push_back(
            {service_id(item.service()), {item.objects().begin(), item.objects().end()}});
    }
    return report;
}

void write(wire::ZoneStatus& out, zone_status const& zone)
{
    out.set_zone(zone.zone.value);
    out.set_speaker(zone.speaker.value);
    out.set_life(zone.incarnation.value);
    out.set_sequence(zone.sequence);
    out.set_ip(zone.ip);
    write_versions(out, zone.versions);
    write_loads(out, zone.loads);
    write_demands(out, zone.quota_demands);
    out.set_has_roster(zone.roster.has_value());
    if (!zone.roster) {
        return;
    }
    for (roster_host const& host : *zone.roster) {
        auto* const item = out.add_roster();
        item->set_name(host.name.value);
        item->set_ip(host.ip);
        item->set_client_address(host.client_address);
        item->set_life(host.incarnation.value);
    }
}

zone_status read(wire::ZoneStatus const& in)
{
    zone_status zone;
    zone.zone = zone_id(in.zone());
    zone.speaker = node_id(in.speaker());
    zone.incarnation = host_incarnation(in.life());
    zone.sequence = in.sequence();
    zone.ip = in.ip();
    zone.versions = read_versions(in);
    zone.loads = read_loads(in);
    zone.quota_demands = read_demands(in);
    if (in.has_roster()) {
        std::vector<roster_host> roster;
        for (wire::RosterHost const& host : in.roster()) {
            roster.push_back({node_id(host.name()), zone.zone, host.ip(), host.client_address(),
                              host_incarnation(host.life())});
        }
        zone.roster = std::move(roster);
    }
    return zone;
}

void write(wire::ListedTarget& out, target_entry const& entry)
{
    out.set_id(entry.id.value);
    out.set_service(entry.service.value);
    out.set_address(entry.address);
    out.set_zone(entry.zone.value);
    out.set_slots(static_cast<std::uint32_t>(entry.slots));
    out.set_leaving(entry.phase == target_phase::leaving);
    out.set_cold_left_ms(static_cast<std::uint32_t>(entry.cold_left.count()));
    out.set_life(entry.incarnation.value);
}

target_entry read(wire::ListedTarget const& in)
{
    target_entry entry;
    entry.id = target_id(in.id());
    entry.service = service_id(in.service());
    entry.address = in.address();
    entry.zone = zone_id(in.zone());
    entry.slots = static_cast<int>(in.slots());
    entry.phase = in.leaving() ? target_phase::leaving : target_phase::serving;
    entry.cold_left = milliseconds(in.cold_left_ms());
    entry.incarnation = target_incarnation(in.life());
    return entry;
}

void write(wire::HostEnvelope& out, gossip const& message)
{
    auto* const body = out.mutable_gossip();
    body->set_sender(message.sender.value);
    body->set_sender_ip(message.sender_ip);
    body->set_answer_wanted(message.answer_wanted);
    for (host_report const& report : message.reports) {
        write(*body->add_reports(), report);
    }
    for (zone_status const& zone : message.zones) {
        write(*body->add_zones(), zone);
    }
}

void write(wire::HostEnvelope& out, pull_request const& message)
{
    auto* const body = out.mutable_pull();
    body->set_sender_ip(message.sender_ip);
    body->set_config(message.config);
    body->set_targets(message.targets);
    body->set_evacuations(message.evacuations);
    body->set_targets_era(message.targets_at.era.value);
    body->set_targets_revision(message.targets_at.at.value);
}

void write(wire::HostEnvelope& out, pull_refused const& message)
{
    out.mutable_pull_refused()->set_sender_ip(message.sender_ip);
    out.mutable_pull_refused()->set_targets(message.kind == pull_kind::targets);
}

void write(wire::HostEnvelope& out, change_notice const& message)
{
    auto* const body = out.mutable_change_notice();
    body->set_sender_ip(message.sender_ip);
    body->set_zone(message.zone.value);
    write_versions(*body, message.changes);
    body->set_pass_on(message.pass_on);
}

void write(wire::HostEnvelope& out, host_snapshot const& message)
{
    auto* const body = out.mutable_snapshot();
    if (message.config) {
        body->set_config_version(message.config->version.value);
        body->set_packed_config(message.config->bytes);
    }
    for (std::string const& ip : message.relay_to) {
        body->add_relay_to(ip);
    }
    body->set_sender_ip(message.sender_ip);
    body->set_answer(message.answer);
    body->set_has_targets(message.targets.has_value());
    if (message.targets) {
        body->set_targets_era(message.targets->at.era.value);
        body->set_targets_revision(message.targets->at.at.value);
        body->set_targets_changed_era(message.targets->changed_at.era.value);
        body->set_targets_changed_revision(message.targets->changed_at.at.value);
        std::map<target_id, milliseconds> held;
        for (held_target const& each : message.targets->held) {
            held[each.id] = each.left;
        }
        for (target_entry const& entry : message.targets->entries) {
            auto* const item = body->add_targets();
            write(*item, entry);
            if (auto const found = held.find(entry.id); found != held.end()) {
                item->set_held_ms(static_cast<std::uint32_t>(found->second.count()));
            }
        }
    }
    body->set_has_evacuations(message.evacuations.has_value());
    if (message.evacuations) {
        body->set_evacuations_era(message.evacuations->at.era.value);
        body->set_evacuations_revision(message.evacuations->at.at.value);
        body->set_evacuations_changed_era(message.evacuations->changed_at.era.value);
        body->set_evacuations_changed_revision(message.evacuations->changed_at.at.value);
        for (zone_id const& zone : message.evacuations->zones) {
            body->add_evacuations(zone.value);
        }
    }
}

void write(wire::HostEnvelope& out, target_changes const& message)
{
    auto* const body = out.mutable_target_changes();
    body->set_era(message.to.era.value);
    body->set_from_revision(message.from.at.value);
    body->set_to_revision(message.to.at.value);
    for (target_change const& change : message.changes) {
        auto* const item = body->add_changes();
        item->set_id(change.id.value);
        if (change.entry) {
            write(*item->mutable_entry(), *change.entry);
        }
    }
}

void write(wire::HostEnvelope& out, crash_report const& message)
{
    auto* const body = out.mutable_crash_report();
    body->set_pass_on(message.pass_on);
    for (crash_record const& record : message.records) {
        auto* const item = body->add_records();
        item->set_fingerprint(record.fingerprint.value);
        item->set_age_ms(static_cast<std::uint32_t>(record.age.count()));
        for (target_end const& end : record.ends) {
            auto* const entry = item->add_ends();
            entry->set_target(end.target.value);
            entry->set_incarnation(end.incarnation.value);
            entry->set_observer(end.observer.value);
            entry->set_acquitted(end.acquitted);
        }
    }
}

void write(wire::HostEnvelope& out, freshness_query const& message)
{
    out.mutable_freshness_query()->set_sender_ip(message.sender_ip);
    out.mutable_freshness_query()->set_nonce(message.nonce);
}

void write(wire::HostEnvelope& out, freshness_answer const& message)
{
    auto* const body = out.mutable_freshness_answer();
    body->set_nonce(message.nonce);
    body->set_offset_ms(message.offset.count());
    body->set_config_version(message.version.value);
}

crash_report read(wire::CrashReport const& in)
{
    crash_report message{{}, in.pass_on()};
    for (wire::CrashRecord const& item : in.records()) {
        crash_record record{
            request_fingerprint(item.fingerprint()), {}, milliseconds(item.age_ms())};
        for (wire::TargetEnd const& end : item.ends()) {
            record.ends.push_back({target_id(end.target()), target_incarnation(end.incarnation()),
                                   node_id(end.observer()), end.acquitted()});
        }
        message.records.push_back(std::move(record));
    }
    return message;
}

target_changes read(wire::TargetChanges const& in)
{
    store_era const era(in.era());
    target_changes message{
        {era, revision(in.from_revision())}, {era, revision(in.to_revision())}, {}};
    for (wire::ListedTargetChange const& item : in.changes()) {
        target_change change{target_id(item.id()), std::nullopt};
        if (item.has_entry()) {
            change.entry = read(item.entry());
        }
        message.changes.push_back(std::move(change));
    }
    return message;
}

gossip read(wire::HostGossip const& in)
{
    gossip message;
    message.sender = node_id(in.sender());
    message.sender_ip = in.sender_ip();
    message.answer_wanted = in.answer_wanted();
    for (wire::HostReport const& report : in.reports()) {
        message.reports.push_back(read(report));
    }
    for (wire::ZoneStatus const& zone : in.zones()) {
        message.zones.push_back(read(zone));
    }
    return message;
}

host_snapshot read(wire::HostSnapshot const& in)
{
    host_snapshot message;
    if (!in.packed_config().empty()) {
        message.config = packed_config{generation(in.config_version()), in.packed_config()};
    }
    message.relay_to = {in.relay_to().begin(), in.relay_to().end()};
    message.sender_ip = in.sender_ip();
    message.answer = in.answer();
    if (in.has_targets()) {
        target_snapshot targets{{}, {store_era(in.targets_era()), revision(in.targets_revision())}};
        for (wire::ListedTarget const& record : in.targets()) {
            targets.entries.push_back(read(record));
            if (record.has_held_ms()) {
                targets.held.push_back({target_id(record.id()), milliseconds(record.held_ms())});
            }
        }
        targets.changed_at = {store_era(in.targets_changed_era()),
                              revision(in.targets_changed_revision())};
        message.targets = std::move(targets);
    }
    if (in.has_evacuations()) {
        evacuation_snapshot evacuations{
            {}, {store_era(in.evacuations_era()), revision(in.evacuations_revision())}};
        for (std::string const& zone : in.evacuations()) {
            evacuations.zones.emplace(zone);
        }
        evacuations.changed_at = {store_era(in.evacuations_changed_era()),
                                  revision(in.evacuations_changed_revision())};
        message.evacuations = std::move(evacuations);
    }
    return message;
}

/** Calls @p visit for each position of the store in @p message. */
template <class Message, class Visitor>
void for_each_position(Message& message, Visitor const& visit)
{
    auto const visit_versions = [&visit](auto& versions) {
        visit(versions.targets);
        visit(versions.evacuations);
    };
    if (auto* const reports = std::get_if<gossip>(&message)) {
        for (auto& report : reports->reports) {
            visit_versions(report.versions);
        }
        for (auto& zone : reports->zones) {
            visit_versions(zone.versions);
        }
    }
    else if (auto* const snapshot = std::get_if<host_snapshot>(&message)) {
        if (snapshot->targets) {
            visit(snapshot->targets->at);
            visit(snapshot->targets->changed_at);
        }
        if (snapshot->evacuations) {
            visit(snapshot->evacuations->at);
            visit(snapshot->evacuations->changed_at);
        }
    }
    else if (auto* const changes = std::get_if<target_changes>(&message)) {
        visit(changes->from);
        visit(changes->to);
    }
    else if (auto* const pull = std::get_if<pull_request>(&message)) {
        visit(pull->targets_at);
    }
    else if (auto* const notice = std::get_if<change_notice>(&message)) {
        visit_versions(notice->changes);
    }
}

result<host_message> read(wire::HostEnvelope const& envelope, std::string const& peer)
{
    switch (envelope.body_case()) {
    case wire::HostEnvelope::kGossip:
        return host_message(read(envelope.gossip()));
    case wire::HostEnvelope::kPull:
        return host_message(pull_request{envelope.pull().sender_ip(),
                                         envelope.pull().config(),
                                         envelope.pull().targets(),
                                         envelope.pull().evacuations(),
                                         {store_era(envelope.pull().targets_era()),
                                          revision(envelope.pull().targets_revision())}});
    case wire::HostEnvelope::kSnapshot:
        return host_message(read(envelope.snapshot()));
    case wire::HostEnvelope::kTargetChanges:
        return host_message(read(envelope.target_changes()));
    case wire::HostEnvelope::kCrashReport:
        return host_message(read(envelope.crash_report()));
    case wire::HostEnvelope::kFreshnessQuery:
        return host_message(freshness_query{envelope.freshness_query().sender_ip(),
                                            envelope.freshness_query().nonce()});
    case wire::HostEnvelope::kFreshnessAnswer:
        return host_message(
            freshness_answer{envelope.freshness_answer().nonce(),
                             milliseconds(envelope.freshness_answer().offset_ms()),
                             generation(envelope.freshness_answer().config_version())});
    case wire::HostEnvelope::kPullRefused:
        return host_message(pull_refused{envelope.pull_refused().sender_ip(),
                                         envelope.pull_refused().targets() ? pull_kind::targets
                                                                           : pull_kind::decisions});
    case wire::HostEnvelope::kChangeNotice:
        return host_message(change_notice{
            envelope.change_notice().sender_ip(), zone_id(envelope.change_notice().zone()),
            read_versions(envelope.change_notice()), envelope.change_notice().pass_on()});
    default:
        return fail("peer.decode", peer, "entry host message without a known body");
    }
}

} // namespace

std::string encode_host_message(host_message const& message)
{
    wire::HostEnvelope envelope;
    std::visit([&envelope](auto const& body) { write(envelope, body); }, message);
    return envelope.SerializeAsString();
}

result<host_message> decode_host_message(std::string const& bytes, std::string const& peer,
                                         store_era era)
{
    wire::HostEnvelope envelope;
    if (!envelope.ParseFromString(bytes)) {
        return fail("peer.decode", peer,
                    "malformed entry host message of " + std::to_string(bytes.size()) + " bytes");
    }
    auto message = read(envelope, peer);
    if (message) {
        for_each_position(*message, [era](store_position& position) {
            position.era = position.era == store_era{} ? era : position.era;
        });
    }
    return message;
}

generation newest_config(host_message const& message)
{
    generation newest;
    if (auto const* const reports = std::get_if<gossip>(&message)) {
        for (host_report const& report : reports->reports) {
            newest = std::max(newest, report.versions.config);
        }
        for (zone_status const& zone : reports->zones) {
            newest = std::max(newest, zone.versions.config);
        }
    }
    else if (auto const* const snapshot = std::get_if<host_snapshot>(&message)) {
        newest = snapshot->config ? snapshot->config->version : newest;
    }
    else if (auto const* const answer = std::get_if<freshness_answer>(&message)) {
        newest = answer->version;
    }
    else if (auto const* const notice = std::get_if<change_notice>(&message)) {
        newest = notice->changes.config;
    }
    return newest;
}

std::string const& sender_of(host_message const& message)
{
    static std::string const unknown;
    return std::visit(
        [](auto const& body) -> std::string const& {
            if constexpr (requires { body.sender_ip; }) {
                return body.sender_ip;
            }
            else {
                return unknown;
            }
        },
        message);
}

store_era latest_era(host_message const& message)
{
    store_era latest;
    for_each_position(message, [&latest](store_position const& position) {
        latest = std::max(latest, position.era);
    });
    return latest;
}

} // namespace cove
