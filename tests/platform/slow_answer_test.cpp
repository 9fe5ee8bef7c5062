#include "platform/store_client.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(store_client, reads_an_answer_that_arrives_slowly_to_its_end)
{
    constexpr milliseconds pause{700};
    constexpr int pieces = 5;
    boost::asio::io_context loop;
    loop_timers timers(loop);
    std::string const body = R"({"items":[],"store_revision":10})";
    scripted_server store(loop, [&](std::string const&) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(body.size() + pieces) + "\r\n\r\n"};
    });
    for (int i = 1; i <= pieces; ++i) {
        timers.once(read_clocks().mono + i * pause,
                    [&, i] { store.send_to_all(i == pieces ? " " + body : " "); });
    }
    store_hooks hooks;
    hooks.targets_listed = [](target_snapshot const&) {};
    store_client client(loop, timers, store.address(), hooks);
    std::optional<follow_result> ended;
    client.calls().targets.list(read_freshness::current,
                                [&](follow_result const& got) { ended = got; });
    ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
    EXPECT_EQ(ended->status, follow_status::done) << ended->detail;
    EXPECT_EQ(ended->at, position(10, 0));
}

} // namespace
} // namespace cove
