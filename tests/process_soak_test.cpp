#include "process_soak/rule_audit.h"
#include "process_soak/step_schedule.h"

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

} // namespace
} // namespace cove
