/** @file Shares of workspaces while more is asked than the targets can serve. */

#include "traffic_fixture.h"

#include <deque>
#include <gtest/gtest.h>

namespace cove {
namespace {

/** A kind of request that arrives evenly at a host. */
struct load_source {
    std::string workspace;
    double per_second = 0;
    int priority = 0;
};

struct source_result {
    int asked = 0;
    int served = 0;
    [[nodiscard]] double share() const { return asked == 0 ? 0 : 1.0 * served / asked; }
};

/** One host and four targets with two slots each that serve 80 requests a second. */
class workspace_shares_case : public traffic_fixture, public testing::Test {
protected:
    static constexpr double capacity = 80;
    static constexpr milliseconds work{100};
    static constexpr milliseconds settled{3000}; ///< results count from then on

    std::vector<source_result> play(std::vector<load_source> const& sources, seconds length)
    {
        route.sticky = false;
        list(4, 2);
        std::vector<source_result> results(sources.size());
        std::vector<double> owed(sources.size(), 0);
        mono_time const start = now;
        for (; now < start + length; now += milliseconds{1}) {
            if ((now - start) % milliseconds{20} == milliseconds{0}) {
                perform(timer_tick{});
            }
            while (!running.empty() && running.front().ends <= now) {
                auto const run = running.front();
                running.pop_front();
                attempt_ended const event{run.attempt, attempt_end::succeeded, {}, {}, {}};
                results[source_of[run.attempt.id.request]].served += now - start >= settled ? 1 : 0;
                perform(event);
            }
            for (std::size_t i = 0; i < sources.size(); ++i) {
                owed[i] += sources[i].per_second / 1000;
                if (owed[i] >= 1) {
                    owed[i] -= 1;
                    results[i].asked += now - start >= settled ? 1 : 0;
                    arrive_from(sources[i], i);
                }
            }
        }
        return results;
    }

    struct run {
        target_attempt attempt;
        mono_time ends;
    };

    void arrive_from(load_source const& source, std::size_t index)
    {
        request_id const id(next++);
        request_arrived event{id,
                              std::make_shared<route_config const>(route),
                              desk,
                              {},
                              "c" + std::to_string(id.value),
                              deadline};
        event.terms.workspace = workspace_id(source.workspace);
        event.terms.priority = source.priority;
        source_of[id] = index;
        perform(event);
    }

    void perform(traffic_event const& event)
    {
        feed(event);
        for (auto const& sent : of_kind<send_attempt>(effects)) {
            running.push_back({sent.attempt, now + work});
        }
    }

    std::deque<run> running;
    std::map<request_id, std::size_t> source_of;
};

// Served by arrival, a workspace with a hundredth of the capacity got a third of its requests while
// another asked for four times the capacity.
TEST_F(workspace_shares_case, a_small_workspace_is_served_beside_one_that_asks_for_too_much)
{
    auto const got = play({{"big", 4 * capacity, 0}, {"small", capacity / 100, 0}}, seconds{63});
    EXPECT_GE(got[1].share(), 0.9);
    EXPECT_GE(got[0].served, 0.9 * capacity * 60);
}

TEST_F(workspace_shares_case, workspaces_that_ask_for_too_much_get_equal_shares)
{
    auto const got = play({{"a", 4 * capacity, 0}, {"b", capacity, 0}, {"c", 10, 0}}, seconds{33});
    EXPECT_NEAR(got[0].served, got[1].served, 0.25 * got[0].served);
    EXPECT_GE(got[2].share(), 0.9);
}

// Equal shares alone would leave a workspace that asks for very much next to nothing.
TEST_F(workspace_shares_case, no_workspace_is_served_under_a_quarter_as_often_as_all)
{
    std::vector<load_source> sources{{"flood", 10 * capacity, 0}};
    for (int i = 0; i < 10; ++i) {
        sources.push_back({"w" + std::to_string(i), capacity / 2, 0});
    }
    source_result all;
    auto const got = play(sources, seconds{33});
    for (source_result const& result : got) {
        all.asked += result.asked;
        all.served += result.served;
    }
    for (source_result const& result : got) {
        EXPECT_GE(result.share(), 0.25 * all.share());
    }
}

// Fairness within a class must not cost a more urgent one.
TEST_F(workspace_shares_case, a_more_urgent_class_comes_first_whatever_its_share)
{
    auto const got = play({{"urgent", capacity / 2, 0}, {"other", 4 * capacity, 1}}, seconds{33});
    EXPECT_GE(got[0].share(), 0.97);
}

TEST_F(workspace_shares_case, a_single_workspace_gets_all_capacity)
{
    auto const got = play({{"", 2 * capacity, 0}}, seconds{33});
    EXPECT_GE(got[0].served, 0.95 * capacity * 30);
}

} // namespace
} // namespace cove
