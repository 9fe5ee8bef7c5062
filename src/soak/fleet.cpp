#include "soak/fleet.h"

#include "core/hash_func.h"
#include "core/invariant.h"

namespace cove {

namespace {

constexpr seconds max_clock_skew{500}; ///< monotonic clocks of hosts are unrelated

} // namespace

fleet::fleet(scheduler& time, random_source& random, audit& checks, disabled_mechanisms disabled)
    : time_(time), random_(random), checks_(checks), disabled_(disabled)
{
}

std::size_t fleet::add(entry_host listed)
{
    fleet_host host;
    host.host_entry = std::move(listed);
    host.clock_skew = random_.between(microseconds(0), max_clock_skew);
    hosts_.push_back(std::move(host));
    return hosts_.size() - 1;
}

void fleet::start(std::size_t host)
{
    fleet_host& state = hosts_[host];
    ++state.process_epoch;
    state.node = std::make_unique<node_state>(
        make_node({state.host_entry.id, state.host_entry.zone, incarnation_id{random_.number()},
                   state.host_entry.caller_address, state.host_entry.peer_address},
                  random_.number()));
    state.node->disabled = disabled_;
    state.frozen = false;
    state.stopping = false;
    state.disturbed_at = time_.now();
    state.held_events.clear();
    checks_.log_event(time_.now(), "start " + state.host_entry.id.value);
    deliver(host, state.process_epoch, wake_due{});
}

void fleet::end_process(std::size_t host, bool planned)
{
    hosts_[host].node.reset();
    hosts_[host].held_events.clear();
    ++hosts_[host].process_epoch;
    hooks_.ended(host, planned);
}

void fleet::kill(std::size_t host)
{
    if (is_up(host)) {
        checks_.log_event(time_.now(), "kill " + hosts_[host].host_entry.id.value);
        end_process(host, false);
    }
}

void fleet::freeze(std::size_t host)
{
    checks_.log_event(time_.now(), "freeze " + hosts_[host].host_entry.id.value);
    hosts_[host].frozen = true;
}

void fleet::unfreeze(std::size_t host)
{
    fleet_host& state = hosts_[host];
    if (!state.frozen) {
        return;
    }
    checks_.log_event(time_.now(), "thaw " + state.host_entry.id.value);
    state.frozen = false;
    state.disturbed_at = time_.now();
    std::uint64_t const process_epoch = state.process_epoch;
    for (node_event_body& body : std::exchange(state.held_events, {})) {
        deliver(host, process_epoch, std::move(body));
    }
}

void fleet::stop(std::size_t host)
{
    fleet_host& state = hosts_[host];
    if (!state.node || state.stopping) {
        return;
    }
    checks_.log_event(time_.now(), "stop " + state.host_entry.id.value);
    state.stopping = true;
    deliver(host, state.process_epoch, stop_requested{});
}

void fleet::deliver(std::size_t host, std::uint64_t process_epoch, node_event_body body)
{
    fleet_host& state = hosts_[host];
    if (!state.node || state.process_epoch != process_epoch) {
        return;
    }
    if (state.frozen) {
        state.held_events.push_back(std::move(body));
        return;
    }
    reduce_event(host, std::move(body));
}

void fleet::reduce_event(std::size_t host, node_event_body body)
{
    fleet_host& state = hosts_[host];
    instant const now{time_.now() + state.clock_skew, wall_time(time_.now().time_since_epoch())};
    ++checks_.outcome().steps;
    checks_.add_to_hash(static_cast<std::uint64_t>(time_.now().time_since_epoch().count()));
    checks_.add_to_hash(host * 64 + body.index());
    generation const before = state.node->config_generation;
    node_effects effects;
    try {
        effects = reduce(*state.node, {now, std::move(body)});
    }
    catch (invariant_violation const& failure) {
        checks_.add_violation("invariant", state.host_entry.id.value + ": " + failure.what());
        kill(host);
        return;
    }
    if (state.node->config_generation < before) {
        checks_.add_violation("generation_fell", state.host_entry.id.value);
    }
    apply_effects(host, effects);
}

void fleet::apply_effects(std::size_t host, node_effects const& effects)
{
    std::uint64_t const process_epoch = hosts_[host].process_epoch;
    bool stopped = false;
    for (node_effect const& effect : effects) {
        checks_.add_to_hash(effect.index());
        if (auto const* send = std::get_if<send_peer>(&effect)) {
            checks_.add_to_hash(stable_hash(send->to.value, send->body.index()));
            hooks_.send(host, *send);
        }
        else if (auto const* call = std::get_if<call_target>(&effect)) {
            checks_.add_to_hash(stable_hash(call->target.value, call->key));
            hooks_.call(host, *call);
        }
        else if (auto const* cancel = std::get_if<cancel_call>(&effect)) {
            hooks_.cancel(host, cancel->key);
        }
        else if (auto const* response = std::get_if<reply>(&effect)) {
            checks_.add_to_hash(response->key * 4 +
                                static_cast<std::uint64_t>(response->answer.result));
            hooks_.answered(*response);
        }
        else if (auto const* wake = std::get_if<wake_at>(&effect)) {
            time_.at(wake->at - hosts_[host].clock_skew,
                     [this, host, process_epoch] { deliver(host, process_epoch, wake_due{}); });
        }
        else if (auto const* lookup = std::get_if<publish_lookup>(&effect)) {
            hosts_[host].published_lookup = lookup->snapshot;
        }
        else if (auto const* line = std::get_if<log_line>(&effect)) {
            hooks_.logged(host, *line);
        }
        else if (std::holds_alternative<stop_complete>(effect)) {
            stopped = true;
        }
    }
    if (stopped) {
        checks_.log_event(time_.now(), "stopped " + hosts_[host].host_entry.id.value);
        end_process(host, true);
    }
}

} // namespace cove
