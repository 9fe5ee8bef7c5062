/** @file What targets say of themselves, as obeyed by the hosts of a zone. */

#include "traffic/shared_rate.h"
#include "traffic_fixture.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

RC_GTEST_PROP(rate_part, the_parts_of_all_hosts_make_up_the_rate, ())
{
    constexpr double tenth = 0.1;
    constexpr double tolerance = 1e-9;
    double const rate = *rc::gen::inRange(1, 500) * tenth;
    auto const count = *rc::gen::inRange(1, 50);
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    std::vector<node_id> hosts;
    for (int i = 0; i < count; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
    }
    double sum = 0;
    for (node_id const& host : hosts) {
        double const part = rate_part(rate, host, hosts, seed);
        sum += part;
        RC_ASSERT(part == 0 || part >= std::min({1.0, rate, rate / count}));
    }
    RC_ASSERT(std::abs(sum - rate) < tolerance * rate);
}

/** The hosts of a zone, whose reports reach each other at once. */
class limited_zone : public testing::Test {
protected:
    static constexpr int host_count = 13;
    static constexpr double limit = 3.3;

    limited_zone()
    {
        for (int i = 0; i < host_count; ++i) {
            hosts.push_back(std::make_unique<traffic_fixture>(
                retry_limiter_settings{0.2, milliseconds{10'000}, 50},
                node_id("h" + std::to_string(i))));
            hosts.back()->route.max_attempts = 2;
            hosts.back()->list(3, 8);
        }
        exchange_reports();
    }

    void exchange_reports()
    {
        for (auto& receiver : hosts) {
            peers_reported peers;
            for (int i = 0; i < host_count; ++i) {
                peers.hosts_in_zone.emplace_back("h" + std::to_string(i));
            }
            peers.hosts_in_total = host_count;
            for (auto const& sender : hosts) {
                if (sender != receiver) {
                    for (auto const& [hash, heard] : sender->reducer.limits(sender->now)) {
                        auto const known = peers.limits.try_emplace(hash, heard).first;
                        if (heard.heard > known->second.heard) {
                            known->second = heard;
                        }
                    }
                }
            }
            receiver->feed(peers);
        }
    }

    /** Runs all hosts for @p steps of 20 ms; each gets a request in every fifth step. */
    void run(int steps)
    {
        constexpr milliseconds step{20};
        for (int i = 0; i < steps; ++i) {
            for (auto& host : hosts) {
                host->now += step;
                if (i % 5 == 0) {
                    host->arrive("object" + std::to_string(next_object++ % 60));
                    handle(*host);
                }
                host->feed(timer_tick{});
                handle(*host);
            }
            if (i % 12 == 0) {
                exchange_reports();
            }
        }
    }

    /** Answers each request that @p host has sent. */
    void handle(traffic_fixture& host)
    {
        auto sends = traffic_fixture::of_kind<send_attempt>(host.effects);
        while (!sends.empty()) {
            std::vector<send_attempt> more;
            for (send_attempt const& sent : sends) {
                bool const limited = names_limit && sent.attempt.target == target_id("t0");
                arrivals[sent.attempt.target] += 1;
                attempt_ended event = traffic_fixture::ended(sent, attempt_end::succeeded);
                event.notice = target_notice{limited ? std::optional(limit) : std::nullopt};
                host.feed(event);
                auto const next = traffic_fixture::of_kind<send_attempt>(host.effects);
                more.insert(more.end(), next.begin(), next.end());
            }
            sends = std::move(more);
        }
    }

    std::vector<std::unique_ptr<traffic_fixture>> hosts;
    std::map<target_id, int> arrivals;
    bool names_limit = true;
    int next_object = 0;
};

TEST_F(limited_zone, all_hosts_together_keep_to_the_limit_and_use_it_again_when_it_ends)
{
    constexpr int steps_per_second = 50;
    run(steps_per_second);
    arrivals.clear();
    run(4 * steps_per_second);
    EXPECT_LE(arrivals[target_id("t0")], 1.5 * limit * 4 + 5);
    EXPECT_GE(arrivals[target_id("t0")], limit * 2);
    names_limit = false;
    run(2 * steps_per_second);
    arrivals.clear();
    run(4 * steps_per_second);
    EXPECT_GT(arrivals[target_id("t0")], 1.5 * limit * 4 + 5);
}

TEST(leaving_target, gets_nothing_after_it_is_listed_as_serving_again)
{
    traffic_fixture host;
    host.list(1);
    host.arrive();
    auto const sent = host.single<send_attempt>();
    ASSERT_TRUE(sent);
    attempt_ended event = traffic_fixture::ended(*sent, attempt_end::succeeded);
    event.notice = target_notice{std::nullopt, true};
    host.feed(event);
    host.feed(targets_listed{{}});
    host.list(1);
    host.arrive();
    EXPECT_FALSE(host.single<send_attempt>());
    host.entries[0].incarnation = target_incarnation(2); // it has started again
    host.feed(targets_changed{host.entries, {}});
    host.arrive();
    EXPECT_TRUE(host.single<send_attempt>());
}

} // namespace
} // namespace cove
