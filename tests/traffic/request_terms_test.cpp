/** @file What workspace and home regions of a request change: its order and its zones. */

#include "traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

/** Targets in this region and in another one, which has quota for this host. */
class request_terms_case : public traffic_fixture, public testing::Test {
protected:
    request_terms_case() : traffic_fixture({0.2, milliseconds{10'000}, 50}, node_id("h0"), 0.15)
    {
        route.sticky = false;
    }

    void list_both(int slots = 2, int quota = 20)
    {
        std::vector<target_entry> listed;
        for (int i = 0; i < 8; ++i) {
            listed.push_back(target("l" + std::to_string(i), "home", slots));
            listed.push_back(target("a" + std::to_string(i), "away", slots));
        }
        feed(targets_listed{listed});
        report_hosts(1, 2, {{zone_id("away"), desk, quota}});
    }

    request_id arrive_with(request_terms terms, bool relayed = false)
    {
        request_id const id(next++);
        request_arrived event{id,
                              std::make_shared<route_config const>(route),
                              desk,
                              {},
                              "c" + std::to_string(id.value),
                              deadline};
        event.terms = std::move(terms);
        event.relayed = relayed;
        feed(event);
        return id;
    }

    /** @return the first letters of the targets of the attempts in the last effects. */
    [[nodiscard]] std::string zones_used() const
    {
        std::string out;
        for (auto const& sent : of_kind<send_attempt>(effects)) {
            out += sent.attempt.target.value.substr(0, 1);
        }
        return out;
    }

    std::vector<region_id> const here{region_id("r")};
    std::vector<region_id> const there{region_id("s")};
};

// A workspace's urgent request waited behind those of its route's class.
TEST_F(request_terms_case, priority_of_the_workspace_replaces_that_of_the_route)
{
    route.priority = 3;
    feed(targets_listed{{target("l0", "home", 1)}});
    request_id const running = arrive_with({});
    arrive_with({});
    request_id const urgent = arrive_with({{}, 1, {}, {}});
    end(running, target_id("l0"), attempt_end::succeeded);
    ASSERT_TRUE(single<send_attempt>());
    EXPECT_EQ(single<send_attempt>()->attempt.id.request, urgent);
}

TEST_F(request_terms_case, a_workspace_may_lower_the_priority_too)
{
    feed(targets_listed{{target("l0", "home", 1)}});
    request_id const running = arrive_with({});
    arrive_with({{}, 5, {}, {}});
    request_id const ordinary = arrive_with({});
    end(running, target_id("l0"), attempt_end::succeeded);
    ASSERT_TRUE(single<send_attempt>());
    EXPECT_EQ(single<send_attempt>()->attempt.id.request, ordinary);
}

// Data of a workspace left its home regions.
TEST_F(request_terms_case, home_regions_of_the_workspace_bind_alone)
{
    list_both();
    arrive_with({{}, {}, there, {}});
    EXPECT_EQ(zones_used(), "a");
    arrive_with({{}, {}, here, {}});
    EXPECT_EQ(zones_used(), "l");
}

TEST_F(request_terms_case, both_lists_of_home_regions_bind)
{
    list_both();
    route.home_regions = {region_id("r"), region_id("s")};
    arrive_with({{}, {}, {region_id("s"), region_id("q")}, {}});
    EXPECT_EQ(zones_used(), "a");
}

TEST_F(request_terms_case, without_a_common_home_region_a_request_is_refused_at_once)
{
    list_both();
    route.home_regions = here;
    for (bool const relayed : {false, true}) {
        arrive_with({{}, {}, there, {}}, relayed);
        ASSERT_TRUE(single<answer_locally>());
        EXPECT_EQ(single<answer_locally>()->reason, refusal::no_target);
        EXPECT_EQ(effects.size(), 1U);
    }
    EXPECT_EQ(reducer.open_requests(), 0U);
}

// 182 of 193 requests whose home is another region were refused: the cap on shifts held them.
TEST_F(request_terms_case, requests_of_another_home_region_are_outside_the_cap_on_shifts)
{
    list_both(20);
    for (bool const by_route : {true, false}) {
        route.home_regions = by_route ? there : std::vector<region_id>{};
        for (int i = 0; i < 10; ++i) {
            arrive_with({{}, {}, by_route ? std::vector<region_id>{} : there, {}});
            EXPECT_EQ(zones_used(), "a");
        }
    }
}

TEST_F(request_terms_case, requests_of_another_home_region_are_bound_by_quota)
{
    list_both(20, 4);
    route.home_regions = there;
    std::string used;
    for (int i = 0; i < 10; ++i) {
        arrive_with({});
        used += zones_used();
    }
    EXPECT_EQ(used, "aaaa");
}

// Counted as sent, they would raise the number of others that may change region; counted as
// shifted, they would use it up.
TEST_F(request_terms_case, requests_of_another_home_region_do_not_change_the_cap_for_others)
{
    auto const shifted = [this](int homed) {
        now += seconds{10};
        list_both(10, 1000);
        std::vector<std::pair<request_id, target_id>> open;
        auto const take = [&] {
            for (auto const& sent : of_kind<send_attempt>(effects)) {
                open.emplace_back(sent.attempt.id.request, sent.attempt.target);
            }
        };
        route.home_regions = there;
        for (int i = 0; i < homed; ++i) {
            arrive_with({});
            now += milliseconds{5};
            for (auto const& sent : of_kind<send_attempt>(effects)) {
                end(sent.attempt.id.request, sent.attempt.target, attempt_end::succeeded);
            }
        }
        route.home_regions.clear();
        for (int i = 0; i < 120; ++i) {
            arrive_with({});
            take();
        }
        auto const away = std::count_if(
            open.begin(), open.end(), [](auto const& item) { return item.second.value[0] == 'a'; });
        for (auto const& [id, target] : open) {
            feed(client_disconnected{id});
        }
        advance(deadline + milliseconds{100});
        return away;
    };
    route.objective = milliseconds{1}; // no request can wait for a target of this zone
    auto const alone = shifted(0);
    EXPECT_EQ(alone, 6); // 0.5 x 0.15 of the 80 that this zone takes
    EXPECT_EQ(shifted(60), alone);
}

} // namespace
} // namespace cove
