/** @file What the withdrawal of a send says of its reason. */

#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

class withdrawn_send : public traffic_fixture, public testing::Test {
protected:
    withdrawn_send()
    {
        list(4);
        feed(stop_announced{now + milliseconds{1000}});
        deadline = milliseconds{900};
        id = arrive("o");
        EXPECT_TRUE(single<send_attempt>());
    }

    request_id id;
};

TEST_F(withdrawn_send, names_the_end_of_the_time_and_the_age_of_the_stop)
{
    advance(milliseconds{1000});
    auto const cancelled = of_kind<cancel_attempt>(advance_effects);
    ASSERT_EQ(cancelled.size(), 1U);
    EXPECT_EQ(cancelled[0].reason, withdrawal::time_limit);
    EXPECT_EQ(cancelled[0].running_for, milliseconds{960});
    EXPECT_EQ(cancelled[0].stopping_for, milliseconds{960});
    EXPECT_FALSE(cancelled[0].cut_off_for);
}

TEST_F(withdrawn_send, names_the_client_that_has_left)
{
    feed(client_disconnected{id});
    ASSERT_TRUE(single<cancel_attempt>());
    EXPECT_EQ(single<cancel_attempt>()->reason, withdrawal::client_left);
}

} // namespace
} // namespace cove
