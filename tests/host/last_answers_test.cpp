/** @file What a planned stop still owes to clients that read slowly, and what it says about that.
 */

#include "support/host_case.h"
#include "support/raw_client.h"

namespace cove {
namespace {

constexpr milliseconds grace{2000};        ///< in settings_text()
constexpr std::size_t long_body = 2 << 20; ///< of one answer
constexpr std::size_t long_answers = 4;    ///< more than the sockets take for a reader that waits

/** A host that is stopped while a client has not read the answer to its request. */
class last_answers : public host_case {
protected:
    last_answers()
        : target(loop, [](std::string const&) {
              return scripted_answer{response("200 OK", "Attempt: a1\r\nSignature: s\r\n",
                                              std::string(long_body, 'x'))};
          })
    {
        configure(1, "/a/", true);
        list({&target});
    }

    /** @return whether the host has all answers to requests so far. */
    bool idle()
    {
        std::string const text = ask(metrics_address, "/metrics").response.body();
        return text.find("\ncove_open_requests 0\n") != std::string::npos;
    }

    /** Stops the host; runs the loop until its process would end. @return its last log lines. */
    std::string stop()
    {
        testing::internal::CaptureStdout();
        ::raise(SIGTERM);
        mono_time const end = read_clocks().mono + grace;
        loop.restart();
        while (!loop.stopped() && read_clocks().mono < end) {
            loop.run_for(milliseconds{2});
        }
        EXPECT_LT(read_clocks().mono, end);
        return testing::internal::GetCapturedStdout();
    }

    scripted_server target;
};

TEST_F(last_answers, that_a_client_has_not_taken_are_in_the_log)
{
    raw_client client(loop, client_address);
    for (std::size_t i = 1; i <= long_answers; ++i) { // one at a time, as memory is bounded
        client.send(raw_request("/a/long"));
        ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == i; }));
        ASSERT_TRUE(run_until(loop, [this] { return idle(); }));
    }
    std::string const log = stop();
    EXPECT_NE(log.find("event=stopped"), std::string::npos) << log;
    EXPECT_NE(log.find("reason=grace_over connections=1 unanswered=0 "), std::string::npos) << log;
    EXPECT_EQ(log.find("unsent_answers=0 "), std::string::npos) << log;
    EXPECT_EQ(log.find("unacknowledged_bytes=0 "), std::string::npos) << log;
}

TEST_F(last_answers, that_were_all_taken_are_not_in_the_log)
{
    EXPECT_EQ(status("/a/short"), 200U);
    std::string const log = stop();
    EXPECT_NE(log.find("reason=done connections=0 unanswered=0 unsent_answers=0 "
                       "unacknowledged_bytes=0 open_requests=0"),
              std::string::npos)
        << log;
}

} // namespace
} // namespace cove
