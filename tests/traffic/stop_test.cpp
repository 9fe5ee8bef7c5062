/** @file A host that stops: which requests it still passes on. */

#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

class stopping_host : public traffic_fixture, public testing::Test {
protected:
    stopping_host()
    {
        route.timeout = deadline = milliseconds{8000};
        list(4);
    }

    /** Serves a request that takes @p time. */
    void serve(milliseconds time)
    {
        auto const id = arrive("o");
        auto const sent = single<send_attempt>();
        ASSERT_TRUE(sent);
        now += time;
        end(id, sent->target, attempt_end::succeeded);
    }

    void stop_within(milliseconds time) { feed(stop_announced{now + time}); }
};

TEST_F(stopping_host, refuses_as_not_run_what_may_not_end)
{
    serve(milliseconds{900});
    stop_within(milliseconds{1000});
    arrive("o");
    EXPECT_FALSE(single<send_attempt>());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::no_room);
}

TEST_F(stopping_host, refuses_requests_of_which_it_knows_no_time)
{
    stop_within(milliseconds{1000});
    arrive("o");
    EXPECT_FALSE(single<send_attempt>());
}

TEST_F(stopping_host, sends_short_requests_with_the_time_that_is_left)
{
    serve(milliseconds{20});
    stop_within(milliseconds{1000});
    arrive("o");
    ASSERT_TRUE(single<send_attempt>());
    EXPECT_EQ(single<send_attempt>()->time_left, milliseconds{1000});
}

TEST_F(stopping_host, sends_requests_whose_own_limit_comes_first)
{
    stop_within(milliseconds{1000});
    deadline = milliseconds{900};
    arrive("o");
    EXPECT_TRUE(single<send_attempt>());
}

} // namespace
} // namespace cove
