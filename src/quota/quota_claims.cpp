#include "quota/quota_claims.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr milliseconds peer_silence_max{1500};
/// Three statuses of a zone, which are sent every second.
constexpr milliseconds zone_silence_max{3000};
constexpr milliseconds report_tick{250};
/// A new process has received all entries of its zone and of the others by then.
constexpr milliseconds learning_time{1500};
constexpr milliseconds refresh_interval{2000};
/// Entries that are not refreshed for this long, ten times the interval, have ended.
constexpr milliseconds entry_lifetime{20'000};
constexpr double headroom = 1.25;      ///< ratio of the desired rate to the demand
constexpr double demand_change = 0.15; ///< relative; smaller ones are not announced
constexpr double least_demand = 0.01;  ///< requests per second; less is none
/// Part of a limit that is divided evenly, so that each host can admit first requests.
constexpr double even_share = 0.03;

std::uint32_t key_of(workspace_id const& workspace)
{
    auto const key = static_cast<std::uint32_t>(stable_hash(workspace.value));
    return key == 0 ? 1 : key; // 0 marks the entry about the sender
}

bool differs(double value, double from, double relative)
{
    return std::abs(value - from) > relative * from || (value == 0) != (from == 0);
}

} // namespace

quota_claims::quota_claims(quota_claims_self self, quota_settings settings, mono_time now)
    : self_(std::move(self)), settings_(settings), hears_most_since_(now), started_(now),
      last_tick_(now)
{
    for (zone_id const& zone : self_.zones) {
        if (zone != self_.zone) {
            zones_[zone].heard = now - zone_silence_max;
            zones_[zone].silence_max = zone_silence_max;
        }
    }
}

void quota_claims::set_limits(workspace_limits const& limits)
{
    std::erase_if(own_, [&](auto const& item) { return !limits.contains(item.first); });
    std::set<std::uint32_t> keys;
    for (auto const& [name, limit] : limits) {
        std::uint32_t const key = key_of(name);
        if (!keys.insert(key).second) {
            own_.erase(name); // the name of an earlier workspace has the same hash
            continue;
        }
        auto const [found, inserted] = own_.try_emplace(name);
        own_share& own = found->second;
        own.key = key;
        if (inserted) {
            put_in_force(own, 0, last_tick_);
        }
        else if (limit.rate < own.limit) {
            put_in_force(own, own.in_force * limit.rate / own.limit, last_tick_);
        }
        own.limit = limit.rate;
    }
}

void quota_claims::restart(mono_time now)
{
    started_ = now;
    for (auto& [name, own] : own_) {
        put_in_force(own, 0, now);
    }
}

/** Notes the part of the limit derived now; the claim is the least one of the last delay. */
void quota_claims::put_in_force(own_share& own, double part, mono_time now)
{
    while (!own.parts.empty() && own.parts.back().rate >= part) {
        own.parts.pop_back();
    }
    own.parts.push_back({now, part});
    while (own.parts.front().at + increase_delay < now) {
        own.parts.pop_front();
    }
    own.in_force = own.parts.front().rate;
}

void quota_claims::read_entries(participant& from, std::vector<quota_demand> const& entries,
                                mono_time now)
{
    for (quota_demand const& entry : entries) {
        if (entry.workspace == 0 || !(entry.rate >= 0) || !std::isfinite(entry.rate)) {
            continue;
        }
        share& known = from.shares[entry.workspace];
        known.refreshed = now;
        if (entry.hosts > 0 || entry.rate == 0) {
            known.desired = entry.rate;
            known.hosts = entry.hosts;
        }
        else {
            known.set_apart = entry.rate;
        }
    }
}

void quota_claims::expect(node_id const& host, mono_time now)
{
    auto const [found, inserted] = peers_.try_emplace(host);
    if (inserted) {
        found->second.heard = now - peer_silence_max;
    }
}

void quota_claims::hear(host_report const& report, mono_time now)
{
    if (report.zone != self_.zone || report.name == self_.name) {
        return;
    }
    auto const [found, inserted] = peers_.try_emplace(report.name);
    participant& peer = found->second;
    bool const restarted = report.incarnation > peer.incarnation;
    bool const newer =
        restarted || (report.incarnation == peer.incarnation && report.sequence > peer.sequence);
    if (!inserted && !newer) {
        return;
    }
    if (restarted) {
        peer.shares.clear();
    }
    peer.sender = report.name;
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
    peer.heard = now;
    peer.leaving = report.leaving;
    peer.has_reported = true;
    read_entries(peer, report.quota_demands, now);
}

void quota_claims::hear(zone_status const& status, mono_time now)
{
    auto const about = std::find_if(status.quota_demands.begin(), status.quota_demands.end(),
                                    [](quota_demand const& entry) { return entry.workspace == 0; });
    if (status.zone == self_.zone || about == status.quota_demands.end()) {
        return;
    }
    participant& zone = zones_[status.zone];
    bool const known = zone.sender == status.speaker && zone.incarnation == status.incarnation &&
                       zone.sequence >= status.sequence;
    if (known) {
        return;
    }
    zone.sender = status.speaker;
    zone.incarnation = status.incarnation;
    zone.sequence = status.sequence;
    zone.heard = now;
    zone.silence_max = zone_silence_max;
    if (about->hosts == 0) {
        return; // its speaker does not know the entries of its zone yet
    }
    zone.has_reported = true;
    zone.hosts = std::max(1, about->zone_hosts);
    zone.shares.clear();
    read_entries(zone, status.quota_demands, now);
}

template <class Visit>
void quota_claims::for_each_other(Visit const& visit) const
{
    for (auto const& [name, peer] : peers_) {
        visit(peer);
    }
    for (auto const& [name, zone] : zones_) {
        visit(zone);
    }
}

bool quota_claims::silent(participant const& other, mono_time now) const
{
    return other.has_reported && now - other.heard > other.silence_max;
}

/** @return the number of its hosts; a zone that has not been heard is taken to be like this one. */
int quota_claims::hosts_of(participant const& other) const
{
    bool const unknown_zone = !other.has_reported && other.silence_max == zone_silence_max;
    return unknown_zone ? 1 + static_cast<int>(peers_.size()) : other.hosts;
}

/** @return the even part of a host in the limit, in requests per second. */
double quota_claims::even_part(own_share const& own) const
{
    return even_share * own.limit / known_hosts();
}

double quota_claims::weight_of(participant const& other, own_share const& own) const
{
    auto const found = other.shares.find(own.key);
    share const wanted = found == other.shares.end() ? share{} : found->second;
    int const idle = std::max(0, hosts_of(other) - wanted.hosts);
    return wanted.desired + even_part(own) * idle;
}

quota_claims::division quota_claims::others(own_share const& own) const
{
    division out;
    for_each_other([&](participant const& other) {
        auto const wanted = other.shares.find(own.key);
        out.desired += wanted == other.shares.end() ? 0 : wanted->second.desired;
        if (!other.held) {
            out.weights += weight_of(other, own);
            auto const found = other.shares.find(own.key);
            out.held += found == other.shares.end() ? 0 : found->second.set_apart;
        }
        else if (auto const found = other.held->find(own.key); found != other.held->end()) {
            out.held += found->second;
        }
    });
    return out;
}

/** Sets apart what hosts and zones have claimed that have fallen silent; ends it when heard. */
void quota_claims::hold_claims_of_silent(mono_time now)
{
    std::vector<std::pair<participant*, part_table>> newly_silent;
    auto const check = [&](participant& other) {
        if (!silent(other, now)) {
            other.held.reset();
        }
        else if (!other.held) {
            part_table claims;
            for (auto const& [name, own] : own_) {
                division const rest = others(own);
                double const all = rest.weights + std::max(own.desired, even_part(own));
                double const room = std::max(0.0, 1 - rest.held);
                auto const found = other.shares.find(own.key);
                double const apart = found == other.shares.end() ? 0 : found->second.set_apart;
                claims[own.key] = apart + (all > 0 ? room * weight_of(other, own) / all : 0);
            }
            newly_silent.emplace_back(&other, std::move(claims));
        }
    };
    for (auto& [name, peer] : peers_) {
        check(peer);
    }
    for (auto& [name, zone] : zones_) {
        check(zone);
    }
    for (auto& [other, claims] : newly_silent) {
        other->held = std::move(claims);
    }
}

int quota_claims::known_hosts() const
{
    int known = 1;
    for_each_other([&](participant const& other) { known += hosts_of(other); });
    int const own_zone = 1 + static_cast<int>(peers_.size());
    return std::max(known,
                    own_zone * static_cast<int>(std::max<std::size_t>(1, zones_.size() + 1)));
}

int quota_claims::hosts_heard_within(milliseconds age, mono_time now) const
{
    int heard = 1;
    for_each_other(
        [&](participant const& other) { heard += now - other.heard <= age ? hosts_of(other) : 0; });
    return heard;
}

/** Forgets hosts and zones that have stopped, or that are silent while most hosts are heard. */
void quota_claims::expire(mono_time now)
{
    int known = 1;
    for_each_other([&](participant const& other) { known += hosts_of(other); });
    if (2 * hosts_heard_within(zone_silence_max, now) <= known) {
        // It cannot tell which of the others have stopped while it does not hear them.
        hears_most_since_ = now;
    }
    auto const has_ended = [&](auto const& item) {
        participant const& other = item.second;
        auto const silence = now - other.heard;
        return (other.leaving && silence > other.silence_max) ||
               std::min(silence, now - hears_most_since_) > retention;
    };
    std::erase_if(peers_, has_ended);
    std::erase_if(zones_, has_ended);
    for (auto& [name, peer] : peers_) {
        // Only while it is heard: a silent host may still use its claim.
        mono_time const oldest = peer.heard - entry_lifetime;
        std::erase_if(peer.shares,
                      [oldest](auto const& item) { return item.second.refreshed < oldest; });
    }
}

void quota_claims::tick(quota_claims_tick const& input, mono_time now)
{
    auto const gap = now - last_tick_;
    last_tick_ = now;
    for (auto& [name, peer] : peers_) {
        peer.silence_max =
            peer_silence_max * std::max<std::int64_t>(1, input.report_interval / report_tick);
    }
    expire(now);
    hold_claims_of_silent(now);
    int known = 1;
    for_each_other([&](participant const& other) { known += hosts_of(other); });
    bool const isolated = 2 * hosts_heard_within(isolation_max, now) < known;
    if (isolated || gap > isolation_max) {
        restart(now);
    }
    bool const learned = now >= started_ + learning_time;
    for (auto& [name, own] : own_) {
        update_desired(own, input.leaving ? 0 : input.demand(name), input.leaving, now);
        double const weight = input.leaving ? 0 : std::max(own.desired, even_part(own));
        division const rest = others(own);
        double const room = own.limit * std::max(0.0, 1 - rest.held);
        double const all = weight + rest.weights;
        double const part = learned && all > 0 ? room * weight / all : 0;
        put_in_force(own, part, now);
        own.within_limit =
            learned && !input.leaving && own.desired + rest.desired <= headroom * own.limit;
    }
    write_report(input, now);
    write_status(now);
}

void quota_claims::update_desired(own_share& own, double demand, bool leaving, mono_time now)
{
    double const desired = demand > least_demand && !leaving ? demand * headroom : 0;
    if (differs(desired, own.desired, demand_change)) {
        own.desired = desired;
        own.changed = now;
    }
}

void quota_claims::write_report(quota_claims_tick const& input, mono_time now)
{
    report_.clear();
    for (auto const& [name, own] : own_) {
        auto const age = now - own.changed;
        bool const used = own.desired > 0 || age < entry_lifetime;
        // All receivers of a round get the entry.
        bool const due = age % refresh_interval < input.report_interval;
        if (used && due && own.changed != mono_time{}) {
            report_.push_back({own.key, own.desired, own.desired > 0 ? 1 : 0, 0});
        }
    }
}

void quota_claims::write_status(mono_time now)
{
    status_.clear();
    std::unordered_map<std::uint32_t, share> sums;
    for (auto const& [name, peer] : peers_) {
        if (peer.held) {
            for (auto const& [key, rate] : *peer.held) {
                sums[key].set_apart += rate;
            }
            continue;
        }
        for (auto const& [key, entry] : peer.shares) {
            sums[key].desired += entry.desired;
            sums[key].hosts += entry.hosts;
        }
    }
    for (auto const& [name, own] : own_) {
        if (own.desired > 0) {
            sums[own.key].desired += own.desired;
            sums[own.key].hosts += 1;
        }
    }
    if (sums.empty() && own_.empty()) {
        return;
    }
    bool const complete = now >= started_ + learning_time;
    status_.push_back({0, 0, complete ? 1 : 0, 1 + static_cast<int>(peers_.size())});
    for (auto const& [key, sum] : sums) {
        if (sum.desired > 0) {
            status_.push_back({key, sum.desired, sum.hosts, 0});
        }
        if (sum.set_apart > 0) {
            status_.push_back({key, sum.set_apart, 0, 0});
        }
    }
}

bool quota_claims::within_limit(workspace_id const& workspace) const
{
    auto const found = own_.find(workspace);
    return found != own_.end() && found->second.within_limit;
}

double quota_claims::claim(workspace_id const& workspace) const
{
    auto const found = own_.find(workspace);
    return found == own_.end() ? 0 : found->second.in_force;
}

} // namespace cove
