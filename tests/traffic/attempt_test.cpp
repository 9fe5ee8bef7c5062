/** @file Retries, timeouts and cancellation, and the answer that the client gets. */

#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

enum class expected_outcome { another_attempt, answer_of_target, not_run, may_have_run };

struct attempt_case {
    char const* name;
    bool idempotent;
    attempt_end end;
    expected_outcome outcome;
};

class first_attempt : public testing::TestWithParam<attempt_case> {};

TEST_P(first_attempt, decides_what_follows)
{
    traffic_fixture fixture;
    fixture.list(2);
    fixture.route.idempotent = GetParam().idempotent;
    auto const id = fixture.arrive("object");
    auto const sent = fixture.single<send_attempt>();
    ASSERT_TRUE(sent);
    fixture.end(id, sent->attempt.target, GetParam().end);
    auto const again = fixture.single<send_attempt>();
    auto const self = fixture.single<answer_locally>();
    switch (GetParam().outcome) {
    case expected_outcome::another_attempt:
        ASSERT_TRUE(again);
        EXPECT_NE(again->attempt.target, sent->attempt.target);
        break;
    case expected_outcome::answer_of_target:
        EXPECT_TRUE(fixture.single<deliver_answer>());
        EXPECT_FALSE(again);
        break;
    case expected_outcome::not_run:
        ASSERT_TRUE(self);
        EXPECT_EQ(self->reason, refusal::no_room);
        EXPECT_GT(self->retry_after, milliseconds{0});
        break;
    case expected_outcome::may_have_run:
        ASSERT_TRUE(self);
        EXPECT_EQ(self->reason, refusal::lost_answer);
        EXPECT_FALSE(again);
        break;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cases, first_attempt,
    testing::Values(attempt_case{"success", false, attempt_end::succeeded,
                                 expected_outcome::answer_of_target},
                    attempt_case{"failed_once_only", false, attempt_end::failed,
                                 expected_outcome::answer_of_target},
                    attempt_case{"failed_repeatable", true, attempt_end::failed,
                                 expected_outcome::another_attempt},
                    attempt_case{"broken_once_only", false, attempt_end::broken,
                                 expected_outcome::may_have_run},
                    attempt_case{"broken_repeatable", true, attempt_end::broken,
                                 expected_outcome::another_attempt},
                    attempt_case{"refused_once_only", false, attempt_end::refused,
                                 expected_outcome::another_attempt},
                    attempt_case{"wrong_target_once_only", false, attempt_end::wrong_target,
                                 expected_outcome::another_attempt},
                    attempt_case{"unsent_once_only", false, attempt_end::not_connected,
                                 expected_outcome::another_attempt}),
    [](auto const& info) { return info.param.name; });

TEST(attempts, are_limited_by_the_route)
{
    traffic_fixture fixture;
    fixture.list(4);
    fixture.route.idempotent = false;
    auto const id = fixture.arrive("object");
    fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::refused);
    fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::refused);
    EXPECT_FALSE(fixture.single<send_attempt>());
    ASSERT_TRUE(fixture.single<answer_locally>());
    EXPECT_EQ(fixture.single<answer_locally>()->reason, refusal::no_room);
}

TEST(attempts, never_report_not_run_after_one_that_may_have_run)
{
    traffic_fixture fixture;
    fixture.list(2);
    auto const id = fixture.arrive("object");
    fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::broken);
    fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::refused);
    ASSERT_TRUE(fixture.single<answer_locally>());
    EXPECT_EQ(fixture.single<answer_locally>()->reason, refusal::lost_answer);
}

TEST(attempts, stay_within_the_retry_budget)
{
    traffic_fixture fixture({0.1, milliseconds{10'000}, 10});
    fixture.list(40, 40);
    fixture.report_hosts(1, 2);
    int retries = 0;
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        auto const id = fixture.arrive("object" + std::to_string(i));
        fixture.end(id, fixture.single<send_attempt>()->attempt.target, attempt_end::failed);
        if (auto const again = fixture.single<send_attempt>()) {
            ++retries;
            fixture.end(id, again->attempt.target, attempt_end::succeeded);
        }
    }
    EXPECT_GT(retries, 0);
    EXPECT_LE(retries, 0.1 * requests + 10.0 / 2); // half of the slack, as there are two hosts
}

TEST(time_out, cancels_the_attempt_and_answers_immediately)
{
    traffic_fixture fixture;
    fixture.list(1);
    fixture.route.idempotent = false;
    fixture.route.timeout = milliseconds{500};
    fixture.arrive();
    ASSERT_TRUE(fixture.single<send_attempt>());
    EXPECT_LE(fixture.single<send_attempt>()->time_left, fixture.route.timeout);
    fixture.advance(milliseconds{700});
    auto const self = traffic_fixture::of_kind<answer_locally>(fixture.advance_effects);
    ASSERT_EQ(self.size(), 1U);
    EXPECT_EQ(self[0].reason, refusal::gave_up);
    EXPECT_EQ(traffic_fixture::of_kind<cancel_attempt>(fixture.advance_effects).size(), 1U);
    EXPECT_LE(self[0].elapsed, fixture.route.timeout + milliseconds{100});
    EXPECT_EQ(fixture.reducer.open_requests(), 0U);
}

TEST(lost_answer, moves_an_idempotent_request_only_to_a_target_with_a_free_slot)
{
    traffic_fixture fixture;
    fixture.list(2, 1);
    auto const first = fixture.arrive("object");
    auto const at = fixture.single<send_attempt>()->attempt.target;
    fixture.route.idempotent = false;
    fixture.arrive("another"); // takes the only slot of the other target
    ASSERT_TRUE(fixture.single<send_attempt>());
    auto const busy = fixture.single<send_attempt>()->attempt.target;
    fixture.advance(milliseconds{900});
    EXPECT_TRUE(traffic_fixture::of_kind<cancel_attempt>(fixture.advance_effects).empty());
    // A success would teach that answers take 900 ms, which delays the move.
    fixture.end(request_id(first.value + 1), busy, attempt_end::failed);
    fixture.advance(milliseconds{40});
    auto const moved = traffic_fixture::of_kind<send_attempt>(fixture.advance_effects);
    ASSERT_EQ(moved.size(), 1U);
    EXPECT_EQ(moved[0].attempt.id.request, first);
    EXPECT_NE(moved[0].attempt.target, at);
}

// Guards against a second run of requests whose target merely takes the time of a cold object: the
// first run is then wasted shortly before its end, and the second one is cold as well.
TEST(lost_answer, is_not_assumed_while_a_target_without_the_object_would_still_work)
{
    constexpr milliseconds cold_time{400};
    constexpr milliseconds warm_time{100};
    traffic_fixture fixture;
    fixture.list(2);
    for (int i = 0; i < 40; ++i) {
        std::string const object = "object" + std::to_string(i);
        for (milliseconds const time : {cold_time, warm_time}) {
            request_id const id = fixture.arrive(object);
            auto const sent = fixture.single<send_attempt>();
            ASSERT_TRUE(sent);
            fixture.advance(time);
            fixture.end(id, sent->attempt.target, attempt_end::succeeded);
        }
    }
    fixture.advance_effects.clear();
    fixture.arrive("object39");
    fixture.advance(cold_time * 2); // far over the expected time at a warm target
    EXPECT_TRUE(traffic_fixture::of_kind<cancel_attempt>(fixture.advance_effects).empty());
    fixture.advance(cold_time * 2);
    EXPECT_EQ(traffic_fixture::of_kind<send_attempt>(fixture.advance_effects).size(), 1U);
}

TEST(lost_answer, does_not_move_a_non_idempotent_request)
{
    traffic_fixture fixture;
    fixture.list(2);
    fixture.route.idempotent = false;
    fixture.arrive("object");
    fixture.advance(milliseconds{1900});
    EXPECT_TRUE(fixture.advance_effects.empty());
}

TEST(client_disconnected, cancels_the_attempt_only_if_the_request_is_idempotent)
{
    for (bool const idempotent : {true, false}) {
        traffic_fixture fixture;
        fixture.list(1);
        fixture.route.idempotent = idempotent;
        auto const id = fixture.arrive();
        auto const target = fixture.single<send_attempt>()->attempt.target;
        fixture.feed(client_disconnected{id});
        EXPECT_EQ(fixture.single<cancel_attempt>().has_value(), idempotent);
        fixture.end(id, target, attempt_end::succeeded);
        EXPECT_EQ(fixture.reducer.open_requests(), 0U);
    }
}

TEST(client_disconnected, removes_a_queued_request)
{
    traffic_fixture fixture;
    fixture.list(1, 1);
    auto const running = fixture.arrive();
    auto const target = fixture.single<send_attempt>()->attempt.target;
    auto const waiting = fixture.arrive();
    EXPECT_TRUE(fixture.effects.empty());
    fixture.feed(client_disconnected{waiting});
    fixture.end(running, target, attempt_end::succeeded);
    EXPECT_FALSE(fixture.single<send_attempt>());
}

/**
 * For any sequence of attempt results, a non-idempotent request runs at most once, and the client
 * is told that it did not run only if that is true.
 */
RC_GTEST_PROP(attempts, run_a_non_idempotent_request_at_most_once, ())
{
    traffic_fixture fixture;
    fixture.list(3, 2);
    fixture.route.idempotent = false;
    fixture.route.max_attempts = *rc::gen::inRange(1, 4);
    auto const id = fixture.arrive("object");
    int runs = 0;
    int rounds = 0;
    while (auto const sent = fixture.single<send_attempt>()) {
        RC_ASSERT(++rounds < 50);
        auto const end = *rc::gen::element(attempt_end::succeeded, attempt_end::failed,
                                           attempt_end::refused, attempt_end::wrong_target,
                                           attempt_end::not_connected, attempt_end::broken);
        runs += end == attempt_end::succeeded || end == attempt_end::failed ||
                        end == attempt_end::broken
                    ? 1
                    : 0;
        fixture.end(id, sent->attempt.target, end);
    }
    fixture.advance(milliseconds{2500});
    RC_ASSERT(runs <= 1);
    auto const self = fixture.single<answer_locally>();
    if (self && (self->reason == refusal::no_room || self->reason == refusal::no_target)) {
        RC_ASSERT(runs == 0);
    }
    RC_ASSERT(fixture.reducer.open_requests() == 0U);
}

} // namespace
} // namespace cove
