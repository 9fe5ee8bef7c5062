/** @file Hosts that are cut off from the targets: when they notice, and what they do. */

#include "traffic/reach_monitor.h"
#include "traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::size_t targets = 6;

/** A monitor to which rounds of probes are played. */
class reach_case : public testing::Test {
protected:
    void fail_targets(std::uint32_t count)
    {
        for (std::uint32_t i = 0; i < count; ++i) {
            monitor.attempt_failed(i, now);
        }
    }

    /** Plays a round in which @p reached of 4 probes get a connection. */
    void round(int reached)
    {
        now += seconds{1};
        ASSERT_TRUE(monitor.probes_due(targets, now));
        monitor.probes_started(4, now);
        for (int i = 0; i < 4; ++i) {
            monitor.probe_ended(i < reached, now);
        }
    }

    /** Plays a round in which no probe reaches a target and @p timed_out of 4 get no reply. */
    void failed_round(int timed_out, std::optional<milliseconds> received_after)
    {
        now += seconds{1};
        ASSERT_TRUE(monitor.probes_due(targets, now));
        monitor.probes_started(4, now);
        if (received_after) {
            monitor.received(now + *received_after);
        }
        now += milliseconds{250};
        for (int i = 0; i < 4; ++i) {
            monitor.probe_ended(false, now, i < timed_out);
        }
    }

    reach_monitor monitor;
    mono_time now{seconds{100}};
};

TEST_F(reach_case, failures_of_several_targets_without_any_answer_are_tested)
{
    fail_targets(2);
    now += seconds{1};
    EXPECT_FALSE(monitor.probes_due(targets, now));
    EXPECT_TRUE(monitor.probes_due(2, now)); // all there are
    fail_targets(3);
    EXPECT_TRUE(monitor.probes_due(targets, now));
    monitor.attempt_answered(now);
    EXPECT_FALSE(monitor.probes_due(targets, now));
}

TEST_F(reach_case, answers_on_open_connections_do_not_hide_that_new_ones_fail)
{
    for (std::uint32_t i = 0; i < 3; ++i) {
        monitor.connect_failed(i, now);
    }
    now += seconds{1};
    monitor.attempt_answered(now);
    EXPECT_TRUE(monitor.probes_due(targets, now));
    monitor.connected(now);
    EXPECT_FALSE(monitor.probes_due(targets, now));
}

TEST_F(reach_case, a_host_that_reaches_any_target_is_not_cut_off)
{
    fail_targets(3);
    round(1);
    EXPECT_FALSE(monitor.cut_off());
    EXPECT_EQ(monitor.relay_share(now), 0);
}

TEST_F(reach_case, a_host_that_targets_still_send_to_is_not_cut_off_by_late_connections)
{
    for (std::uint32_t i = 0; i < 3; ++i) {
        monitor.connect_failed(i, now);
    }
    failed_round(4, milliseconds{100});
    EXPECT_FALSE(monitor.cut_off());
    failed_round(3, milliseconds{1});
    EXPECT_FALSE(monitor.cut_off());
    EXPECT_EQ(monitor.relay_share(now), 0);
}

TEST_F(reach_case, links_that_fall_silent_after_a_round_of_late_connections_are_a_cut)
{
    fail_targets(3);
    failed_round(4, milliseconds{100});
    now += milliseconds{250}; // the shortest time between two rounds has passed
    EXPECT_TRUE(monitor.probes_due(targets, now));
    failed_round(4, std::nullopt);
    EXPECT_TRUE(monitor.cut_off());
}

TEST_F(reach_case, what_came_before_the_round_is_no_sign_of_a_link)
{
    fail_targets(3);
    failed_round(4, milliseconds{0});
    EXPECT_TRUE(monitor.cut_off());
}

TEST_F(reach_case, open_connections_do_not_hide_that_new_ones_are_refused)
{
    for (std::uint32_t i = 0; i < 3; ++i) {
        monitor.connect_failed(i, now);
    }
    failed_round(2, milliseconds{100});
    EXPECT_TRUE(monitor.cut_off());
}

TEST_F(reach_case, requests_return_by_steps_after_good_rounds_in_a_row)
{
    fail_targets(3);
    round(0);
    EXPECT_TRUE(monitor.cut_off());
    EXPECT_EQ(monitor.relay_share(now), 1);
    round(4);
    round(0);
    round(3);
    EXPECT_TRUE(monitor.cut_off());
    round(3);
    EXPECT_FALSE(monitor.cut_off());
    double const first = monitor.relay_share(now + milliseconds{100});
    double const later = monitor.relay_share(now + milliseconds{1000});
    EXPECT_LT(first, 1);
    EXPECT_LT(later, first);
    EXPECT_GT(later, 0);
    EXPECT_EQ(monitor.relay_share(now + seconds{5}), 0);
}

TEST_F(reach_case, a_cut_that_follows_soon_ends_later)
{
    fail_targets(3);
    round(0);
    round(4);
    round(4);
    EXPECT_FALSE(monitor.cut_off());
    fail_targets(3);
    round(0);
    round(4);
    round(4);
    EXPECT_TRUE(monitor.cut_off());
    round(4);
    round(4);
    EXPECT_FALSE(monitor.cut_off());
}

/** A reducer that loses its links to all targets. */
class relay_case : public traffic_fixture, public testing::Test {
protected:
    /** Reports other hosts that can carry requests, by zone. */
    void report_relays(std::vector<relay_host> const& relays)
    {
        peers_reported peers;
        peers.hosts_in_zone = {node_id("h0"), node_id("h1")};
        peers.hosts_in_total = 2;
        peers.relays = relays;
        feed(peers);
    }

    /** Fails attempts and the probes that follow. */
    void cut()
    {
        lose_links();
        advance(deadline + milliseconds{100}); // the requests so far have expired
        ASSERT_EQ(reducer.open_requests(), 0U);
        advance_effects.clear();
    }

    /** As cut(), without the wait for the requests so far. */
    void lose_links()
    {
        for (int i = 0; i < 12 && !reducer.cut_off(); ++i) {
            request_id const id = arrive("o" + std::to_string(i));
            // Each attempt gets no connection, until the request is given up.
            for (auto sent = of_kind<send_attempt>(effects); !sent.empty();
                 sent = of_kind<send_attempt>(effects)) {
                end(id, sent.back().attempt.target, attempt_end::not_connected);
            }
        }
        advance(milliseconds{300});
        auto const probes = of_kind<probe_target>(advance_effects);
        ASSERT_EQ(probes.size(), 4U);
        for (std::size_t i = 0; i < probes.size(); ++i) {
            feed(probe_ended{false});
        }
        ASSERT_TRUE(reducer.cut_off());
        EXPECT_EQ(of_kind<links_changed>(effects).size(), 1U);
    }

    /** A request that another host relays with @p attempts_left. */
    void arrive_relayed(int attempts_left)
    {
        request_arrived event{
            request_id(999), std::make_shared<route_config const>(route), desk, object_key(""), "c",
            deadline};
        event.relayed = true;
        event.terms.attempts_left = attempts_left;
        feed(event);
    }

    relay_host const same_zone{zone_id("home"), "10.0.0.1:7"};
    relay_host const same_zone_too{zone_id("home"), "10.0.0.2:7"};
    relay_host const other_region{zone_id("away"), "10.0.1.1:7"};
};

TEST_F(relay_case, links_that_carry_open_connections_only_are_tested)
{
    list(6);
    for (int i = 0; i < 30; ++i) {
        request_id const id = arrive("o" + std::to_string(i));
        for (auto sent = of_kind<send_attempt>(effects); !sent.empty();
             sent = of_kind<send_attempt>(effects)) {
            target_id const target = sent.back().attempt.target;
            bool const open = target == target_id("t0"); // the only one with an open connection
            end(id, target, open ? attempt_end::succeeded : attempt_end::not_connected);
        }
        advance(milliseconds{40});
    }
    EXPECT_EQ(of_kind<probe_target>(advance_effects).size(), 4U);
}

TEST_F(relay_case,
       running_requests_stay_where_they_are_while_targets_answer_beside_late_connections)
{
    list(6);
    request_id const running = arrive("slow");
    ASSERT_TRUE(single<send_attempt>());
    for (int i = 0; i < 12 && of_kind<probe_target>(advance_effects).empty(); ++i) {
        request_id const id = arrive("o" + std::to_string(i));
        for (auto sent = of_kind<send_attempt>(effects); !sent.empty();
             sent = of_kind<send_attempt>(effects)) {
            attempt_ended event = ended(id, sent.back().attempt.target, attempt_end::not_connected);
            event.connect_timed_out = true;
            feed(event);
        }
        advance(milliseconds{40});
    }
    auto const probes = of_kind<probe_target>(advance_effects);
    ASSERT_EQ(probes.size(), 4U);
    advance_effects.clear();
    now += milliseconds{250};
    for (std::size_t i = 0; i < probes.size(); ++i) {
        feed(probe_ended{false, true, now - milliseconds{20}});
        EXPECT_TRUE(of_kind<cancel_attempt>(effects).empty());
    }
    EXPECT_FALSE(reducer.cut_off());
    end(running, attempts.at(running).target, attempt_end::succeeded);
    EXPECT_TRUE(single<deliver_answer>());
}

TEST_F(relay_case, requests_go_by_way_of_the_nearest_host)
{
    list(6);
    cut();
    report_relays({other_region, same_zone});
    request_id const id = arrive();
    auto const relayed = single<relay_request>();
    ASSERT_TRUE(relayed);
    EXPECT_EQ(relayed->address, same_zone.address);
    EXPECT_GT(relayed->time_left, milliseconds{0});
    end_relay(id, relay_end::answered);
    EXPECT_TRUE(single<deliver_answer>());
    EXPECT_EQ(reducer.open_requests(), 0U);
}

TEST_F(relay_case, a_relayed_request_is_not_relayed_again)
{
    list(6);
    cut();
    report_relays({same_zone});
    feed(request_arrived{request_id(999),
                         std::make_shared<route_config const>(route),
                         desk,
                         object_key(""),
                         "c",
                         deadline,
                         {},
                         true});
    EXPECT_TRUE(of_kind<relay_request>(effects).empty());
}

TEST_F(relay_case, a_route_with_home_regions_is_not_relayed_to_others)
{
    list(6);
    cut();
    report_relays({other_region});
    route.home_regions = {region_id("r")};
    arrive();
    EXPECT_TRUE(of_kind<relay_request>(effects).empty());
}

// SHORT: outside of its home region a workspace was served a tenth of its requests, as quotas for
// other zones, divided among all hosts, left most hosts without a slot there.
TEST_F(relay_case, requests_of_other_home_regions_go_by_way_of_a_host_there)
{
    list(6);
    report_relays({same_zone, other_region});
    route.home_regions = {region_id("s")};
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    EXPECT_EQ(single<relay_request>()->address, other_region.address);
    end_relay(id, relay_end::refused);
    EXPECT_TRUE(single<deliver_answer>()); // with the time to come back that the other host names
    EXPECT_EQ(reducer.open_requests(), 0U);
}

TEST_F(relay_case, requests_of_other_home_regions_are_sent_there_within_the_quota)
{
    list(6);
    entries.push_back(target("far", "away", 2));
    feed(targets_listed{entries});
    peers_reported peers;
    peers.hosts_in_zone = {node_id("h0")};
    peers.remote_quotas = {{zone_id("away"), desk, 1}};
    peers.relays = {other_region};
    feed(peers);
    route.home_regions = {region_id("s")};
    arrive();
    ASSERT_TRUE(single<send_attempt>());
    EXPECT_EQ(single<send_attempt>()->attempt.target, target_id("far"));
    arrive();
    EXPECT_TRUE(single<relay_request>());
}

TEST_F(relay_case, a_relayed_request_of_other_home_regions_is_not_relayed_again)
{
    report_relays({other_region});
    route.home_regions = {region_id("s")};
    arrive_relayed(1);
    EXPECT_TRUE(of_kind<relay_request>(effects).empty());
}

TEST_F(relay_case, homes_elsewhere_are_those_of_routes_and_workspaces)
{
    routing_config config;
    config.routes = {route};
    EXPECT_FALSE(reducer.has_homes_elsewhere(config));
    config.routes[0].home_regions = {region_id("r"), region_id("s")};
    EXPECT_FALSE(reducer.has_homes_elsewhere(config));
    config.workspaces.push_back({});
    EXPECT_FALSE(reducer.has_homes_elsewhere(config));
    config.workspaces[0].home_regions = {region_id("s")};
    EXPECT_TRUE(reducer.has_homes_elsewhere(config));
}

TEST_F(relay_case, a_refusal_is_tried_at_one_more_host_and_then_passed_on)
{
    route.idempotent = false;
    list(6);
    cut();
    report_relays({same_zone, same_zone_too});
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    std::string const first = single<relay_request>()->address;
    end_relay(id, relay_end::refused);
    ASSERT_TRUE(single<relay_request>());
    EXPECT_NE(single<relay_request>()->address, first);
    end_relay(id, relay_end::refused);
    EXPECT_TRUE(single<deliver_answer>());
}

TEST_F(relay_case, a_request_that_may_have_run_at_another_host_promises_nothing)
{
    route.idempotent = false;
    list(6);
    cut();
    report_relays({same_zone, same_zone_too});
    request_id const id = arrive();
    end_relay(id, relay_end::broken);
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::lost_answer);
}

// One client attempt ran on three targets with max_attempts 2: each host counted from zero.
TEST_F(relay_case, the_second_host_makes_no_more_attempts_than_are_left)
{
    list(6);
    arrive_relayed(1);
    ASSERT_TRUE(single<send_attempt>());
    end(request_id(999), single<send_attempt>()->attempt.target, attempt_end::broken);
    EXPECT_TRUE(of_kind<send_attempt>(effects).empty());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::lost_answer);
}

TEST_F(relay_case, more_attempts_left_than_the_route_has_do_not_count)
{
    route.max_attempts = 1;
    list(6);
    arrive_relayed(5);
    ASSERT_TRUE(single<send_attempt>());
    end(request_id(999), single<send_attempt>()->attempt.target, attempt_end::broken);
    EXPECT_TRUE(of_kind<send_attempt>(effects).empty());
}

TEST_F(relay_case, a_relayed_request_without_attempts_left_is_refused_as_not_run)
{
    list(6);
    arrive_relayed(0);
    EXPECT_TRUE(of_kind<send_attempt>(effects).empty());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::no_room);
}

class relay_attempts_case : public relay_case, public testing::WithParamInterface<int> {};

TEST_P(relay_attempts_case, targets_that_ran_a_request_before_the_cut_count_over_the_relay)
{
    route.max_attempts = GetParam();
    route.timeout = deadline = milliseconds{20'000};
    list(6);
    request_id const id = arrive("first");
    traffic_effects all = effects;
    lose_links();
    all.insert(all.end(), advance_effects.begin(), advance_effects.end());
    report_relays({same_zone});
    all.insert(all.end(), effects.begin(), effects.end());
    int used = 0;
    for (auto const& sent : of_kind<send_attempt>(all)) {
        used += sent.attempt.id.request == id ? 1 : 0;
    }
    EXPECT_GE(used, 1);
    for (auto const& relayed : of_kind<relay_request>(all)) {
        used += relayed.id.request == id ? relayed.attempts_left : 0;
    }
    EXPECT_EQ(used, GetParam());
}

INSTANTIATE_TEST_SUITE_P(max_attempts, relay_attempts_case, testing::Values(1, 2, 3));

TEST_F(relay_case, after_a_failed_relay_no_attempts_are_left)
{
    list(6);
    cut();
    report_relays({same_zone, same_zone_too});
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    EXPECT_EQ(single<relay_request>()->attempts_left, 2);
    end_relay(id, relay_end::broken);
    EXPECT_TRUE(of_kind<relay_request>(effects).empty());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::lost_answer);
}

TEST_F(relay_case, a_refused_relay_uses_no_attempt)
{
    list(6);
    cut();
    report_relays({same_zone, same_zone_too});
    request_id const id = arrive();
    end_relay(id, relay_end::refused);
    ASSERT_TRUE(single<relay_request>());
    EXPECT_EQ(single<relay_request>()->attempts_left, 2);
}

// An end named the request alone, so it was taken for that of the relay in progress.
TEST_F(relay_case, the_end_of_an_earlier_relay_does_not_end_a_later_one)
{
    list(6);
    cut();
    report_relays({same_zone, same_zone_too});
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    relay_request const first = *single<relay_request>();
    end_relay(id, relay_end::refused);
    ASSERT_TRUE(single<relay_request>());
    for (relay_end const late : {relay_end::broken, relay_end::refused, relay_end::answered}) {
        feed(relay_ended{first.id, late});
        EXPECT_TRUE(effects.empty());
    }
    end_relay(id, relay_end::answered);
    EXPECT_TRUE(single<deliver_answer>());
}

// The late end of an attempt was not told apart from that of the relay after it.
TEST_F(relay_case, a_relay_and_an_attempt_are_not_ended_by_the_ends_of_each_other)
{
    route.timeout = deadline = milliseconds{20'000};
    list(6);
    request_id const id = arrive("first");
    ASSERT_TRUE(single<send_attempt>());
    send_attempt const attempt = *single<send_attempt>();
    lose_links();
    report_relays({same_zone});
    ASSERT_TRUE(relays.contains(id));
    feed(ended(attempt, attempt_end::succeeded));
    EXPECT_TRUE(of_kind<deliver_answer>(effects).empty());
    end_relay(id, relay_end::answered);
    auto const answered = of_kind<deliver_answer>(effects);
    ASSERT_EQ(answered.size(), 1U);
    EXPECT_EQ(answered[0].id, id);
    end_relay(id, relay_end::broken); // once more, after the answer
    EXPECT_TRUE(effects.empty());
}

TEST_F(relay_case, a_client_that_leaves_ends_the_relay)
{
    list(6);
    cut();
    report_relays({same_zone});
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    feed(client_disconnected{id});
    EXPECT_TRUE(single<cancel_attempt>());
    EXPECT_EQ(reducer.open_requests(), 0U);
}

TEST_F(relay_case, a_relay_that_outlasts_the_request_is_given_up)
{
    list(6);
    cut();
    report_relays({same_zone});
    arrive();
    ASSERT_TRUE(single<relay_request>());
    advance(deadline + milliseconds{100});
    auto const answers = of_kind<answer_locally>(advance_effects);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason, refusal::gave_up);
}

TEST_F(relay_case, targets_are_used_as_before_once_they_are_reached_again)
{
    list(6);
    cut();
    report_relays({same_zone});
    for (int round = 0; round < 2; ++round) {
        arrive("o");
        advance(milliseconds{600});
        for (int i = 0; i < 4; ++i) {
            feed(probe_ended{true});
        }
    }
    EXPECT_FALSE(reducer.cut_off());
    now += seconds{5};
    for (int i = 0; i < 6; ++i) { // none is cold or backed off
        arrive("o" + std::to_string(i));
        EXPECT_EQ(of_kind<send_attempt>(effects).size(), 1U);
    }
}

} // namespace
} // namespace cove
