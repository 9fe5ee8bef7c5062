#include "host/host_freshness.h"

#include <algorithm>

namespace cove {

host_freshness::host_freshness(node_id name, std::string ip, milliseconds withdrawal_max,
                               std::uint64_t first_nonce, log_limiter& log, host_hooks hooks)
    : name_(std::move(name)), ip_(std::move(ip)), log_(log), hooks_(std::move(hooks)),
      state_(withdrawal_max, first_nonce)
{
}

void host_freshness::on(freshness_query const& message)
{
    if (auto const answer = state_.on_query(message.sender_ip, message.nonce, read_boot_clock())) {
        transmit(*answer);
    }
}

void host_freshness::on(freshness_answer const& message)
{
    state_.on_answer(message.nonce, message.offset, message.version, read_boot_clock());
}

void host_freshness::transmit(outgoing_freshness_answer const& answer) const
{
    hooks_.send(answer.ip, freshness_answer{answer.nonce, answer.offset, answer.version});
}

void host_freshness::tick(host_view& view, bool follows_store, bool keys_in_use, mono_time now)
{
    if (!state_.bounded()) {
        return;
    }
    freshness_sources sources = choose_sources(view, now);
    sources.follows_store = follows_store;
    freshness_effects const effects = state_.tick(sources, read_boot_clock());
    for (outgoing_freshness_query const& query : effects.queries) {
        hooks_.send(query.ip, freshness_query{ip_, query.nonce});
    }
    for (outgoing_freshness_answer const& answer : effects.answers) {
        transmit(answer);
    }
    if (effects.ask_store) {
        hooks_.ask_store();
    }
    log_change(keys_in_use, now);
}

/**
 * Chooses the first host of the zone that follows the store, and one other host of the zone and one
 * of other zones, in turn.
 */
freshness_sources host_freshness::choose_sources(host_view& view, mono_time now)
{
    auto zone_hosts = view.zone_hosts(now);
    zone_id const zone = zone_hosts.front()->zone; // this host is the first one
    auto const rank = [](host_report const* host) {
        return std::pair<bool, node_id const&>(host->store_lost, host->name);
    };
    std::sort(zone_hosts.begin(), zone_hosts.end(),
              [&rank](auto const* a, auto const* b) { return rank(a) < rank(b); });
    freshness_sources out;
    if (zone_hosts.front()->name != name_) {
        out.first_follower = zone_hosts.front()->ip;
        zone_hosts.erase(zone_hosts.begin());
    }
    std::erase_if(zone_hosts, [this](auto const* host) { return host->name == name_; });
    std::vector<roster_host const*> others;
    for (roster_host const& host : view.serving(now)) {
        if (host.zone != zone) {
            others.push_back(&host);
        }
    }
    ++rounds_;
    if (!zone_hosts.empty()) {
        out.second_peer = zone_hosts[rounds_ % zone_hosts.size()]->ip;
    }
    if (!others.empty()) {
        out.other_zone = others[rounds_ % others.size()]->ip;
    }
    return out;
}

/** Logs when the configuration has become too old for decisions on keys, or is new again. */
void host_freshness::log_change(bool keys_in_use, mono_time now)
{
    bool const stale = keys_in_use && !fresh();
    if (stale != logged_stale_) {
        logged_stale_ = stale;
        log_.event(stale ? "config_stale" : "config_fresh_again", {{"proof_age_ms", age_text()}},
                   now);
    }
}

std::string host_freshness::age_text() const
{
    auto const age = state_.proof_age(read_boot_clock());
    return age ? std::to_string(std::chrono::duration_cast<milliseconds>(*age).count()) : "";
}

std::string host_freshness::prometheus() const
{
    std::string const age = age_text();
    return age.empty()
               ? ""
               : "# TYPE cove_config_proof_age_ms gauge\ncove_config_proof_age_ms " + age + "\n";
}

} // namespace cove
