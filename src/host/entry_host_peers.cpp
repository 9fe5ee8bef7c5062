/** @file The part of an entry host that talks to its peers. */

#include "host/entry_host.h"

namespace cove {

namespace {

constexpr milliseconds behind_patience{600}; ///< own watches mostly bring it within that time
constexpr milliseconds pull_interval{1000};  ///< an answer to a pull comes sooner or is lost

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
    pull_if_behind(view_.alive(now), now);
}

void entry_host::report_peers(mono_time now)
{
    auto const serving = view_.serving(now);
    carrier_.set_peers(
        {view_.serving_in_zone(now), static_cast<int>(serving.size()), rooms(serving)});
}

std::vector<remote_room> entry_host::rooms(std::vector<host_report> const& hosts) const
{
    std::vector<zone_report> reports;
    std::map<zone_id, node_id> reporters; // the first host of each zone speaks for its targets
    for (host_report const& host : hosts) {
        auto const [known, fresh] = reporters.try_emplace(host.zone, host.name);
        if (!fresh && host.name < known->second) {
            known->second = host.name;
        }
    }
    for (host_report const& host : hosts) {
        zone_report report{host.name, host.zone, {}};
        if (reporters.at(host.zone) == host.name) {
            for (service_load_report const& load : host.loads) {
                report.loads.push_back({load.service, load.slots, load.busy + load.waiting});
            }
        }
        reports.push_back(std::move(report));
    }
    std::vector<remote_room> out;
    for (granted_room const& room : divide_rooms(reports, node_id(settings_.name))) {
        out.push_back({room.zone, room.service, room.requests});
    }
    return out;
}

/** Asks a peer for what it has and this host's own watches have not brought. */
void entry_host::pull_if_behind(std::vector<host_report> const& alive, mono_time now)
{
    own_state const own = state();
    host_report const* best = nullptr;
    pull wanted;
    wanted.sender_ip = settings_.ip;
    for (host_report const& host : alive) {
        bool const config = host.config_version > own.config_version;
        bool const targets = host.targets_at > own.targets_at;
        bool const evacuations = host.evacuations_at > own.evacuations_at;
        bool const nearer = best == nullptr || host.zone == zone_id(settings_.zone);
        if ((config || targets || evacuations) && nearer) {
            best = &host;
            wanted.config = config;
            wanted.targets = targets;
            wanted.evacuations = evacuations;
        }
    }
    if (best == nullptr) {
        behind_since_ = mono_time::max();
        return;
    }
    behind_since_ = std::min(behind_since_, now);
    bool const urgent = !ready();
    if ((urgent || now - behind_since_ >= behind_patience) && now - pulled_at_ >= pull_interval) {
        pulled_at_ = now;
        transport_.send(best->ip, encode_host_message(wanted));
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
    if (message.targets && message.targets->at > targets_.at()) {
        targets_known_ = true;
        on_targets(
            targets_.replace(message.targets->entries, message.targets->at, read_clocks().mono));
    }
    if (message.evacuations && message.evacuations->at > evacuations_at_) {
        evacuated_ = message.evacuations->zones;
        evacuations_at_ = message.evacuations->at;
        on_evacuations();
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
