#include "host/workspace_quotas.h"

#include "core/hash_func.h"

#include <algorithm>
#include <ctime>

namespace cove {

namespace {

/// A machine that was suspended for longer may have missed any message.
constexpr milliseconds suspension_max{1000};
/// Clients that wait longer than this part of their time would have none left for the request.
constexpr int time_left_divisor = 3;
constexpr std::uint64_t jitter_steps = 1000;

microseconds read_clock(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<microseconds>(seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

/** @return for how long this machine has been suspended since it was started. */
microseconds time_suspended()
{
    return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

quota_settings make_quota_settings(host_settings const& settings)
{
    return {settings.quota_window, settings.quota_overage, settings.quota_slack};
}

quota_claims_self make_self(host_settings const& settings)
{
    quota_claims_self self{node_id(settings.name), zone_id(settings.zone), {}};
    for (auto const& [zone, region] : settings.regions) {
        self.zones.insert(zone);
    }
    return self;
}

/** @return @p text as the value of a label. */
std::string escape_label(std::string const& text)
{
    std::string out;
    for (char const each : text) {
        if (each == '"' || each == '\\') {
            out += '\\';
        }
        out += each == '\n' ? ' ' : each;
    }
    return out;
}

} // namespace

workspace_quotas::workspace_quotas(host_settings const& settings, log_limiter& log,
                                   std::uint64_t seed, mono_time now)
    : log_(log), random_(seed), window_(settings.quota_window),
      claims_(make_self(settings), make_quota_settings(settings), now),
      limiter_(make_quota_settings(settings), stable_hash(settings.name)),
      suspended_(time_suspended())
{
}

void workspace_quotas::set_config(routing_config const& config, mono_time now)
{
    limits_.clear();
    for (workspace_config const& workspace : config.workspaces) {
        if (workspace.limit.rate > 0) {
            limits_[workspace.name] = workspace.limit;
        }
    }
    claims_.set_limits(limits_);
    limiter_.set_limits(limits_, now);
    for (auto const& [name, limit] : limits_) {
        limiter_.set_claim(name, claims_.claim(name), claims_.within_limit(name), now);
    }
    std::erase_if(last_refusals_,
                  [this](auto const& item) { return !limits_.contains(item.first); });
}

quota_ticket workspace_quotas::take(workspace_id const& workspace, milliseconds time_left,
                                    mono_time now)
{
    if (workspace.value.empty()) {
        return {};
    }
    quota_unit const unit = limiter_.take(workspace, now);
    if (unit.admitted) {
        return {true, {}, unit.returnable ? workspace : workspace_id(), now};
    }
    note_refusal(workspace, now);
    // Spread over half of the wait, or over the last part of the time that a client can wait.
    auto const jitter = static_cast<double>(random_below(random_, jitter_steps)) / jitter_steps;
    auto const longest = std::max(milliseconds{1}, time_left / time_left_divisor);
    auto const until_unit = unit.wait * (1 + jitter / 2);
    auto const latest = longest * (1 - jitter / 4);
    auto const retry = std::chrono::ceil<milliseconds>(std::min(until_unit, latest));
    return {false, std::clamp(retry, milliseconds{1}, longest), {}, now};
}

void workspace_quotas::give_back(quota_ticket const& ticket, mono_time now)
{
    if (!ticket.workspace.value.empty()) {
        limiter_.give_back(ticket.workspace, ticket.taken, now);
    }
}

void workspace_quotas::note_refusal(workspace_id const& workspace, mono_time now)
{
    if (last_refusals_.insert_or_assign(workspace, now).second) {
        log_.event("quota_limiting_began",
                   {{"workspace", workspace.value},
                    {"claim", std::to_string(limiter_.claim(workspace, now))},
                    {"demand", std::to_string(limiter_.demand(workspace, now))}},
                   now);
    }
}

void workspace_quotas::note_ended_limiting(mono_time now)
{
    std::erase_if(last_refusals_, [&](auto const& item) {
        bool const ended = now - item.second > window_;
        if (ended) {
            log_.event("quota_limiting_ended", {{"workspace", item.first.value}}, now);
        }
        return ended;
    });
}

void workspace_quotas::hear(gossip const& message, mono_time now)
{
    for (host_report const& report : message.reports) {
        claims_.hear(report, now);
    }
}

void workspace_quotas::tick(host_view const& view, bool leaving, mono_time now)
{
    microseconds const suspended = time_suspended();
    if (suspended - suspended_ > suspension_max) {
        claims_.restart(now);
    }
    suspended_ = suspended;
    for (zone_status const& status : view.zones(now)) {
        claims_.hear(status, now);
    }
    for (node_id const& peer : view.starting_zone_peers(now)) {
        claims_.expect(peer, now);
    }
    claims_.tick({[&](workspace_id const& workspace) { return limiter_.demand(workspace, now); },
                  view.zone_round() - host_view::tick_interval, leaving},
                 now);
    limiter_.set_hosts(claims_.known_hosts());
    for (auto const& [name, limit] : limits_) {
        limiter_.set_claim(name, claims_.claim(name), claims_.within_limit(name), now);
    }
    note_ended_limiting(now);
}

void workspace_quotas::add_to(local_host_state& own) const
{
    own.quota_demands = claims_.report_entries();
    own.zone_quota_demands = claims_.status_entries();
}

std::string workspace_quotas::prometheus() const
{
    auto const counts = limiter_.counts();
    if (counts.empty()) {
        return {};
    }
    std::string admitted = "# TYPE cove_quota_admitted counter\n";
    std::string refused = "# TYPE cove_over_quota counter\n";
    std::string claims = "# TYPE cove_quota_claim gauge\n";
    for (quota_count const& each : counts) {
        std::string const label = "{workspace=\"" + escape_label(each.workspace.value) + "\"} ";
        admitted += "cove_quota_admitted" + label + std::to_string(each.admitted) + "\n";
        refused += "cove_over_quota" + label + std::to_string(each.over_quota) + "\n";
        claims += "cove_quota_claim" + label + std::to_string(each.claim) + "\n";
    }
    return admitted + refused + claims;
}

} // namespace cove
