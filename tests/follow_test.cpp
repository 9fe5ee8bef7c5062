#include "follow/follower.h"
#include "follow/lag_watch.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

/** A store whose answers a test gives by hand. */
class follower_case : public testing::Test {
protected:
    follower_case() : timers(loop), under_test(timers, calls(), 1) {}

    follow_calls calls()
    {
        follow_calls out;
        out.list = [this](follow_calls::done done) {
            ++lists;
            answer = std::move(done);
        };
        out.watch = [this](revision from, follow_calls::done done) {
            ++watches;
            watched_from = from;
            answer = std::move(done);
        };
        out.abort = [this] {
            ++aborts;
            answer = nullptr;
        };
        out.reachable = [this](bool up, std::string const&) { up ? ++regained : ++lost; };
        return out;
    }

    void reply(follow_end end, std::uint64_t at = 0)
    {
        auto const done = std::move(answer);
        answer = nullptr;
        done({end, revision(at), "detail"});
    }

    bool asked_again()
    {
        return run_until(
            loop, [this] { return answer != nullptr; }, milliseconds{2000});
    }

    boost::asio::io_context loop;
    loop_timers timers;
    follow_calls::done answer;
    int lists = 0;
    int watches = 0;
    int aborts = 0;
    int lost = 0;
    int regained = 0;
    revision watched_from;
    follower under_test;
};

TEST_F(follower_case, lists_once_and_then_watches_from_there)
{
    under_test.set_active(true);
    under_test.start(true);
    reply(follow_end::done, 40);
    ASSERT_TRUE(asked_again());
    EXPECT_EQ(watched_from, revision(40));
    reply(follow_end::done, 44);
    ASSERT_TRUE(asked_again());
    EXPECT_EQ(watched_from, revision(44));
    EXPECT_EQ(lists, 1);
}

TEST_F(follower_case, lists_anew_when_the_history_is_gone)
{
    under_test.set_active(true);
    under_test.start(true);
    reply(follow_end::done, 40);
    ASSERT_TRUE(asked_again());
    reply(follow_end::history_gone);
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, tells_of_an_outage_and_its_end_once)
{
    under_test.set_active(true);
    under_test.start(true);
    reply(follow_end::failed);
    ASSERT_TRUE(asked_again());
    reply(follow_end::failed);
    ASSERT_TRUE(asked_again());
    EXPECT_FALSE(under_test.reachable());
    reply(follow_end::done, 1);
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(regained, 1);
    EXPECT_TRUE(under_test.reachable());
}

TEST_F(follower_case, lists_but_does_not_watch_while_others_do)
{
    under_test.start(true);
    reply(follow_end::done, 40);
    EXPECT_FALSE(run_until(
        loop, [this] { return answer != nullptr; }, milliseconds{400}));
    under_test.set_active(true);
    EXPECT_EQ(watches, 1);
    under_test.set_active(false);
    EXPECT_EQ(aborts, 1);
    under_test.set_active(true);
    EXPECT_EQ(watches, 2);
}

TEST_F(follower_case, waits_with_its_list_until_it_is_to_watch)
{
    under_test.start(false);
    EXPECT_EQ(lists, 0);
    under_test.set_active(true);
    EXPECT_EQ(lists, 1);
    under_test.set_active(false);
    under_test.set_active(true);
    EXPECT_EQ(lists, 1);
}

constexpr milliseconds patience{600};
constexpr milliseconds tick{250};

TEST(lag_watch, asks_for_what_stays_missing)
{
    lag_watch lag;
    known_versions const own{generation(1), revision(10), revision(5)};
    known_versions const peer{generation(1), revision(12), revision(5)};
    mono_time now{seconds{100}};
    EXPECT_FALSE(lag.ask_now(own, peer, patience, now)); // a push may be under way
    EXPECT_TRUE(lag.ask_now(own, peer, patience, now + patience));
    EXPECT_FALSE(lag.ask_now(own, peer, patience, now + patience + tick)); // just asked
    EXPECT_TRUE(lag.ask_now(own, peer, patience, now + patience + seconds{1}));
}

TEST(lag_watch, asks_for_nothing_while_each_change_arrives_soon)
{
    lag_watch lag;
    mono_time now{seconds{100}};
    for (std::uint64_t change = 1; change < 100; ++change) {
        known_versions const own{generation(1), revision(change), revision(1)};
        known_versions const peer{generation(1), revision(change + 1), revision(1)};
        EXPECT_FALSE(lag.ask_now(own, peer, patience, now)) << change;
        now += tick;
    }
}

TEST(lag_watch, asks_at_once_without_patience)
{
    lag_watch lag;
    known_versions const peer{generation(3), revision(0), revision(0)};
    EXPECT_TRUE(lag.ask_now({}, peer, milliseconds{0}, mono_time{seconds{100}}));
}

} // namespace
} // namespace cove
