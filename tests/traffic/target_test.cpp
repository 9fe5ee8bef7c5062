/** @file Which targets get work: slots, cold ones, leaving ones, evacuated zones, other zones. */

#include "traffic/target_list.h"
#include "traffic/traffic_bench.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(targets, get_no_more_than_their_slots)
{
    traffic_bench bench;
    bench.list(2, 3);
    std::map<target_id, int> running;
    for (int i = 0; i < 20; ++i) {
        bench.arrive("object" + std::to_string(i));
        for (auto const& sent : traffic_bench::only<send_attempt>(bench.effects)) {
            ++running[sent.target];
        }
    }
    EXPECT_EQ(running[target_id("t0")], 3);
    EXPECT_EQ(running[target_id("t1")], 3);
}

TEST(targets, keep_an_object_while_they_have_room)
{
    traffic_bench bench;
    bench.list(5);
    bench.arrive("object");
    auto const first = bench.one<send_attempt>()->target;
    for (int i = 0; i < 10; ++i) {
        bench.end(request_id(bench.next - 1), first, attempt_end::succeeded);
        bench.now += milliseconds{50};
        bench.arrive("object");
        ASSERT_TRUE(bench.one<send_attempt>());
        EXPECT_EQ(bench.one<send_attempt>()->target, first);
    }
}

TEST(targets, that_join_get_some_work_though_all_objects_are_warm_elsewhere)
{
    traffic_bench bench;
    bench.list(2, 8);
    auto const serve_for = [&](milliseconds time) {
        std::set<target_id> used;
        for (milliseconds done{0}; done < time; done += milliseconds{50}) {
            auto const id = bench.arrive("object" + std::to_string(done.count() / 50 % 20));
            auto const target = bench.one<send_attempt>()->target;
            used.insert(target);
            bench.now += milliseconds{50};
            bench.end(id, target, attempt_end::succeeded);
        }
        return used;
    };
    serve_for(milliseconds{6000});
    bench.entries.push_back(bench.target("joined", "home", 8));
    bench.feed(targets_listed{bench.entries});
    EXPECT_TRUE(serve_for(milliseconds{3000}).contains(target_id("joined")));
}

TEST(targets, that_leave_get_nothing)
{
    traffic_bench bench;
    bench.list(1);
    bench.entries[0].phase = target_phase::leaving;
    bench.feed(targets_listed{bench.entries});
    bench.arrive();
    bench.pass(milliseconds{1000});
    EXPECT_FALSE(bench.one<send_attempt>());
    EXPECT_TRUE(traffic_bench::only<send_attempt>(bench.passed).empty());
    auto const told = traffic_bench::only<answer_self>(bench.passed);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].reason, refusal::no_target);
    EXPECT_GT(told[0].come_back, milliseconds{0});
}

TEST(targets, of_an_evacuated_zone_get_nothing_until_it_is_taken_back_cold)
{
    traffic_bench bench;
    bench.list(1, 50);
    bench.feed(evacuations_listed{{zone_id("home")}});
    bench.arrive();
    EXPECT_FALSE(bench.one<send_attempt>());
    bench.pass(milliseconds{1000});
    bench.feed(evacuations_listed{{}});
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        bench.arrive();
        sent += bench.one<send_attempt>() ? 1 : 0;
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent, 4); // the rate of a cold target in one second
}

TEST(targets, that_are_cold_get_their_rate_divided_among_the_hosts_of_the_zone)
{
    for (int const hosts : {1, 2}) {
        traffic_bench bench;
        bench.list(1, 50);
        bench.entries[0].cold_left = milliseconds{5000};
        bench.entries[0].life = target_life(2);
        bench.feed(targets_listed{bench.entries});
        bench.report_hosts(hosts, hosts);
        int most = 0;
        for (int second = 0; second < 3; ++second) {
            int sent = 0;
            for (int i = 0; i < 50; ++i) {
                bench.now += milliseconds{20};
                bench.arrive();
                sent += static_cast<int>(traffic_bench::only<send_attempt>(bench.effects).size());
            }
            most = std::max(most, sent);
        }
        EXPECT_LE(most, 4 / hosts + 1) << hosts;
        EXPECT_GT(most, 0) << hosts;
    }
}

TEST(targets, that_are_cold_get_no_more_from_a_zone_of_many_hosts)
{
    constexpr int hosts = 50;
    constexpr double bound = 4; // of the service, in one second
    int sent = 0;
    for (int host = 0; host < hosts; ++host) {
        traffic_bench bench({0.2, milliseconds{10'000}, 50}, node_id("h" + std::to_string(host)));
        bench.list(1, 50);
        bench.entries[0].cold_left = milliseconds{5000};
        bench.entries[0].life = target_life(2);
        bench.feed(targets_listed{bench.entries});
        bench.report_hosts(hosts, hosts);
        for (int i = 0; i < 10; ++i) {
            bench.arrive();
            sent += static_cast<int>(traffic_bench::only<send_attempt>(bench.effects).size());
        }
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent, bound);
}

TEST(targets, that_are_cold_get_nothing_from_a_host_that_does_not_know_its_neighbours)
{
    traffic_bench bench;
    bench.list(1, 50);
    bench.entries[0].cold_left = milliseconds{5000};
    bench.entries[0].life = target_life(2);
    bench.feed(targets_listed{bench.entries});
    peers_reported alone;
    alone.neighbours_known = false;
    bench.feed(alone);
    bench.arrive();
    EXPECT_FALSE(bench.one<send_attempt>());
    bench.report_hosts(1, 1);
    bench.arrive();
    EXPECT_TRUE(bench.one<send_attempt>());
}

TEST(targets, that_neighbours_have_filled_get_nothing_more)
{
    traffic_bench bench;
    bench.list(2, 3);
    bench.route.sticky = false;
    auto const first = bench.arrive();
    target_id const busy = bench.one<send_attempt>()->target;
    bench.now += milliseconds{200}; // waiting for a slot has its price
    bench.end(first, busy, attempt_end::succeeded);
    peers_reported peers;
    peers.running[target_state(bench.target(busy.value, "home", 3), bench.now).short_hash()] = 3;
    bench.feed(peers);
    for (int i = 0; i < 3; ++i) {
        bench.arrive();
        ASSERT_TRUE(bench.one<send_attempt>());
        EXPECT_NE(bench.one<send_attempt>()->target, busy);
    }
    bench.arrive();
    EXPECT_FALSE(bench.one<send_attempt>()); // all slots are taken
}

TEST(targets, that_refuse_connections_count_as_cold_when_they_are_back)
{
    traffic_bench bench;
    bench.list(1, 50);
    auto const id = bench.arrive();
    bench.end(id, bench.one<send_attempt>()->target, attempt_end::not_connected);
    bench.pass(milliseconds{400});
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        bench.arrive();
        sent += static_cast<int>(traffic_bench::only<send_attempt>(bench.effects).size());
    }
    EXPECT_LE(sent, 4);
}

TEST(targets, of_other_zones_get_what_their_zone_has_given)
{
    traffic_bench bench;
    bench.entries = {bench.target("far", "away", 50)};
    bench.feed(targets_listed{bench.entries});
    bench.arrive();
    EXPECT_FALSE(bench.one<send_attempt>()); // nothing given
    bench.pass(milliseconds{800});
    bench.report_hosts(1, 2, {{zone_id("away"), bench.desk, 3}});
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        bench.arrive();
        sent += static_cast<int>(traffic_bench::only<send_attempt>(bench.effects).size());
    }
    EXPECT_EQ(sent, 3);
}

TEST(targets, outside_the_homes_of_a_route_get_nothing)
{
    traffic_bench bench;
    bench.list(1);
    bench.route.home_regions = {region_id("s")};
    bench.arrive();
    EXPECT_FALSE(bench.one<send_attempt>());
}

TEST(targets, that_fail_are_left_for_others)
{
    traffic_bench bench;
    bench.list(2, 50);
    bench.route.idempotent = false;
    bench.route.sticky = false;
    int at_bad = 0;
    for (int i = 0; i < 60; ++i) {
        auto const id = bench.arrive();
        auto const target = bench.one<send_attempt>()->target;
        bench.now += milliseconds{10};
        bool const bad = target == target_id("t0");
        at_bad += bad ? 1 : 0;
        bench.end(id, target, bad ? attempt_end::failed : attempt_end::succeeded);
    }
    EXPECT_LT(at_bad, 10);
}

TEST(placement, keeps_an_object_with_its_first_target_under_overload)
{
    traffic_bench bench;
    bench.list(2);
    target_state first(bench.target("t0", "home", 2), bench.now);
    target_state second(bench.target("t1", "home", 2), bench.now);
    std::vector candidates{survey(first, bench.now), survey(second, bench.now)};
    candidates[0].load = 2; // full, while the second is free
    object_key const object("o");
    // Too many objects: even first targets were cold lately, and spreading makes more so.
    placement_query const query{bench.route, object, 1, 200, 32, 0};
    auto const options = rank_targets(query, route_time(bench.route.objective), candidates, {0, 1});
    EXPECT_EQ(options.at(0).rank, 0U);
    candidates[0].queued = 20; // no object is worth that wait
    auto const spread = rank_targets(query, route_time(bench.route.objective), candidates, {0, 1});
    EXPECT_EQ(spread.at(0).rank, 1U);
}

TEST(waiting, serves_the_more_urgent_first)
{
    traffic_bench bench;
    bench.list(1, 1);
    auto const running = bench.arrive();
    auto const target = bench.one<send_attempt>()->target;
    bench.route.priority = 2;
    bench.arrive();
    bench.route.priority = 0;
    auto const urgent = bench.arrive();
    bench.end(running, target, attempt_end::succeeded);
    ASSERT_TRUE(bench.one<send_attempt>());
    EXPECT_EQ(bench.one<send_attempt>()->id, urgent);
}

TEST(waiting, refuses_at_once_what_cannot_be_served)
{
    traffic_bench bench;
    bench.list(1, 1);
    bench.deadline = milliseconds{400};
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        bench.arrive();
        refused += bench.one<answer_self>() ? 1 : 0;
    }
    EXPECT_GE(refused, 15);
}

TEST(waiting, takes_a_late_comeback_before_a_new_request_of_its_kind)
{
    traffic_bench bench;
    bench.list(1, 1);
    auto const running = bench.arrive("a", "running");
    auto const target = bench.one<send_attempt>()->target;
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        std::string const client = "client" + std::to_string(i);
        bench.arrive("b", client);
        refused = bench.one<answer_self>() ? client : "";
    }
    ASSERT_FALSE(refused.empty());
    bench.end(running, target, attempt_end::succeeded);
    while (auto const sent = bench.one<send_attempt>()) {
        bench.end(sent->id, target, attempt_end::succeeded);
    }
    bench.now += bench.route.objective + milliseconds{50}; // too late for the objective
    auto const holder = bench.arrive("b", "holder");
    bench.arrive("b", "new");
    auto const back = bench.arrive("b", refused);
    ASSERT_FALSE(bench.one<answer_self>());
    bench.end(holder, target, attempt_end::succeeded);
    ASSERT_TRUE(bench.one<send_attempt>());
    EXPECT_EQ(bench.one<send_attempt>()->id, back);
}

TEST(waiting, takes_a_comeback_before_a_new_request_of_its_kind)
{
    traffic_bench bench;
    bench.list(1, 1);
    bench.arrive("a", "running");
    auto const target = bench.one<send_attempt>()->target;
    request_id const running(1);
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        std::string const client = "client" + std::to_string(i);
        bench.arrive("b", client);
        refused = bench.one<answer_self>() ? client : "";
    }
    ASSERT_FALSE(refused.empty());
    // Those who waited are served, and another request takes the slot.
    bench.end(running, target, attempt_end::succeeded);
    while (auto const sent = bench.one<send_attempt>()) {
        bench.end(sent->id, target, attempt_end::succeeded);
    }
    auto const holder = bench.arrive("b", "holder");
    bench.arrive("b", "new");
    ASSERT_FALSE(bench.one<answer_self>());
    auto const back = bench.arrive("b", refused);
    ASSERT_FALSE(bench.one<answer_self>());
    bench.end(holder, target, attempt_end::succeeded);
    ASSERT_TRUE(bench.one<send_attempt>());
    EXPECT_EQ(bench.one<send_attempt>()->id, back);
}

TEST(come_back, spreads_refused_clients)
{
    come_back_times times;
    std::set<milliseconds> seen;
    for (int i = 0; i < 50; ++i) {
        auto const next = times.next(milliseconds{100}, milliseconds{2000});
        EXPECT_GE(next, milliseconds{100});
        EXPECT_LE(next, milliseconds{660}); // clients wait a third of their time at most
        seen.insert(next);
    }
    EXPECT_GT(seen.size(), 40U);
}

TEST(refused_requests, are_known_again_once_and_not_forever)
{
    refused_requests memory;
    mono_time const start{};
    repeated_request const request{"client", "route", object_key("o")};
    memory.add(request, start, start + milliseconds{1000});
    memory.add(request, start + milliseconds{5}, start + milliseconds{1005});
    EXPECT_EQ(memory.take(request, start + milliseconds{100}), start);
    EXPECT_TRUE(memory.take(request, start + milliseconds{100}));
    EXPECT_FALSE(memory.take(request, start + milliseconds{100}));
    memory.add(request, start, start + milliseconds{1000});
    EXPECT_FALSE(memory.take(request, start + milliseconds{1000}));
    EXPECT_FALSE(memory.take({"other", "route", object_key("o")}, start));
}

TEST(warm_window, learns_how_many_requests_back_a_target_is_warm)
{
    warm_window window;
    for (int i = 0; i < 400; ++i) {
        std::uint64_t const age = static_cast<std::uint64_t>(i % 200);
        window.observe(age, age < 120);
    }
    EXPECT_GT(window.length(), 100U);
    EXPECT_LT(window.length(), 140U);
}

target_entry listed(std::string const& name)
{
    target_entry entry;
    entry.id = target_id(name);
    entry.address = "10.0.0.1:80";
    return entry;
}

TEST(target_list, never_goes_back)
{
    target_list list(milliseconds{1500}, milliseconds{2000});
    mono_time const now{};
    EXPECT_TRUE(list.replace({listed("a"), listed("b")}, revision(20), now));
    EXPECT_FALSE(list.replace({listed("a")}, revision(19), now));
    EXPECT_EQ(list.entries().size(), 2U);
    EXPECT_TRUE(list.replace({listed("b")}, revision(21), now));
    EXPECT_EQ(list.entries().size(), 1U);
}

TEST(target_list, keeps_entries_that_vanish_in_an_outage_for_less_than_the_drain_bound)
{
    target_list list(milliseconds{1500}, milliseconds{2000});
    mono_time now{seconds{50}};
    list.replace({listed("a"), listed("b"), listed("c")}, revision(1), now);
    list.remove(target_id("c"), now); // no outage: gone at once
    EXPECT_EQ(list.entries().size(), 2U);
    list.store_returned(now);
    list.remove(target_id("a"), now + milliseconds{100});
    list.remove(target_id("b"), now + milliseconds{100});
    EXPECT_EQ(list.entries().size(), 2U);
    list.put(listed("a")); // its report was taken
    EXPECT_TRUE(list.expire(now + milliseconds{1999}));
    ASSERT_EQ(list.entries().size(), 1U);
    EXPECT_EQ(list.entries()[0].id, target_id("a"));
}

} // namespace
} // namespace cove
