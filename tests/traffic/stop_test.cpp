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
        end(id, sent->attempt.target, attempt_end::succeeded);
    }

    void stop_within(milliseconds time) { feed(stop_announced{now + time}); }

    /** Sends a request that takes several times as long as those before it, until it is overdue. */
    std::pair<request_id, target_id> run_overdue(std::optional<milliseconds> stop_after)
    {
        serve(milliseconds{100});
        request_id const id = arrive("o");
        auto const sent = single<send_attempt>();
        EXPECT_TRUE(sent);
        if (stop_after) {
            stop_within(*stop_after);
        }
        advance_effects.clear();
        advance(milliseconds{2000});
        return {id, sent->attempt.target};
    }
};

/** A request that was withdrawn as overdue before the stop and runs at a second target. */
class withdrawn_before_stop : public stopping_host {
protected:
    void SetUp() override
    {
        route.max_attempts = 3;
        route.sticky = false;
        list(3, 1);
        serve(milliseconds{900});
        id = arrive("o");
        target_id const first = single<send_attempt>()->attempt.target;
        for (int i = 0; i < 100 && attempts.at(id).target == first; ++i) {
            advance(milliseconds{20});
        }
        target = attempts.at(id).target;
        ASSERT_NE(target, first);
    }

    request_id id;
    target_id target; ///< the second one
};

// LOST: the second target refused it after the signal, and it was answered 502 with attempts left.
TEST_F(withdrawn_before_stop, is_sent_again_with_the_time_that_is_left)
{
    stop_within(milliseconds{1000});
    end(id, target, attempt_end::refused);
    ASSERT_TRUE(single<send_attempt>());
    EXPECT_EQ(single<send_attempt>()->time_left, milliseconds{1000});
    EXPECT_NE(single<send_attempt>()->attempt.target, target);
}

// LOST: as above, while no target has room.
TEST_F(withdrawn_before_stop, waits_for_room_until_answers_are_due)
{
    std::vector const others{arrive("o"), arrive("o")};
    ASSERT_EQ(attempts.size(), 4U);
    stop_within(milliseconds{1000});
    end(id, target, attempt_end::refused);
    EXPECT_TRUE(effects.empty());
    advance_effects.clear();
    advance(milliseconds{500});
    EXPECT_TRUE(of_kind<answer_locally>(advance_effects).empty());
    for (request_id const& other : others) {
        end(other, attempts.at(other).target, attempt_end::succeeded);
    }
    EXPECT_EQ(attempts.at(id).id.number, send_number(3));
}

// One that arrived later is still refused: it would be broken off when answers are due.
TEST_F(withdrawn_before_stop, does_not_make_room_for_requests_that_come_later)
{
    stop_within(milliseconds{1000});
    arrive("o");
    EXPECT_FALSE(single<send_attempt>());
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::no_room);
}

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

TEST_F(stopping_host, withdraws_overdue_requests_before_the_stop_only)
{
    run_overdue(std::nullopt);
    EXPECT_EQ(of_kind<cancel_attempt>(advance_effects).size(), 1U);
    EXPECT_EQ(of_kind<send_attempt>(advance_effects).size(), 1U);
}

// LOST: a stopping host withdrew a slow request from the target that was at work on it. The next
// target refused it, so the client got 502.
TEST_F(stopping_host, leaves_requests_at_the_target_that_is_at_work_on_them)
{
    auto const [id, target] = run_overdue(milliseconds{5000});
    EXPECT_TRUE(of_kind<cancel_attempt>(advance_effects).empty());
    EXPECT_TRUE(of_kind<send_attempt>(advance_effects).empty());
    end(id, target, attempt_end::succeeded);
    EXPECT_TRUE(single<deliver_answer>());
}

// LOST: a stopping host took itself for cut off, withdrew the requests that ran, and answered 502.
TEST_F(stopping_host, leaves_requests_at_their_targets_when_probes_fail)
{
    constexpr int requests = 6;
    list(4, requests);
    std::vector<request_id> running;
    for (int i = 0; i < requests; ++i) {
        running.push_back(arrive("o" + std::to_string(i)));
        ASSERT_TRUE(single<send_attempt>());
    }
    stop_within(milliseconds{5000});
    advance(milliseconds{1200}); // so late that the links are tested
    for (std::size_t i = of_kind<probe_target>(advance_effects).size(); i > 0; --i) {
        feed(probe_ended{false});
        EXPECT_TRUE(of_kind<cancel_attempt>(effects).empty());
    }
    ASSERT_TRUE(reducer.cut_off());
    advance(milliseconds{1000});
    EXPECT_TRUE(of_kind<cancel_attempt>(advance_effects).empty());
    EXPECT_TRUE(of_kind<answer_locally>(advance_effects).empty());
    for (request_id const& id : running) {
        end(id, attempts.at(id).target, attempt_end::succeeded);
        EXPECT_TRUE(single<deliver_answer>());
    }
}

} // namespace
} // namespace cove
