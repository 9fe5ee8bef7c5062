#include "peer/replication.h"

#include "peer/relay_tree.h"

#include <algorithm>

namespace cove {

namespace {

/// How long a change may be missing that another host of the zone has, before it is pulled from
/// there; a push usually delivers it sooner.
constexpr milliseconds zone_pull_delay{600};
/// How long a change may be missing in a whole zone before its first host pulls it from another
/// zone; the first follower's watch usually delivers it sooner. For targets, its pause is added.
constexpr milliseconds cross_zone_pull_delay{300};
/// Each further host of the zone pulls later, as the first one serves its zone by then.
constexpr milliseconds pull_rank_step{250};
constexpr int last_pull_rank = 4; ///< later hosts do not wait longer
/// The same for the list of targets at later hosts that do not follow the store.
constexpr milliseconds list_pull_delay{2000};
/// A pull is repeated, at another host, when its answer has not come in this time.
constexpr milliseconds pull_interval{500};
/// The first follower of a zone has told of a new configuration within this time after the second
/// one got it; otherwise the second one pushes it.
constexpr milliseconds standby_push_delay{300};
/// Time that a configuration takes from the first follower of a zone to all hosts of the zone.
constexpr milliseconds push_duration{500};
/// A host that has refused a pull is not asked again for this long.
constexpr milliseconds refusal_period{1000};
/// The followers of all zones have told of a change within this time.
constexpr milliseconds retelling_delay{300};
/// A host that has not answered a pull is asked for this long only if no other one has the data.
constexpr milliseconds silence_period{3000};
/// After this, reports tell what the hosts have that have sent notices.
constexpr milliseconds notice_retention{5000};
/// Interval between notices of leaving targets to other zones; targets often leave in series.
constexpr milliseconds targets_notice_interval{500};
/// Each call to the store is charged.
constexpr milliseconds store_doubt_interval{3000};
/// Limit on answers to pull requests: a third of a link of 10 Mbit/s, so that requests pass as
/// well.
constexpr double bulk_answer_bytes_per_second = 400'000;
constexpr std::size_t target_entry_bytes = 100; ///< of an encoded entry, about
constexpr std::size_t message_bytes = 100;      ///< of an encoded message without its data, about

/** @return about the size of the encoded @p answer. */
std::size_t size_of(host_snapshot const& answer)
{
    return message_bytes + (answer.config ? answer.config->bytes.size() : 0) +
           (answer.targets ? answer.targets->entries.size() * target_entry_bytes : 0);
}

std::size_t size_of(target_changes const& answer)
{
    return message_bytes + answer.changes.size() * target_entry_bytes;
}

/** @return whether a target leaves or has left with @p changes. */
bool names_leaving_target(target_changes const& changes)
{
    return std::any_of(changes.changes.begin(), changes.changes.end(), [](auto const& change) {
        return !change.entry || change.entry->phase == target_phase::leaving;
    });
}

/** @return @p changed_at, or @p at if the sender did not tell it. */
store_position known_or(store_position changed_at, store_position at)
{
    return changed_at.at == revision{} ? at : changed_at;
}

/** @return the messages that send @p config to @p receivers, a few of which pass it on. */
host_effects relay_config(packed_config const& config, std::vector<std::string> const& receivers,
                          std::string const& own_ip)
{
    host_effects out;
    for (relay_branch& branch : divide_for_relay(receivers)) {
        out.push_back(
            {{branch.receiver}, host_snapshot{config, {}, {}, std::move(branch.relay_to), own_ip}});
    }
    return out;
}

} // namespace

replication::replication(std::string ip, zone_id zone, host_view& view, replica_access copies,
                         std::uint64_t seed)
    : ip_(std::move(ip)), zone_(std::move(zone)), view_(view), copies_(std::move(copies)),
      random_(seed), decisions_{lag_detector(pull_interval)}, targets_{lag_detector(pull_interval)},
      bulk_answers_(bulk_answer_bytes_per_second)
{
}

host_effects replication::tick(replica_role const& role, mono_time now)
{
    host_effects out;
    std::erase_if(informed_,
                  [now](auto const& item) { return now - item.second.heard >= notice_retention; });
    for (pull_state* const state : {&decisions_, &targets_}) {
        std::erase_if(state->refused_at,
                      [now](auto const& item) { return now - item.second >= refusal_period; });
        std::erase_if(state->silent_at,
                      [now](auto const& item) { return now - item.second >= silence_period; });
    }
    push_as_standby(out, now);
    if (targets_notice_due_ && now >= *targets_notice_due_) {
        targets_notice_due_.reset();
        targets_noticed_ = now;
        notify_other_zones(out, only(pull_kind::targets, reported_versions()), now);
    }
    notify_silent_zones(out, now);
    pull_if_behind(out, pull_kind::decisions, role, now);
    pull_if_behind(out, pull_kind::targets, role, now);
    return out;
}

/**
 * Pushes a configuration that the first follower of the zone has not told of, or in case that it
 * has, pushes it later to those that it has not reached.
 */
void replication::push_as_standby(host_effects& out, mono_time now)
{
    if (!standby_push_due_ || now < *standby_push_due_) {
        return;
    }
    generation const version = copies_.versions().config;
    bool const told =
        std::any_of(informed_.begin(), informed_.end(), [this, version](auto const& item) {
            return item.second.zone == zone_ && item.second.changes.config >= version;
        });
    if (told && !standby_deferred_) {
        standby_deferred_ = true;
        standby_push_due_ = now + push_duration + view_.zone_round();
        return;
    }
    standby_push_due_.reset();
    push_config_to_lagging(out, now);
}

known_versions replication::reported_versions() const
{
    return {copies_.versions().config, targets_log_.changed_at(), evacuations_changed_};
}

/** @return the hosts that have told of their versions, with those of @p kind. */
std::vector<pull_source> replication::sources(pull_kind kind, mono_time now) const
{
    std::vector<pull_source> out = view_.reported_copies(now);
    for (auto const& [ip, host] : informed_) {
        out.push_back({ip, host.changes, host.zone != zone_});
    }
    for (pull_source& source : out) {
        source.changes = only(kind, source.changes);
    }
    return out;
}

milliseconds replication::pull_delay(pull_source const& source, pull_kind kind,
                                     replica_role const& role, mono_time now) const
{
    if (!role.ready) {
        return milliseconds{0};
    }
    if (!source.in_other_zone) {
        return zone_pull_delay;
    }
    if (role.store_lost && view_.is_speaker(now)) {
        return milliseconds{0};
    }
    int const rank = view_.rank_in_zone(now);
    if (kind == pull_kind::targets && !role.follows_store && rank > last_pull_rank) {
        return list_pull_delay;
    }
    milliseconds const pause = kind == pull_kind::targets ? role.targets_pause : milliseconds{0};
    return cross_zone_pull_delay + pause + pull_rank_step * std::min(rank, last_pull_rank);
}

/** Takes note of a host that has not answered a pull of this kind in time. */
void replication::note_silence(pull_state& state, mono_time now)
{
    if (state.answer_due && !state.lag.answer_may_come(now)) {
        state.answer_due = false;
        state.silent_at[state.asked] = now;
    }
}

/** Pulls from a peer what neither this host's watches nor pushes have delivered in time. */
void replication::pull_if_behind(host_effects& out, pull_kind kind, replica_role const& role,
                                 mono_time now)
{
    pull_state& state = state_of(kind);
    known_versions const all = copies_.versions();
    known_versions const own = only(kind, all);
    std::vector<pull_source> usable = sources(kind, now);
    std::erase_if(usable, [&own](pull_source const& each) { return own.covers(each.changes); });
    if (usable.empty()) {
        state.lag.up_to_date();
        state.asked_elsewhere = false;
        state.answer_due = false;
        return;
    }
    std::erase_if(usable,
                  [&state](pull_source const& each) { return state.refused_at.contains(each.ip); });
    note_silence(state, now);
    auto const is_silent = [&state](pull_source const& each) {
        return state.silent_at.contains(each.ip);
    };
    if (!std::all_of(usable.begin(), usable.end(), is_silent)) {
        std::erase_if(usable, is_silent);
    }
    auto const source = choose_pull_source(std::move(usable), own, random_);
    if (!source) {
        return; // all of them have refused a moment ago
    }
    known_versions const& newest = source->changes;
    if (!state.lag.should_pull(own, newest, pull_delay(*source, kind, role, now), now)) {
        return;
    }
    state.asked = source->ip;
    state.asked_elsewhere = source->in_other_zone;
    state.answer_due = true;
    out.push_back({{source->ip},
                   pull_request{ip_, newest.config > own.config, newest.targets > own.targets,
                                newest.evacuations > own.evacuations, all.targets}});
    if (role.ready && role.follows_store && !role.store_lost) {
        bool const lately =
            state.store_doubted && now - *state.store_doubted < store_doubt_interval;
        if (!lately) {
            state.store_doubted = now;
            copies_.doubt_store(kind);
        }
    }
}

host_effects replication::on(pull_request const& message, mono_time now)
{
    host_effects out;
    auto const refuse = [&](pull_kind kind) {
        copies_.log("pull_refused",
                    {{"peer", message.sender_ip},
                     {"kind", kind == pull_kind::targets ? "targets" : "decisions"}});
        out.push_back({{message.sender_ip}, pull_refused{ip_, kind}});
    };
    if (message.config || message.evacuations) {
        host_snapshot answer;
        answer.sender_ip = ip_;
        answer.answer = true;
        if (message.config) {
            answer.config = copies_.config();
        }
        if (message.evacuations) {
            answer.evacuations = copies_.evacuations();
            answer.evacuations->changed_at = evacuations_changed_;
        }
        if (bulk_answers_.take_urgent(size_of(answer), now)) {
            out.push_back({{message.sender_ip}, std::move(answer)});
        }
        else {
            refuse(pull_kind::decisions);
        }
    }
    if (!message.targets) {
        return out;
    }
    auto const changes = targets_log_.since(message.targets_at, copies_.versions().targets);
    if (changes && bulk_answers_.take_urgent(size_of(*changes), now)) {
        out.push_back({{message.sender_ip}, *changes});
        return out;
    }
    host_snapshot answer{{}, copies_.targets(), {}, {}, ip_, true};
    if (answer.targets) {
        answer.targets->changed_at = targets_log_.changed_at();
    }
    if (bulk_answers_.take(size_of(answer), now)) {
        out.push_back({{message.sender_ip}, std::move(answer)});
    }
    else {
        refuse(pull_kind::targets);
    }
    return out;
}

host_effects replication::on(pull_refused const& message, replica_role const& role, mono_time now)
{
    host_effects out;
    pull_state& state = state_of(message.kind);
    if (message.sender_ip != state.asked) {
        return out;
    }
    state.refused_at[message.sender_ip] = now;
    state.answer_due = false;
    state.lag.not_answered();
    pull_if_behind(out, message.kind, role, now);
    return out;
}

host_effects replication::on(change_notice const& message, mono_time now)
{
    if (message.sender_ip == ip_) {
        return {};
    }
    informed_host& sender = informed_[message.sender_ip];
    sender.changes.merge(message.changes); // one that was passed on may be older
    sender.zone = message.zone;
    sender.heard = now;
    bool const known =
        heard_.covers(message.changes) || reported_versions().covers(message.changes);
    heard_.merge(message.changes);
    for (pull_kind const kind : {pull_kind::decisions, pull_kind::targets}) {
        state_of(kind).lag.note(only(kind, copies_.versions()), only(kind, message.changes), now);
    }
    if (known || !message.pass_on) {
        return {};
    }
    change_notice passed_on = message;
    passed_on.pass_on = false;
    return {{view_.zone_peer_ips(now), std::move(passed_on)}};
}

host_effects replication::relay(host_snapshot const& message) const
{
    return message.config ? relay_config(*message.config, message.relay_to, ip_) : host_effects();
}

/** @return whether @p message answers a pull from another zone. */
bool replication::is_answer(host_snapshot const& message, pull_state const& state)
{
    bool const pushed = !message.answer && !message.sender_ip.empty();
    return state.asked_elsewhere && !pushed;
}

/**
 * Of the hosts that follow the store, the first one sends a new configuration to all others of the
 * zone; the next one waits and sends it to those that still lack it.
 */
host_effects replication::config_from_store(mono_time now)
{
    host_effects out;
    notify_other_zones(out, {copies_.versions().config, {}, {}}, now);
    if (view_.follows_store(1, now)) {
        push_config_to_lagging(out, now);
    }
    else if (!standby_push_due_ || standby_deferred_) {
        standby_push_due_ = now + standby_push_delay;
        standby_deferred_ = false;
    }
    return out;
}

host_effects replication::config_from_peer(host_snapshot const& message, mono_time now)
{
    decisions_.answer_due = false;
    host_effects out;
    if (is_answer(message, decisions_)) {
        push_config_to_lagging(out, now);
    }
    return out;
}

void replication::push_config_to_lagging(host_effects& out, mono_time now) const
{
    auto const config = copies_.config();
    if (!config) {
        return;
    }
    auto const receivers = view_.zone_peer_ips_before(config->version, now);
    // The notice first: whom the configuration does not reach by way of others can then pull it.
    out.push_back({receivers, notice(false)});
    for (outgoing_host_message& copy : relay_config(*config, receivers, ip_)) {
        out.push_back(std::move(copy));
    }
}

change_notice replication::notice(bool pass_on) const
{
    return {ip_, zone_, reported_versions(), pass_on};
}

/** Tells the other zones of @p news. */
void replication::notify_other_zones(host_effects& out, known_versions const& news, mono_time now)
{
    news_.merge(news);
    if (!retelling_due_) {
        retelling_due_ = now + retelling_delay;
    }
    notify_zones(out, {}, now);
}

/** Tells another host of the zones that have not told of the news: the first may not have got it.
 */
void replication::notify_silent_zones(host_effects& out, mono_time now)
{
    if (!retelling_due_ || now < *retelling_due_) {
        return;
    }
    retelling_due_.reset();
    std::map<zone_id, known_versions> told;
    for (auto const& [ip, host] : informed_) {
        told[host.zone].merge(host.changes);
    }
    std::set<zone_id> informed;
    for (auto const& [zone, versions] : told) {
        if (versions.covers(news_)) {
            informed.insert(zone);
        }
    }
    news_ = {};
    notify_zones(out, informed, now);
}

/** Tells one host of each other zone, drawn at random, what this host has. */
void replication::notify_zones(host_effects& out, std::set<zone_id> const& except, mono_time now)
{
    std::map<zone_id, std::vector<std::string const*>> hosts;
    for (roster_host const& host : view_.serving(now)) {
        if (host.zone != zone_ && !except.contains(host.zone)) {
            hosts[host.zone].push_back(&host.ip);
        }
    }
    std::vector<std::string> receivers;
    for (auto const& [zone, ips] : hosts) {
        receivers.push_back(*ips[random_below(random_, ips.size())]);
    }
    if (!receivers.empty()) {
        out.push_back({std::move(receivers), notice(true)});
    }
}

host_effects replication::evacuations_from_store(bool changed, mono_time now)
{
    host_effects out;
    evacuation_snapshot evacuations = copies_.evacuations();
    if (changed) {
        evacuations_changed_ = evacuations.at;
        notify_other_zones(out, {{}, {}, evacuations_changed_}, now);
    }
    evacuations.changed_at = evacuations_changed_;
    out.push_back(
        {view_.zone_peer_ips(now), host_snapshot{{}, {}, std::move(evacuations), {}, ip_}});
    return out;
}

host_effects replication::evacuations_from_peer(host_snapshot const& message, mono_time now)
{
    evacuation_snapshot const& got = *message.evacuations;
    store_position const changed = known_or(got.changed_at, got.at);
    bool const news = changed > evacuations_changed_;
    evacuations_changed_ = std::max(evacuations_changed_, changed);
    decisions_.answer_due = decisions_.answer_due && !news;
    host_effects out;
    if (news && is_answer(message, decisions_)) {
        out = evacuations_from_store(false, now);
    }
    return out;
}

/** @return @p changes for all lists that have the last change before them, whatever their position.
 */
target_changes replication::widen(target_changes const& changes) const
{
    target_changes out = changes;
    if (targets_log_.changed_at().era == out.from.era) {
        out.from = std::min(out.from, targets_log_.changed_at());
    }
    return out;
}

host_effects replication::targets_from_store(target_changes const& changes, mono_time now)
{
    host_effects out;
    out.push_back({view_.zone_peer_ips(now), widen(changes)});
    targets_log_.add(changes);
    if (names_leaving_target(changes) && !targets_notice_due_) {
        targets_notice_due_ = std::max(now, targets_noticed_ + targets_notice_interval);
    }
    return out;
}

void replication::targets_from_peer(host_snapshot const& message)
{
    targets_log_.restart(known_or(message.targets->changed_at, message.targets->at));
    targets_.answer_due = false;
    targets_.asked_elsewhere = false;
}

host_effects replication::targets_from_peer(target_changes const& message, mono_time now)
{
    target_changes const pushed = widen(message);
    targets_log_.add(message);
    if (message.changes.empty()) {
        return {}; // no answer to a pull
    }
    targets_.answer_due = false;
    if (!std::exchange(targets_.asked_elsewhere, false)) {
        return {};
    }
    return {{view_.zone_peer_ips(now), pushed}};
}

} // namespace cove
