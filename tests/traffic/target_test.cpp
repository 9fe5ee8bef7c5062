/** @file Selection of targets: slots, cold and leaving targets, evacuated zones, other zones. */

#include "support/position.h"
#include "traffic/target_list.h"
#include "traffic/traffic_fixture.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

TEST(targets, get_no_more_than_their_slots)
{
    traffic_fixture fixture;
    fixture.list(2, 3);
    std::map<target_id, int> running;
    for (int i = 0; i < 20; ++i) {
        fixture.arrive("object" + std::to_string(i));
        for (auto const& sent : traffic_fixture::of_kind<send_attempt>(fixture.effects)) {
            ++running[sent.attempt.target];
        }
    }
    EXPECT_EQ(running[target_id("t0")], 3);
    EXPECT_EQ(running[target_id("t1")], 3);
}

TEST(targets, keep_an_object_while_they_have_room)
{
    traffic_fixture fixture;
    fixture.list(5);
    fixture.arrive("object");
    auto const first = fixture.single<send_attempt>()->attempt.target;
    for (int i = 0; i < 10; ++i) {
        fixture.end(request_id(fixture.next - 1), first, attempt_end::succeeded);
        fixture.now += milliseconds{50};
        fixture.arrive("object");
        ASSERT_TRUE(fixture.single<send_attempt>());
        EXPECT_EQ(fixture.single<send_attempt>()->attempt.target, first);
    }
}

TEST(targets, that_join_get_trial_requests_although_all_objects_are_warm_elsewhere)
{
    traffic_fixture fixture;
    fixture.list(2, 8);
    auto const serve_for = [&](milliseconds time) {
        std::set<target_id> used;
        for (milliseconds done{0}; done < time; done += milliseconds{50}) {
            auto const id = fixture.arrive("object" + std::to_string(done.count() / 50 % 20));
            auto const target = fixture.single<send_attempt>()->attempt.target;
            used.insert(target);
            fixture.now += milliseconds{50};
            fixture.end(id, target, attempt_end::succeeded);
        }
        return used;
    };
    serve_for(milliseconds{6000});
    fixture.entries.push_back(fixture.target("joined", "home", 8));
    fixture.feed(targets_listed{fixture.entries});
    EXPECT_TRUE(serve_for(milliseconds{3000}).contains(target_id("joined")));
}

TEST(targets, that_leave_get_no_requests)
{
    traffic_fixture fixture;
    fixture.list(1);
    fixture.entries[0].phase = target_phase::leaving;
    fixture.feed(targets_listed{fixture.entries});
    fixture.arrive();
    fixture.advance(milliseconds{1000});
    EXPECT_FALSE(fixture.single<send_attempt>());
    EXPECT_TRUE(traffic_fixture::of_kind<send_attempt>(fixture.advance_effects).empty());
    auto const answers = traffic_fixture::of_kind<answer_locally>(fixture.advance_effects);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason, refusal::no_target);
    EXPECT_GT(answers[0].retry_after, milliseconds{0});
}

TEST(targets, of_an_evacuated_zone_get_no_requests_and_are_cold_afterwards)
{
    traffic_fixture fixture;
    fixture.list(1, 50);
    fixture.feed(evacuations_listed{{zone_id("home")}});
    fixture.arrive();
    EXPECT_FALSE(fixture.single<send_attempt>());
    fixture.advance(milliseconds{1000});
    fixture.feed(evacuations_listed{{}});
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        fixture.arrive();
        sent += fixture.single<send_attempt>() ? 1 : 0;
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent, 4); // one second at the cold rate of the service
}

TEST(targets, that_are_cold_share_the_cold_rate_among_the_hosts_of_the_zone)
{
    for (int const hosts : {1, 2}) {
        traffic_fixture fixture;
        fixture.list(1, 50);
        fixture.entries[0].cold_left = milliseconds{5000};
        fixture.entries[0].incarnation = target_incarnation(2);
        fixture.feed(targets_listed{fixture.entries});
        fixture.report_hosts(hosts, hosts);
        int most = 0;
        for (int second = 0; second < 3; ++second) {
            int sent = 0;
            for (int i = 0; i < 50; ++i) {
                fixture.now += milliseconds{20};
                fixture.arrive();
                sent += static_cast<int>(
                    traffic_fixture::of_kind<send_attempt>(fixture.effects).size());
            }
            most = std::max(most, sent);
        }
        EXPECT_LE(most, 4 / hosts + 1) << hosts;
        EXPECT_GT(most, 0) << hosts;
    }
}

TEST(targets, that_are_cold_get_no_more_than_the_cold_rate_from_many_hosts)
{
    constexpr int hosts = 50;
    constexpr double bound = 4; // one second at the cold rate of the service
    int sent = 0;
    for (int host = 0; host < hosts; ++host) {
        traffic_fixture fixture({0.2, milliseconds{10'000}, 50},
                                node_id("h" + std::to_string(host)));
        fixture.list(1, 50);
        fixture.entries[0].cold_left = milliseconds{5000};
        fixture.entries[0].incarnation = target_incarnation(2);
        fixture.feed(targets_listed{fixture.entries});
        fixture.report_hosts(hosts, hosts);
        for (int i = 0; i < 10; ++i) {
            fixture.arrive();
            sent +=
                static_cast<int>(traffic_fixture::of_kind<send_attempt>(fixture.effects).size());
        }
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent, bound);
}

TEST(targets, that_are_cold_get_no_requests_until_the_hosts_of_the_zone_are_known)
{
    traffic_fixture fixture;
    fixture.list(1, 50);
    fixture.entries[0].cold_left = milliseconds{5000};
    fixture.entries[0].incarnation = target_incarnation(2);
    fixture.feed(targets_listed{fixture.entries});
    peers_reported alone;
    alone.zone_peers_known = false;
    fixture.feed(alone);
    fixture.arrive();
    EXPECT_FALSE(fixture.single<send_attempt>());
    fixture.report_hosts(1, 1);
    fixture.arrive();
    EXPECT_TRUE(fixture.single<send_attempt>());
}

TEST(targets, that_other_hosts_have_filled_get_no_requests)
{
    traffic_fixture fixture;
    fixture.list(2, 3);
    fixture.route.sticky = false;
    auto const first = fixture.arrive();
    target_id const busy = fixture.single<send_attempt>()->attempt.target;
    fixture.now += milliseconds{200}; // raises the cost of waiting for a slot
    fixture.end(first, busy, attempt_end::succeeded);
    peers_reported peers;
    peers.in_flight_by_target[target_state(fixture.target(busy.value, "home", 3), fixture.now)
                                  .short_hash()] = 3;
    fixture.feed(peers);
    for (int i = 0; i < 3; ++i) {
        fixture.arrive();
        ASSERT_TRUE(fixture.single<send_attempt>());
        EXPECT_NE(fixture.single<send_attempt>()->attempt.target, busy);
    }
    fixture.arrive();
    EXPECT_FALSE(fixture.single<send_attempt>()); // all slots are taken
}

// Changes of single targets must leave a host as a list of all targets does.
RC_GTEST_PROP(targets, that_change_one_by_one_are_used_as_if_listed_anew, ())
{
    traffic_fixture listed;
    traffic_fixture changed;
    listed.list(6);
    changed.list(6);
    int const steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
        auto const position = static_cast<std::size_t>(*rc::gen::inRange(0, 6));
        target_id const id("t" + std::to_string(position));
        auto const known = std::find_if(listed.entries.begin(), listed.entries.end(),
                                        [&](target_entry const& each) { return each.id == id; });
        if (known == listed.entries.end()) {
            listed.entries.push_back(listed.target(id.value, "home", 2));
            changed.feed(targets_changed{{listed.entries.back()}, {}});
        }
        else if (*rc::gen::arbitrary<bool>()) {
            known->phase = target_phase::leaving;
            changed.feed(targets_changed{{*known}, {}});
        }
        else {
            listed.entries.erase(known);
            changed.feed(targets_changed{{}, {id}});
        }
        listed.feed(targets_listed{listed.entries});
    }
    for (int i = 0; i < 8; ++i) {
        std::string const object = "object" + std::to_string(i);
        listed.arrive(object);
        changed.arrive(object);
        auto const expected = listed.single<send_attempt>();
        auto const actual = changed.single<send_attempt>();
        RC_ASSERT(expected.has_value() == actual.has_value());
        RC_ASSERT((!expected || expected->attempt.target == actual->attempt.target));
    }
}

TEST(targets, that_refused_connections_count_as_cold_afterwards)
{
    traffic_fixture fixture;
    fixture.list(1, 50);
    auto const id = fixture.arrive();
    fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::not_connected);
    fixture.advance(milliseconds{400});
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        fixture.arrive();
        sent += static_cast<int>(traffic_fixture::of_kind<send_attempt>(fixture.effects).size());
    }
    EXPECT_LE(sent, 4);
}

TEST(targets, of_other_regions_get_less_of_an_overload_than_the_shift_cap)
{
    constexpr double shift_cap = 0.15;
    traffic_fixture fixture({0.2, milliseconds{10'000}, 50}, node_id("h0"), shift_cap);
    fixture.entries = {fixture.target("near", "home", 10), fixture.target("far", "away", 500)};
    fixture.feed(targets_listed{fixture.entries});
    fixture.report_hosts(1, 2, {{zone_id("away"), fixture.desk, 500}});
    constexpr milliseconds service_time{50};
    std::deque<std::pair<mono_time, send_attempt>> running;
    int sent = 0;
    int sent_far = 0;
    auto const record = [&] {
        for (auto const& attempt : traffic_fixture::of_kind<send_attempt>(fixture.effects)) {
            running.emplace_back(fixture.now, attempt);
            ++sent;
            sent_far += attempt.attempt.target == target_id("far") ? 1 : 0;
        }
    };
    for (int i = 0; i < 1000; ++i) { // five times what the near target can serve
        fixture.now += milliseconds{1};
        while (!running.empty() && running.front().first + service_time <= fixture.now) {
            send_attempt const ended = running.front().second;
            running.pop_front();
            fixture.end(ended.attempt.id.request, ended.attempt.target, attempt_end::succeeded);
            record();
        }
        fixture.arrive("object" + std::to_string(i % 5));
        record();
    }
    EXPECT_GT(sent, 100);
    EXPECT_LE(sent_far, shift_cap * sent);
}

TEST(targets, of_other_zones_get_requests_within_the_quota)
{
    traffic_fixture fixture;
    fixture.entries = {fixture.target("far", "away", 50)};
    fixture.feed(targets_listed{fixture.entries});
    fixture.arrive();
    EXPECT_FALSE(fixture.single<send_attempt>()); // no quota
    fixture.advance(milliseconds{800});
    fixture.report_hosts(1, 2, {{zone_id("away"), fixture.desk, 3}});
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
        fixture.arrive();
        sent += static_cast<int>(traffic_fixture::of_kind<send_attempt>(fixture.effects).size());
    }
    EXPECT_EQ(sent, 3);
}

TEST(targets, outside_the_home_regions_of_a_route_get_no_requests)
{
    traffic_fixture fixture;
    fixture.list(1);
    fixture.route.home_regions = {region_id("s")};
    fixture.arrive();
    EXPECT_FALSE(fixture.single<send_attempt>());
}

TEST(targets, that_fail_get_few_requests)
{
    traffic_fixture fixture;
    fixture.list(2, 50);
    fixture.route.idempotent = false;
    fixture.route.sticky = false;
    int sent_to_failing = 0;
    for (int i = 0; i < 60; ++i) {
        auto const id = fixture.arrive();
        auto const target = fixture.single<send_attempt>()->attempt.target;
        fixture.now += milliseconds{10};
        bool const failing = target == target_id("t0");
        sent_to_failing += failing ? 1 : 0;
        fixture.end(id, target, failing ? attempt_end::failed : attempt_end::succeeded);
    }
    EXPECT_LT(sent_to_failing, 10);
}

TEST(placement, keeps_an_object_on_its_preferred_target_under_overload)
{
    traffic_fixture fixture;
    fixture.list(2);
    target_state first(fixture.target("t0", "home", 2), fixture.now);
    target_state second(fixture.target("t1", "home", 2), fixture.now);
    std::vector candidates{make_candidate(first, fixture.now), make_candidate(second, fixture.now)};
    candidates[0].load = 2; // full, while the second is free
    object_key const object("o");
    // The learned hit rate is 0: with too many objects even preferred targets are cold, and
    // spreading the objects over more targets would make that worse.
    placement_query const query{fixture.route, object, 1, 200, 32, 0};
    auto const options =
        rank_targets(query, route_time(fixture.route.objective), candidates, {0, 1});
    EXPECT_EQ(options.at(0).rank, 0U);
    candidates[0].queued = 20; // waiting now costs more than a cold target
    auto const spread =
        rank_targets(query, route_time(fixture.route.objective), candidates, {0, 1});
    EXPECT_EQ(spread.at(0).rank, 1U);
}

TEST(queue, serves_higher_priority_first)
{
    traffic_fixture fixture;
    fixture.list(1, 1);
    auto const running = fixture.arrive();
    auto const target = fixture.single<send_attempt>()->attempt.target;
    fixture.route.priority = 2;
    fixture.arrive();
    fixture.route.priority = 0;
    auto const urgent = fixture.arrive();
    fixture.end(running, target, attempt_end::succeeded);
    ASSERT_TRUE(fixture.single<send_attempt>());
    EXPECT_EQ(fixture.single<send_attempt>()->attempt.id.request, urgent);
}

TEST(queue, refuses_immediately_what_cannot_be_answered_in_time)
{
    traffic_fixture fixture;
    fixture.list(1, 1);
    fixture.deadline = milliseconds{400};
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.arrive();
        refused += fixture.single<answer_locally>() ? 1 : 0;
    }
    EXPECT_GE(refused, 15);
}

TEST(queue, serves_a_client_retry_past_its_objective_before_a_new_request)
{
    traffic_fixture fixture;
    fixture.list(1, 1);
    auto const running = fixture.arrive("a", "running");
    auto const target = fixture.single<send_attempt>()->attempt.target;
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        std::string const client = "client" + std::to_string(i);
        fixture.arrive("b", client);
        refused = fixture.single<answer_locally>() ? client : "";
    }
    ASSERT_FALSE(refused.empty());
    fixture.end(running, target, attempt_end::succeeded);
    while (auto const sent = fixture.single<send_attempt>()) {
        fixture.end(sent->attempt.id.request, target, attempt_end::succeeded);
    }
    fixture.now += fixture.route.objective + milliseconds{50}; // too late for the objective
    auto const holder = fixture.arrive("b", "holder");
    fixture.arrive("b", "new");
    auto const back = fixture.arrive("b", refused);
    ASSERT_FALSE(fixture.single<answer_locally>());
    fixture.end(holder, target, attempt_end::succeeded);
    ASSERT_TRUE(fixture.single<send_attempt>());
    EXPECT_EQ(fixture.single<send_attempt>()->attempt.id.request, back);
}

TEST(queue, serves_a_client_retry_before_a_new_request)
{
    traffic_fixture fixture;
    fixture.list(1, 1);
    fixture.arrive("a", "running");
    auto const target = fixture.single<send_attempt>()->attempt.target;
    request_id const running(1);
    std::string refused;
    for (int i = 0; i < 20 && refused.empty(); ++i) {
        std::string const client = "client" + std::to_string(i);
        fixture.arrive("b", client);
        refused = fixture.single<answer_locally>() ? client : "";
    }
    ASSERT_FALSE(refused.empty());
    // The queued requests are served, then another request takes the slot.
    fixture.end(running, target, attempt_end::succeeded);
    while (auto const sent = fixture.single<send_attempt>()) {
        fixture.end(sent->attempt.id.request, target, attempt_end::succeeded);
    }
    auto const holder = fixture.arrive("b", "holder");
    fixture.arrive("b", "new");
    ASSERT_FALSE(fixture.single<answer_locally>());
    auto const back = fixture.arrive("b", refused);
    ASSERT_FALSE(fixture.single<answer_locally>());
    fixture.end(holder, target, attempt_end::succeeded);
    ASSERT_TRUE(fixture.single<send_attempt>());
    EXPECT_EQ(fixture.single<send_attempt>()->attempt.id.request, back);
}

TEST(retry_after_schedule, spreads_the_retries_of_refused_clients)
{
    retry_after_schedule times;
    std::set<milliseconds> seen;
    for (int i = 0; i < 50; ++i) {
        auto const next = times.next(milliseconds{100}, milliseconds{2000});
        EXPECT_GE(next, milliseconds{100});
        EXPECT_LE(next, milliseconds{660}); // clients wait at most a third of the time left
        seen.insert(next);
    }
    EXPECT_GT(seen.size(), 40U);
}

TEST(refused_requests, are_recognized_once_and_expire)
{
    refused_requests memory;
    mono_time const start{};
    request_identity const request{"client", "route", object_key("o")};
    memory.add(request, start, start + milliseconds{1000});
    memory.add(request, start + milliseconds{5}, start + milliseconds{1005});
    EXPECT_EQ(memory.take(request, start + milliseconds{100}), start);
    EXPECT_TRUE(memory.take(request, start + milliseconds{100}));
    EXPECT_FALSE(memory.take(request, start + milliseconds{100}));
    memory.add(request, start, start + milliseconds{1000});
    EXPECT_FALSE(memory.take(request, start + milliseconds{1000}));
    EXPECT_FALSE(memory.take({"other", "route", object_key("o")}, start));
}

TEST(warm_window, learns_for_how_many_requests_a_target_stays_warm)
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

TEST(target_list, ignores_older_revisions)
{
    target_list list(milliseconds{1500}, milliseconds{2000});
    mono_time const now{};
    EXPECT_TRUE(list.replace({listed("a"), listed("b")}, position(20), now));
    EXPECT_FALSE(list.replace({listed("a")}, position(19), now));
    EXPECT_EQ(list.entries().size(), 2U);
    EXPECT_TRUE(list.replace({listed("b")}, position(21), now));
    EXPECT_EQ(list.entries().size(), 1U);
}

TEST(target_list, keeps_removed_entries_after_an_outage_for_less_than_the_drain_time)
{
    target_list list(milliseconds{1500}, milliseconds{2000});
    mono_time now{seconds{50}};
    list.replace({listed("a"), listed("b"), listed("c")}, position(1), now);
    list.remove(target_id("c"), now); // no outage: removed immediately
    EXPECT_EQ(list.entries().size(), 2U);
    list.store_recovered(now);
    list.remove(target_id("a"), now + milliseconds{100});
    list.remove(target_id("b"), now + milliseconds{100});
    EXPECT_EQ(list.entries().size(), 2U);
    list.put(listed("a")); // the store accepted its report
    EXPECT_EQ(list.expire(now + milliseconds{1999}).removed.size(), 1U);
    ASSERT_EQ(list.entries().size(), 1U);
    EXPECT_EQ(list.entries()[0].id, target_id("a"));
}

} // namespace
} // namespace cove
