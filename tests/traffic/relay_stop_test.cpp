/** @file Relayed requests while the host that relays them, or the one that carries them, stops. */

#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr milliseconds route_timeout{8000};
constexpr milliseconds grace{1000}; ///< until the answers of a stopping host are due

/** A host whose requests have their home in another region and are carried by hosts there. */
class relaying_host_stop : public traffic_fixture, public testing::Test {
protected:
    relaying_host_stop()
    {
        route.timeout = deadline = route_timeout;
        route.home_regions = {region_id("s")};
        report_relays({first, second});
    }

    void report_relays(std::vector<relay_host> const& hosts)
    {
        peers_reported peers;
        peers.hosts_in_zone = {node_id("h0")};
        peers.relays = hosts;
        feed(peers);
    }

    void stop() { feed(stop_announced{now + grace}); }

    relay_host const first{zone_id("away"), "10.0.1.1:7"};
    relay_host const second{zone_id("away"), "10.0.1.2:7"};
};

class relaying_host_stop_after : public relaying_host_stop,
                                 public testing::WithParamInterface<relay_end> {};

// A host that stopped had another one begin a request that it would have broken off itself.
TEST_P(relaying_host_stop_after, does_not_relay_again_what_may_not_end)
{
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    stop();
    end_relay(id, GetParam());
    EXPECT_FALSE(single<relay_request>());
    if (GetParam() == relay_end::refused) {
        EXPECT_TRUE(single<deliver_answer>()); // with the time to come back
        return;
    }
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::no_room);
}

INSTANTIATE_TEST_SUITE_P(end, relaying_host_stop_after,
                         testing::Values(relay_end::refused, relay_end::not_sent));

TEST_F(relaying_host_stop, relays_again_what_ends_in_time)
{
    deadline = grace / 2;
    request_id const id = arrive();
    stop();
    end_relay(id, relay_end::refused);
    EXPECT_TRUE(single<relay_request>());
}

TEST_F(relaying_host_stop, relays_again_what_may_have_run)
{
    entries = {target("far", "away", 2)};
    feed(targets_listed{entries});
    peers_reported peers;
    peers.hosts_in_zone = {node_id("h0")};
    peers.remote_quotas = {{zone_id("away"), desk, 1}};
    feed(peers);
    request_id const id = arrive();
    ASSERT_TRUE(single<send_attempt>());
    report_relays({first, second}); // and no quota
    end(id, target_id("far"), attempt_end::broken);
    ASSERT_TRUE(single<relay_request>());
    stop();
    end_relay(id, relay_end::refused);
    EXPECT_TRUE(single<relay_request>());
}

TEST_F(relaying_host_stop, withdraws_no_relay_until_its_answers_are_due)
{
    request_id const id = arrive();
    stop();
    advance(grace - milliseconds{40});
    EXPECT_TRUE(advance_effects.empty());
    end_relay(id, relay_end::answered);
    EXPECT_TRUE(single<deliver_answer>());
}

TEST_F(relaying_host_stop, withdraws_no_relay_as_the_host_that_carries_it_stops)
{
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    report_relays({});
    EXPECT_TRUE(effects.empty());
    advance(route_timeout / 2);
    EXPECT_TRUE(advance_effects.empty());
    end_relay(id, relay_end::answered);
    EXPECT_TRUE(single<deliver_answer>());
}

TEST_F(relaying_host_stop, tries_another_host_if_the_first_one_stops)
{
    request_id const id = arrive();
    ASSERT_TRUE(single<relay_request>());
    std::string const asked = single<relay_request>()->address;
    end_relay(id, relay_end::refused);
    ASSERT_TRUE(single<relay_request>());
    EXPECT_NE(single<relay_request>()->address, asked);
}

/** A host that carries requests for others. */
class carrying_host_stop : public traffic_fixture, public testing::Test {
protected:
    carrying_host_stop()
    {
        route.timeout = deadline = route_timeout;
        list(4);
    }

    request_id arrive_relayed()
    {
        request_id const id(next++);
        request_arrived event{
            id, std::make_shared<route_config const>(route), desk, object_key("o"), "c", deadline};
        event.relayed = true;
        event.terms.relayed_by = relaying;
        feed(event);
        return id;
    }

    /** Reports the other hosts. */
    void report(std::set<node_id> stopping)
    {
        peers_reported peers;
        peers.hosts_in_zone = {node_id("h0"), relaying};
        peers.hosts_in_total = 2;
        peers.stopping_hosts = std::move(stopping);
        feed(peers);
    }

    /** Begins a relayed request after one that took a short time. */
    send_attempt begin_after_a_short_one()
    {
        request_id const earlier = arrive("o");
        auto const sent = single<send_attempt>();
        EXPECT_TRUE(sent);
        now += milliseconds{100};
        end(earlier, sent->attempt.target, attempt_end::succeeded);
        arrive_relayed();
        EXPECT_TRUE(single<send_attempt>());
        return single<send_attempt>().value_or(send_attempt{});
    }

    /** @return how often requests are withdrawn within a time after which they are overdue. */
    std::size_t withdrawn()
    {
        advance_effects.clear();
        advance(milliseconds{2000});
        return of_kind<cancel_attempt>(advance_effects).size();
    }

    node_id const relaying{"h1"};
};

TEST_F(carrying_host_stop, refuses_as_not_run_what_may_not_end)
{
    feed(stop_announced{now + grace});
    arrive_relayed();
    EXPECT_FALSE(single<send_attempt>());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::no_room);
}

TEST_F(carrying_host_stop, leaves_requests_at_the_target_until_its_answers_are_due)
{
    request_id const id = arrive_relayed();
    auto const sent = single<send_attempt>();
    ASSERT_TRUE(sent);
    feed(stop_announced{now + grace});
    advance(grace - milliseconds{40});
    EXPECT_TRUE(of_kind<cancel_attempt>(advance_effects).empty());
    EXPECT_TRUE(of_kind<answer_locally>(advance_effects).empty());
    end(id, sent->attempt.target, attempt_end::succeeded);
    EXPECT_TRUE(single<deliver_answer>());
}

// LOST: the host that carried a request withdrew it as overdue while the one that relayed it
// stopped. The next target refused it, so the client got 502.
TEST_F(carrying_host_stop, leaves_requests_of_a_stopping_host_at_the_target_at_work_on_them)
{
    send_attempt const sent = begin_after_a_short_one();
    report({relaying});
    EXPECT_EQ(withdrawn(), 0U);
    feed(ended(sent, attempt_end::succeeded));
    EXPECT_TRUE(single<deliver_answer>());
}

TEST_F(carrying_host_stop, withdraws_overdue_requests_of_hosts_that_go_on)
{
    begin_after_a_short_one();
    report({node_id("h2")});
    EXPECT_EQ(withdrawn(), 1U);
}

TEST_F(carrying_host_stop, withdraws_its_own_overdue_requests_while_others_stop)
{
    begin_after_a_short_one();
    arrive("o");
    report({relaying});
    EXPECT_EQ(withdrawn(), 1U);
}

TEST_F(carrying_host_stop, withdraws_overdue_requests_of_a_host_that_has_started_again)
{
    report({relaying});
    begin_after_a_short_one();
    report({});
    EXPECT_EQ(withdrawn(), 1U);
}

} // namespace
} // namespace cove
