/** @file Following a store whose connections fall silent. */

#include "follow/follower.h"
#include "platform/store_client.h"
#include "support/position.h"
#include "support/scripted_server.h"
#include "support/silent_link.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr milliseconds contact{3000}; ///< the shortest of the deployments

std::string answer_with(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A follower of the targets of a store that answers lists, and watches only if told to. */
class silent_store : public testing::Test {
protected:
    silent_store()
        : timers(loop), store(loop, [this](std::string const& head) { return answer(head); })
    {
    }

    scripted_answer answer(std::string const& head)
    {
        if (head.find("watch=") == std::string::npos) {
            return {answer_with(R"({"items":[],"store_revision":10})")};
        }
        ++watches;
        return {answers_watches ? answer_with(R"({"events":[],"store_revision":11})") : unfinished};
    }

    void follow()
    {
        store_hooks hooks;
        hooks.targets_listed = [](target_snapshot const&) {};
        hooks.targets_changed = [this](target_changes const& changes) { known = changes.to; };
        client = std::make_unique<store_client>(loop, timers, store.address(), hooks);
        follow_calls calls = client->calls().targets;
        calls.reachable = [](bool, std::string const&) {};
        subject = std::make_unique<follower>(timers, calls, 1);
        subject->set_silence_max(silence_max);
        subject->set_active(true);
        subject->start(true);
        ASSERT_TRUE(run_until(loop, [this] { return watches == 1; }));
        answers_watches = true;
    }

    /** @return the time until the follower gets the answer to a watch. */
    milliseconds time_until_answered()
    {
        mono_time const start = read_clocks().mono;
        EXPECT_TRUE(run_until(
            loop, [this] { return known == position(11, 0); }, milliseconds{12'000}));
        return std::chrono::duration_cast<milliseconds>(read_clocks().mono - start);
    }

    boost::asio::io_context loop;
    loop_timers timers;
    scripted_server store;
    std::unique_ptr<store_client> client;
    std::unique_ptr<follower> subject;
    bool answers_watches = false;
    std::string unfinished; ///< sent in place of an answer to a watch
    milliseconds silence_max = watch_timing::default_silence_max;
    int watches = 0;
    store_position known;
};

TEST_F(silent_store, a_watch_on_a_silent_connection_is_replaced_within_contact)
{
    follow();
    ASSERT_EQ(silence_connections_to(store.endpoint().port()), 1);
    EXPECT_LT(time_until_answered(), contact);
}

TEST_F(silent_store, a_watch_whose_answer_is_lost_is_repeated_within_contact_and_drain)
{
    constexpr milliseconds drain{2000}; ///< the shortest of the deployments
    silence_max = drain + watch_timing::max_timeout;
    follow();
    EXPECT_LT(time_until_answered(), contact + drain);
}

/// Of a first follower: three quarters of contact.
constexpr milliseconds leader_silence_max{2250};

TEST_F(silent_store, a_watch_of_a_first_follower_whose_answer_is_lost_is_repeated_within_contact)
{
    silence_max = leader_silence_max;
    follow();
    EXPECT_LT(time_until_answered(), contact);
}

// CONFIG, DRAIN: bytes of an answer put off the end of its call by 1.5 s.
TEST_F(silent_store, a_watch_whose_answer_breaks_off_is_repeated_within_contact)
{
    silence_max = leader_silence_max;
    unfinished = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{";
    follow();
    EXPECT_LT(time_until_answered(), contact);
}

} // namespace
} // namespace cove
