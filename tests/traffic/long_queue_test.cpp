/** @file Long queues: the cost of a turn is bounded, and nobody waits longer for it. */

#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

/** All slots of a zone are taken, and requests wait. */
class long_queue : public traffic_fixture, public testing::Test {
protected:
    static constexpr int target_count = 20;
    static constexpr int slots = 2;

    long_queue()
    {
        route.timeout = deadline = milliseconds{60'000};
        list(target_count, slots);
    }

    /** Lets requests arrive until @p count wait. @param objects that they concern; 0: none. */
    void fill_queue(std::size_t count, std::uint64_t objects = 97)
    {
        for (std::size_t i = 0; i < 2 * count && reducer.queued_requests() < count; ++i) {
            request_id const id = arrive(objects == 0 ? "" : "o" + std::to_string(next % objects));
            if (auto const sent = single<send_attempt>()) {
                running[id] = sent->attempt.target;
            }
        }
        ASSERT_EQ(reducer.queued_requests(), count);
    }

    /** @return how many requests were ranked during @p event. */
    std::uint64_t ranked_by(traffic_event const& event)
    {
        auto const before = reducer.ranked_requests();
        feed(event);
        return reducer.ranked_requests() - before;
    }

    std::uint64_t ranked_by_end()
    {
        auto const [id, target] = *running.begin();
        running.erase(running.begin());
        attempt_ended const event = ended(id, target, attempt_end::succeeded);
        now += milliseconds{1};
        return ranked_by(event);
    }

    std::map<request_id, target_id> running;
};

TEST_F(long_queue, does_not_lengthen_the_turn_of_an_ended_attempt_or_a_tick)
{
    constexpr std::uint64_t bound = 100; // of a host that serves hundreds of requests a second
    fill_queue(800);
    std::uint64_t most = 0;
    for (int i = 0; i < 20; ++i) {
        most = std::max(most, ranked_by_end());
        now += milliseconds{20};
        most = std::max(most, ranked_by(timer_tick{}));
    }
    EXPECT_LE(most, bound);
}

TEST_F(long_queue, a_slot_that_becomes_free_is_used_at_once)
{
    fill_queue(800);
    for (int i = 0; i < 20; ++i) {
        ranked_by_end();
        auto const sent = of_kind<send_attempt>(effects);
        EXPECT_EQ(sent.size(), 1U);
    }
}

TEST_F(long_queue, all_its_requests_are_sent_when_there_is_room)
{
    constexpr std::size_t waiting = 200;
    fill_queue(waiting, 0); // those with objects may prefer to wait
    entries.push_back(target("spare", "home", 2 * waiting));
    feed(targets_listed{entries});
    std::size_t sent = of_kind<send_attempt>(effects).size();
    advance(milliseconds{200});
    sent += of_kind<send_attempt>(advance_effects).size();
    EXPECT_GE(sent, waiting);
    EXPECT_EQ(reducer.queued_requests(), 0U);
}

TEST_F(long_queue, requests_without_time_left_are_refused_within_a_tick)
{
    constexpr std::size_t waiting = 800;
    fill_queue(waiting);
    now += deadline + milliseconds{100}; // the answers of targets may come a little late
    EXPECT_EQ(of_kind<answer_locally>(feed(timer_tick{})).size(), waiting + running.size());
    EXPECT_EQ(reducer.queued_requests(), 0U);
}

} // namespace
} // namespace cove
