#include "peer/replication.h"

#include "peer/relay_tree.h"

namespace cove {

namespace {

/// How long a change may be missing before it is pulled from a peer; the host's own watch usually
/// delivers it sooner.
constexpr milliseconds zone_pull_delay{600};
/// A change that a whole zone misses is pulled from another zone by the hosts that follow the
/// store, at once by the speaker if it has lost the store; the other hosts wait this long, so that
/// they can get it inside the zone instead.
constexpr milliseconds cross_zone_pull_delay{2000};
/// Time that a configuration takes from the first follower of a zone to all hosts of the zone.
constexpr milliseconds standby_push_delay{500};
/// Limit on answers to pull requests: a third of a link of 10 Mbit/s, so that requests pass as
/// well.
constexpr double bulk_answer_bytes_per_second = 400'000;
constexpr std::size_t target_entry_bytes = 100; ///< of an encoded entry, about

/** @return about the size of the encoded @p answer. */
std::size_t size_of(host_snapshot const& answer)
{
    return (answer.config ? answer.config->bytes.size() : 0) +
           (answer.targets ? answer.targets->entries.size() * target_entry_bytes : 0);
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

replication::replication(std::string ip, host_view& view, replica_access copies)
    : ip_(std::move(ip)), view_(view), copies_(std::move(copies)),
      bulk_answers_(bulk_answer_bytes_per_second)
{
}

host_effects replication::tick(replica_role const& role, mono_time now)
{
    host_effects out;
    if (standby_push_due_ && now >= *standby_push_due_) {
        standby_push_due_.reset();
        out = push_config_to_lagging(now);
    }
    pull_if_behind(out, role, now);
    return out;
}

/** @return whether this host gets changes from other zones for a zone without the store. */
bool replication::pulls_for_zone(replica_role const& role, mono_time now) const
{
    return role.store_lost && view_.is_speaker(now);
}

/** Pulls from a peer what neither this host's watches nor pushes have delivered in time. */
void replication::pull_if_behind(host_effects& out, replica_role const& role, mono_time now)
{
    known_versions const own = copies_.versions();
    auto const source = view_.choose_pull_source(own, now);
    if (!source) {
        lag_.up_to_date();
        return;
    }
    milliseconds pull_delay = role.ready ? zone_pull_delay : milliseconds{0};
    if (source->in_other_zone && pulls_for_zone(role, now)) {
        pull_delay = milliseconds{0};
    }
    else if (source->in_other_zone && !role.follows_store) {
        pull_delay = cross_zone_pull_delay;
    }
    known_versions const& newest = source->versions;
    if (lag_.should_pull(own, newest, pull_delay, now)) {
        out.push_back({{source->ip},
                       pull_request{ip_, newest.config > own.config, newest.targets > own.targets,
                                    newest.evacuations > own.evacuations}});
    }
}

host_effects replication::on(pull_request const& message, mono_time now)
{
    host_snapshot answer;
    answer.sender_ip = ip_;
    answer.answer = true;
    if (message.config) {
        answer.config = copies_.config();
    }
    if (message.targets) {
        answer.targets = copies_.targets();
    }
    if (message.evacuations) {
        answer.evacuations = copies_.evacuations();
    }
    // The peer pulls again, perhaps from another host, if it gets no answer.
    if (!bulk_answers_.take(size_of(answer), now)) {
        copies_.log("pull_not_answered", {{"peer", message.sender_ip}});
        return {};
    }
    return {{{message.sender_ip}, std::move(answer)}};
}

host_effects replication::relay(host_snapshot const& message) const
{
    return message.config ? relay_config(*message.config, message.relay_to, ip_) : host_effects();
}

/**
 * Of the hosts that follow the store, the first one sends a new configuration to all others of the
 * zone; the next one waits and sends it to those that still lack it.
 */
host_effects replication::config_from_store(mono_time now)
{
    if (view_.follows_store(1, now)) {
        return push_config_to_lagging(now);
    }
    if (!standby_push_due_) {
        standby_push_due_ = now + standby_push_delay + view_.zone_round();
    }
    return {};
}

host_effects replication::config_from_peer(replica_role const& role, mono_time now)
{
    return pulls_for_zone(role, now) ? push_config_to_lagging(now) : host_effects();
}

host_effects replication::push_config_to_lagging(mono_time now) const
{
    auto const config = copies_.config();
    return config ? relay_config(*config, view_.zone_peer_ips_before(config->version, now), ip_)
                  : host_effects();
}

host_effects replication::evacuations_from_store(mono_time now)
{
    return {{view_.zone_peer_ips(now), host_snapshot{{}, {}, copies_.evacuations(), {}, ip_}}};
}

host_effects replication::evacuations_from_peer(replica_role const& role, mono_time now)
{
    return pulls_for_zone(role, now) ? evacuations_from_store(now) : host_effects();
}

} // namespace cove
