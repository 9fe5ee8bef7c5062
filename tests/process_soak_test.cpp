#include "process_soak/force_times.h"
#include "process_soak/rule_audit.h"
#include "process_soak/step_schedule.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <set>

namespace cove {
namespace {

mono_time at(int ms)
{
    return mono_time{} + std::chrono::hours(1) + milliseconds(ms);
}

config_change version(int number, int written_ms, route_rule const& rule)
{
    return {number, at(written_ms), at(written_ms), {{"/a/", rule}}};
}

client_request request(int sent_ms, int status = 200, bool once = false)
{
    client_request out;
    out.attempt = "a1";
    out.host = "h1";
    out.route = "/a/";
    out.once = once;
    out.sent = at(sent_ms);
    out.ended = at(sent_ms + 20);
    out.status = status;
    out.signed_by_target = true;
    return out;
}

target_run run(int ms, std::string const& service = "old", std::string const& region = "r1")
{
    return {"a1", "t1", service, "z1", region, at(ms)};
}

/** @return the rules that are broken, in the order of the requests. */
std::vector<std::string> broken_rules(run_record const& record)
{
    std::vector<std::string> out;
    for (rule_violation const& each : audit_run(record, rule_bounds{})) {
        out.push_back(each.rule);
    }
    return out;
}

using rules = std::vector<std::string>;

run_record record_with_change(route_rule const& after, int sent_ms)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""}), version(2, 10'000, after)};
    record.requests = {request(sent_ms)};
    record.runs = {run(sent_ms + 5)};
    return record;
}

TEST(process_soak_audit, old_service_is_allowed_until_the_change_must_be_in_force)
{
    EXPECT_EQ(broken_rules(record_with_change({"new", ""}, 11'999)), rules{});
    EXPECT_EQ(broken_rules(record_with_change({"new", ""}, 12'001)), rules{"CONFIG"});
}

TEST(process_soak_audit, old_home_breaks_home)
{
    EXPECT_EQ(broken_rules(record_with_change({"old", "r2"}, 11'999)), rules{});
    EXPECT_EQ(broken_rules(record_with_change({"old", "r2"}, 12'001)), rules{"HOME"});
}

TEST(process_soak_audit, host_out_of_touch_may_be_late)
{
    run_record record = record_with_change({"new", ""}, 12'500);
    record.disturbances = {{"h1", "link", at(9'000), at(9'600), false}};
    EXPECT_EQ(broken_rules(record), rules{});
    record.disturbances = {{"h1", "link", at(9'000), at(9'400), false}};
    EXPECT_EQ(broken_rules(record), rules{"CONFIG"});
    record.disturbances = {{"h2", "link", at(9'000), std::nullopt, false}};
    EXPECT_EQ(broken_rules(record), rules{"CONFIG"});
    record.disturbances = {{everywhere, "stall", at(9'000), std::nullopt, false}};
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, service_that_no_version_allows_breaks_route_also_out_of_touch)
{
    run_record record = record_with_change({"new", ""}, 12'500);
    record.runs = {run(12'505, "other")};
    record.disturbances = {{"h1", "link", at(9'000), std::nullopt, false}};
    EXPECT_EQ(broken_rules(record), rules{"ROUTE"});
}

TEST(process_soak_audit, run_on_a_dropped_route_breaks_config)
{
    run_record record = record_with_change({"old", ""}, 11'999);
    record.configs.back().routes.clear();
    EXPECT_EQ(broken_rules(record), rules{});
    record.requests = {request(12'001)};
    record.runs = {run(12'006)};
    EXPECT_EQ(broken_rules(record), rules{"CONFIG"});
}

TEST(process_soak_audit, added_route_that_is_not_found_breaks_config)
{
    run_record record;
    config_change before = version(1, 0, {"old", ""});
    before.routes.clear();
    record.configs = {before, version(2, 10'000, {"old", ""})};
    record.requests = {request(12'001, 404)};
    record.requests.front().signed_by_target = false;
    EXPECT_EQ(broken_rules(record), rules{"CONFIG"});
    record.requests.front().sent = at(11'999);
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, status_that_promises_no_run_breaks_refused_after_a_run)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""})};
    record.runs = {run(1'005)};
    for (int const status : {408, 421, 429, 503}) {
        record.requests = {request(1'000, status, true)};
        EXPECT_EQ(broken_rules(record), rules{"REFUSED"}) << status;
        record.requests = {request(1'000, status, false)};
        EXPECT_EQ(broken_rules(record), rules{}) << status;
    }
    record.requests = {request(1'000, 504, true)};
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, second_run_breaks_twice_for_requests_that_may_run_once)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""})};
    record.runs = {run(1'005), run(1'010)};
    record.requests = {request(1'000, 200, true)};
    EXPECT_EQ(broken_rules(record), rules{"TWICE"});
    record.requests = {request(1'000, 200, false)};
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, run_after_the_drain_time_breaks_drain)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""})};
    record.departures = {{"t1", at(10'000)}};
    record.requests = {request(12'200)};
    record.runs = {run(12'205)};
    EXPECT_EQ(broken_rules(record), rules{"DRAIN"});
    record.runs = {run(12'050)};
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, run_in_an_evacuated_zone_breaks_evac)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""})};
    record.evacuations = {{"z1", at(10'000), at(20'000)}};
    record.requests = {request(15'200)};
    record.runs = {run(15'205)};
    EXPECT_EQ(broken_rules(record), rules{"EVAC"});
    record.runs = {run(15'050)};
    EXPECT_EQ(broken_rules(record), rules{});
    record.runs = {run(20'050)};
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_audit, connection_that_a_planned_stop_closes_breaks_lost)
{
    run_record record;
    record.configs = {version(1, 0, {"old", ""})};
    record.requests = {request(10'000, 0)};
    record.runs = {run(10'005)};
    EXPECT_EQ(broken_rules(record), rules{}); // a few may be lost otherwise
    record.disturbances = {{"h1", "stopped", at(9'900), std::nullopt, true}};
    EXPECT_EQ(broken_rules(record), rules{"LOST"});
    record.requests.front().timed_out = true;
    EXPECT_EQ(broken_rules(record), rules{});
    record.requests.front().timed_out = false;
    record.disturbances.push_back({"t1", "link", at(9'000), at(9'100), false});
    EXPECT_EQ(broken_rules(record), rules{});
}

TEST(process_soak_schedule, seed_gives_the_same_steps_in_order)
{
    soak_shape const shape;
    auto const steps = make_step_schedule(7, seconds(120), shape);
    auto const again = make_step_schedule(7, seconds(120), shape);
    ASSERT_EQ(steps.size(), again.size());
    ASSERT_GT(steps.size(), 20U);
    for (std::size_t i = 0; i < steps.size(); ++i) {
        EXPECT_EQ(steps[i].at, again[i].at);
        EXPECT_EQ(steps[i].kind, again[i].kind);
        EXPECT_EQ(steps[i].hosts, again[i].hosts);
        EXPECT_TRUE(i == 0 || steps[i - 1].at <= steps[i].at);
    }
}

TEST(process_soak_schedule, every_fault_that_lasts_is_ended)
{
    soak_shape const shape;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        std::multiset<std::size_t> frozen;
        std::multiset<std::size_t> stopped;
        for (soak_step const& step : make_step_schedule(seed, seconds(300), shape)) {
            for (std::size_t const host : step.hosts) {
                ASSERT_LT(host, shape.zones * shape.hosts_per_zone);
                if (step.kind == step_kind::freeze_hosts) {
                    frozen.insert(host);
                }
                else if (step.kind == step_kind::resume_hosts) {
                    frozen.erase(frozen.find(host));
                }
                else if (step.kind == step_kind::kill_hosts ||
                         step.kind == step_kind::terminate_hosts) {
                    stopped.insert(host);
                }
                else if (step.kind == step_kind::start_hosts) {
                    stopped.erase(stopped.find(host));
                }
            }
        }
        EXPECT_TRUE(frozen.empty()) << seed;
        EXPECT_TRUE(stopped.empty()) << seed;
    }
}

std::vector<schedule_kind> const blind_kinds{schedule_kind::blind_followers,
                                             schedule_kind::blind_share, schedule_kind::blind_zone};

TEST(process_soak_schedule, changes_in_series_come_while_hosts_are_blind)
{
    soak_shape const shape{.zones = 3, .hosts_per_zone = 5};
    for (schedule_kind const kind : blind_kinds) {
        for (std::uint64_t seed = 0; seed < 20; ++seed) {
            std::size_t changes = 0;
            std::size_t episodes = 0;
            bool blind = false;
            for (soak_step const& step : make_blind_schedule(seed, seconds(60), shape, kind)) {
                if (step.kind == step_kind::break_store_links) {
                    EXPECT_FALSE(blind);
                    blind = true;
                    changes = 0;
                    ++episodes;
                }
                else if (step.kind == step_kind::mend_store_links) {
                    EXPECT_GE(changes, 3U) << seed;
                    blind = false;
                }
                bool const is_change =
                    step.kind == step_kind::change_service || step.kind == step_kind::change_home ||
                    step.kind == step_kind::add_route || step.kind == step_kind::drop_route;
                changes += is_change ? 1 : 0;
                for (std::size_t const host : step.hosts) {
                    ASSERT_LT(host, shape.zones * shape.hosts_per_zone);
                }
            }
            EXPECT_FALSE(blind) << seed;
            EXPECT_GE(episodes, 3U) << seed;
        }
    }
}

TEST(process_soak_schedule, blind_hosts_are_the_first_two_of_a_zone_a_share_or_a_zone)
{
    soak_shape const shape{.zones = 3, .hosts_per_zone = 5};
    for (schedule_kind const kind : blind_kinds) {
        for (soak_step const& step : make_blind_schedule(3, seconds(120), shape, kind)) {
            if (step.kind != step_kind::break_store_links || kind == schedule_kind::blind_share) {
                continue;
            }
            ASSERT_EQ(step.hosts.size(), kind == schedule_kind::blind_zone ? 5U : 2U);
            EXPECT_EQ(step.hosts.front() % shape.hosts_per_zone, 0U);
            EXPECT_EQ(step.hosts.back(), step.hosts.front() + step.hosts.size() - 1);
        }
    }
    EXPECT_EQ(schedule_kind_of("blind-zone"), schedule_kind::blind_zone);
    EXPECT_EQ(schedule_kind_of("blind"), std::nullopt);
}

TEST(process_soak_force_times, last_host_in_touch_counts)
{
    run_record record;
    record.configs = {version(1, 10'000, {"old", ""}), version(2, 12'000, {"new", ""})};
    std::vector<config_activation> const seen{
        {"h1", 1, at(10'100)}, {"h1", 2, at(12'100)}, {"h2", 2, at(13'000)}, {"h3", 1, at(10'200)}};
    auto times = last_activations(record, rule_bounds{}, seen, at(20'000));
    ASSERT_EQ(times.size(), 2U);
    EXPECT_EQ(times[0].host, "h2"); // by the newer version
    EXPECT_EQ(times[0].late, milliseconds(3'000));
    EXPECT_EQ(times[1].host, "h3"); // never
    EXPECT_EQ(times[1].late, milliseconds(8'000));
    record.disturbances = {{"h3", "stopped", at(15'000), std::nullopt, false}};
    times = last_activations(record, rule_bounds{}, seen, at(20'000));
    EXPECT_EQ(times[1].host, "h2");
    EXPECT_EQ(times[1].late, milliseconds(1'000));
}

TEST(process_soak_force_times, lines_of_a_log_are_read)
{
    std::string const path = testing::TempDir() + "process_soak_force_times.log";
    std::ofstream(path)
        << "time=2026-12-08T02:43:26.210 program=cove-host name=h1 event=store_lost kind=config\n"
        << "time=2026-12-08T02:43:27.695 program=cove-host name=h1 event=config_in_force "
           "version=3 routes=5\n"
        << "time=2026-12-08T02:43:28.700 program=cove-host name=h1 event=config_in_force "
           "version=4 routes=5\n";
    auto const seen = read_activations(path, "h1", mono_time{});
    static_cast<void>(std::remove(path.c_str()));
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(seen[0].version, 3);
    EXPECT_EQ(seen[1].version, 4);
    EXPECT_EQ(seen[1].at - seen[0].at, milliseconds(1'005));
}

} // namespace
} // namespace cove
