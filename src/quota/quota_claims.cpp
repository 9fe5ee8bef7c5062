#include "quota/quota_claims.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr milliseconds peer_silence_max{1500};
/// Three statuses of a zone, which are sent every second.
constexpr milliseconds zone_silence_max{3000};
/// A longer pause of this process may have cost it any message.
constexpr milliseconds tick_gap_max{1000};
constexpr milliseconds report_tick{250};
/// A new process has received all entries of its zone and of the others by then.
constexpr milliseconds learning_time{3500};
constexpr milliseconds refresh_interval{2000};
/// Entries that are not refreshed for this long, ten times the interval, have ended.
constexpr milliseconds entry_lifetime{20'000};
/// An increase is known to all hosts by then; the next one counts those of the others. A host with
/// most of the demand has few others to wait for and waits for a smaller part of it.
constexpr milliseconds increase_interval{1500};
/// Reservations that collide are resolved by their hosts within this time.
constexpr milliseconds excess_max{2500};
constexpr double headroom = 1.25;      ///< of the desired rate over the demand
constexpr double demand_change = 0.15; ///< relative; smaller ones are not announced
constexpr double claim_fall = 0.05;    ///< relative; smaller ones would free little
constexpr double claim_rise = 0.02;    ///< relative; smaller ones are not worth a delay
constexpr double least_demand = 0.01;  ///< requests per second; less is none
constexpr double rounding = 1e-6;      ///< relative; rates are sent as single-precision numbers
/// Workspaces up to this number are kept divided among all hosts also while they are idle. More of
/// them would cost too many bytes.
constexpr std::size_t max_idle_shares = 4;

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
        own_share& own = own_[name];
        own.key = key;
        if (limit.rate < own.limit) {
            lower(own, own.in_force * limit.rate / own.limit);
        }
        own.limit = limit.rate;
    }
}

void quota_claims::restart(mono_time now)
{
    started_ = now;
    for (auto& [name, own] : own_) {
        if (own.reserved > 0) {
            lower(own, 0);
            own.changed = now;
        }
    }
}

void quota_claims::lower(own_share& own, double rate)
{
    own.reserved = std::min(own.reserved, rate);
    own.in_force = std::min(own.in_force, rate);
    auto const first = std::find_if(own.pending.begin(), own.pending.end(),
                                    [rate](auto const& each) { return each.rate > rate; });
    if (first != own.pending.end()) {
        first->rate = rate;
        own.pending.erase(first + 1, own.pending.end());
    }
}

void quota_claims::read_entries(participant& from, std::vector<quota_demand> const& entries,
                                mono_time now)
{
    for (quota_demand const& entry : entries) {
        if (entry.workspace == 0 || !(entry.rate >= 0) || !std::isfinite(entry.rate)) {
            continue;
        }
        share& known = from.shares[entry.workspace];
        (entry.hosts == 0 ? known.reserved : known.desired) = entry.rate;
        known.refreshed = now;
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
    peer.misses_reports =
        std::any_of(report.quota_demands.begin(), report.quota_demands.end(),
                    [](auto const& entry) { return entry.workspace == 0 && entry.rate > 0; });
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
    zone.misses_reports = about->rate > 0;
    if (about->hosts == 0) {
        zone.misses_reports = true; // its speaker does not know the entries of its zone yet
        return;
    }
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

quota_claims::share quota_claims::others(std::uint32_t key) const
{
    share sum;
    for_each_other([&](participant const& other) {
        if (auto const found = other.shares.find(key); found != other.shares.end()) {
            sum.desired += found->second.desired;
            sum.reserved += found->second.reserved;
        }
    });
    return sum;
}

int quota_claims::known_hosts() const
{
    int known = 1;
    for_each_other([&known](participant const& other) { known += other.hosts; });
    int const own_zone = 1 + static_cast<int>(peers_.size());
    return std::max(known,
                    own_zone * static_cast<int>(std::max<std::size_t>(1, zones_.size() + 1)));
}

int quota_claims::hosts_heard_within(milliseconds age, mono_time now) const
{
    int heard = 1;
    for_each_other(
        [&](participant const& other) { heard += now - other.heard <= age ? other.hosts : 0; });
    return heard;
}

/** Forgets hosts and zones that have stopped, or that are silent while most hosts are heard. */
void quota_claims::expire(mono_time now)
{
    int known = 1;
    for_each_other([&known](participant const& other) { known += other.hosts; });
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
        // Only while it is heard: a silent host may still use what it has reserved.
        mono_time const oldest = peer.heard - entry_lifetime;
        std::erase_if(peer.shares,
                      [oldest](auto const& item) { return item.second.refreshed < oldest; });
    }
}

bool quota_claims::misses_reports(mono_time now) const
{
    bool misses = false;
    for_each_other([&](participant const& other) {
        misses = misses || now - other.heard > other.silence_max;
    });
    return misses;
}

bool quota_claims::others_miss_reports() const
{
    bool misses = false;
    for_each_other([&](participant const& other) { misses = misses || other.misses_reports; });
    return misses;
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
    int known = 1;
    for_each_other([&known](participant const& other) { known += other.hosts; });
    bool const isolated = 2 * hosts_heard_within(isolation_max, now) < known;
    if (isolated || gap > isolation_max) {
        restart(now);
    }
    bool const misses = misses_reports(now);
    bool const may_increase = !misses && !others_miss_reports() && gap <= tick_gap_max;
    for (auto& [name, own] : own_) {
        update_desired(own, input.leaving ? 0 : input.demand(name), input, now);
        if (own.desired == 0 && own.reserved == 0) {
            continue;
        }
        share const rest = others(own.key);
        put_in_force(own, rest, may_increase, now);
        update_reserved(own, rest, may_increase && now >= started_ + learning_time, now);
        resolve_excess(own, rest, now);
    }
    write_report(input, misses, now);
    write_status(misses, now);
}

void quota_claims::update_desired(own_share& own, double demand, quota_claims_tick const& input,
                                  mono_time now) const
{
    double const least = 1 / std::chrono::duration<double>(settings_.window).count();
    bool const keeps_share = own_.size() <= max_idle_shares && !input.leaving;
    double desired = 0;
    if (demand > least_demand || keeps_share) {
        desired = std::max(demand * headroom, least);
    }
    if (differs(desired, own.desired, demand_change)) {
        own.desired = desired;
        own.changed = now;
    }
}

void quota_claims::update_reserved(own_share& own, share const& rest, bool may_increase,
                                   mono_time now) const
{
    double const desired = own.desired + rest.desired;
    double const part = desired > 0 ? own.desired / desired : 0;
    double const target = own.limit * part;
    if (target < own.reserved * (1 - claim_fall)) {
        lower(own, target);
        own.changed = now;
        return;
    }
    double const room = own.limit - own.reserved - rest.reserved;
    double const increase = std::min(target - own.reserved, room * part);
    if (may_increase && now >= own.next_increase && increase > target * claim_rise) {
        own.reserved += increase;
        own.pending.push_back({own.reserved, now + increase_delay});
        own.next_increase =
            now + std::chrono::duration_cast<milliseconds>(increase_interval * (1 - part));
        own.changed = now;
    }
}

void quota_claims::put_in_force(own_share& own, share const& rest, bool may_increase, mono_time now)
{
    if (!may_increase) {
        for (pending_claim& each : own.pending) {
            each.effective = now + increase_delay;
        }
        return;
    }
    while (!own.pending.empty() && own.pending.front().effective <= now) {
        double const free = own.limit * (1 + rounding) - rest.reserved;
        if (own.pending.front().rate > free) {
            lower(own, std::max(own.in_force, free)); // others have reserved the same
            own.changed = now;
        }
        own.in_force = std::max(own.in_force, own.pending.front().rate);
        own.pending.erase(own.pending.begin());
    }
}

/** Shrinks claims that exceed the limit together, as after hosts could not hear each other. */
void quota_claims::resolve_excess(own_share& own, share const& rest, mono_time now)
{
    double const sum = own.in_force + rest.reserved;
    if (sum <= own.limit * (1 + rounding) || own.in_force == 0) {
        own.excess_since = now;
    }
    else if (now - own.excess_since > excess_max) {
        lower(own, own.in_force * own.limit / sum);
        own.changed = now;
        own.excess_since = now;
    }
}

void quota_claims::write_report(quota_claims_tick const& input, bool misses, mono_time now)
{
    report_.clear();
    if (misses && !own_.empty()) {
        report_.push_back({0, 1, 1, 0});
    }
    for (auto const& [name, own] : own_) {
        auto const age = now - own.changed;
        bool const used = own.desired > 0 || own.reserved > 0 || age < entry_lifetime;
        // All receivers of a round get the entry; an increase goes into every report until then.
        bool const due = age % refresh_interval < input.report_interval || !own.pending.empty();
        if (used && due && own.changed != mono_time{}) {
            report_.push_back({own.key, own.reserved, 0, 0});
            report_.push_back({own.key, own.desired, 1, 0});
        }
    }
}

void quota_claims::write_status(bool misses, mono_time now)
{
    status_.clear();
    std::unordered_map<std::uint32_t, share> sums;
    bool peers_miss = false;
    for (auto const& [name, peer] : peers_) {
        peers_miss = peers_miss || peer.misses_reports;
        for (auto const& [key, entry] : peer.shares) {
            sums[key].reserved += entry.reserved;
            sums[key].desired += entry.desired;
        }
    }
    for (auto const& [name, own] : own_) {
        if (own.desired > 0 || own.reserved > 0) {
            sums[own.key].reserved += own.reserved;
            sums[own.key].desired += own.desired;
        }
    }
    if (sums.empty() && own_.empty()) {
        return;
    }
    bool const complete = now >= started_ + learning_time;
    status_.push_back({0, misses || peers_miss ? 1.0 : 0.0, complete ? 1 : 0,
                       1 + static_cast<int>(peers_.size())});
    for (auto const& [key, sum] : sums) {
        if (sum.reserved > 0) {
            status_.push_back({key, sum.reserved, 0, 0});
        }
        if (sum.desired > 0) {
            status_.push_back({key, sum.desired, 1, 0});
        }
    }
}

double quota_claims::claim(workspace_id const& workspace) const
{
    auto const found = own_.find(workspace);
    return found == own_.end() ? 0 : found->second.in_force;
}

} // namespace cove
