/** @file The fourth load figure: how long work takes on a target's machine now. */

#include "traffic/load_field.h"
#include "traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(load_field, has_a_fourth_figure_in_percent)
{
    auto const load = read_load_field("3,1,4,250");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 3);
    EXPECT_EQ(load->waiting, 1);
    EXPECT_EQ(load->slots, 4);
    ASSERT_TRUE(load->slowness);
    EXPECT_DOUBLE_EQ(*load->slowness, 2.5);
}

// A fourth figure that is no number above 0 must not cost the other three.
TEST(load_field, is_read_without_the_fourth_figure)
{
    for (char const* const text : {"3,1,4", "3,1,4,", "3,1,4,x", "3,1,4,0", "3,1,4,-5", "3,1,4,nan",
                                   "3,1,4,inf", "3,1,4,100x"}) {
        auto const load = read_load_field(text);
        ASSERT_TRUE(load) << text;
        EXPECT_EQ(load->slots, 4) << text;
        EXPECT_FALSE(load->slowness) << text;
    }
    for (char const* const text : {"", "3,1", "x,1,4"}) {
        EXPECT_FALSE(read_load_field(text)) << text;
    }
}

class slowness_case : public testing::Test {
protected:
    /** Ends a request after @p time_ratio times the usual time, with the figure @p reported. */
    void answer(std::optional<double> reported, double time_ratio)
    {
        now += milliseconds{20};
        send_id const id{request_id(1), send_number(1)};
        state.attempt_sent(id, {}, 20, now);
        attempt_ended event;
        event.attempt.id = id;
        event.end = attempt_end::succeeded;
        event.load = target_load{1, 0, 2, reported};
        state.attempt_ended(event, time_ratio, milliseconds{0}, now);
    }

    mono_time now{seconds{100}};
    target_state state{traffic_fixture().target("t", "home", 2), now};
};

TEST_F(slowness_case, without_the_figure_only_the_measured_times_count)
{
    answer(std::nullopt, 2);
    EXPECT_DOUBLE_EQ(state.slowness(now), 1.3);
}

// Requests went on to a machine that had just become slow, until the times of work that began after
// that had shown it.
TEST_F(slowness_case, the_figure_scales_the_expected_time_before_measured_times_do)
{
    for (int i = 0; i < 3; ++i) {
        answer(3, 1);
    }
    EXPECT_GT(state.slowness(now), 1.5);
}

// A figure that the times do not bear out, as of a machine whose usual is not 100, kept requests
// away.
TEST_F(slowness_case, measured_times_correct_a_figure_that_is_always_wrong)
{
    for (int i = 0; i < 100; ++i) {
        answer(3, 1);
    }
    EXPECT_NEAR(state.slowness(now), 1, 0.1);
}

TEST_F(slowness_case, the_figure_and_the_measured_time_are_not_counted_twice)
{
    for (int i = 0; i < 100; ++i) {
        answer(2, 2);
    }
    EXPECT_NEAR(state.slowness(now), 2, 0.2);
}

// The figure changes many times a second; following single values sent requests back and forth.
TEST_F(slowness_case, a_figure_that_alternates_counts_with_its_mean)
{
    for (int i = 0; i < 100; ++i) {
        answer(i % 2 == 0 ? 0.6 : 1.4, 1);
    }
    EXPECT_NEAR(state.slowness(now), 1, 0.15);
}

TEST_F(slowness_case, an_old_or_absurd_figure_does_not_keep_requests_away)
{
    for (int i = 0; i < 100; ++i) {
        answer(1e9, 1);
    }
    EXPECT_LE(state.slowness(now), 20);
    now += seconds{20};
    EXPECT_NEAR(state.slowness(now), 1, 0.01);
}

TEST(slowness, requests_prefer_the_target_that_reports_the_lower_figure)
{
    traffic_fixture fixture;
    fixture.route.sticky = false;
    fixture.list(2, 8);
    std::map<target_id, int> used;
    for (int i = 0; i < 60; ++i) {
        auto const id = fixture.arrive();
        ASSERT_TRUE(fixture.single<send_attempt>());
        attempt_ended event =
            traffic_fixture::ended(*fixture.single<send_attempt>(), attempt_end::succeeded);
        event.load = target_load{0, 0, 8, event.attempt.target == target_id("t0") ? 4.0 : 1.0};
        fixture.now += milliseconds{50};
        fixture.feed(event);
        used[event.attempt.target] += i >= 20 ? 1 : 0;
    }
    EXPECT_GT(used[target_id("t1")], 35);
}

} // namespace
} // namespace cove
