/** @file Answers of the store that end with their connection, before they are whole. */

#include "platform/store_client.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

std::string const list_body =
    R"({"items":[{"metadata":{"name":"i-1"},"spec":{}},{"metadata":{"name":"i-2"},"spec":{}}],)"
    R"("has_more":false,"store_revision":5})";
std::string const watch_body =
    R"({"events":[{"deleted":false,"object":{"metadata":{"name":"i-3"},"spec":{}}},)"
    R"({"deleted":true,"object":{"metadata":{"name":"i-1"}}}],"store_revision":6})";

class cut_answers : public testing::Test {
protected:
    cut_answers()
        : timers(loop), store(loop,
                              [this](std::string const&) {
                                  return scripted_answer{"HTTP/1.1 200 OK\r\n\r\n" + body,
                                                         connection_action::close};
                              }),
          client(loop, timers, store.address(), hooks()), calls(client.calls().evacuations)
    {
    }

    store_hooks hooks()
    {
        store_hooks out;
        out.evacuations_listed = [this](evacuation_snapshot const&) { ++delivered; };
        out.evacuations_changed = [this](auto const&, store_position) { ++delivered; };
        out.malformed = [](std::string const&, std::string const&) {};
        return out;
    }

    boost::asio::io_context loop;
    loop_timers timers;
    std::string body;
    scripted_server store;
    store_client client;
    follow_calls calls;
    int delivered = 0;
};

// Guards against half a list, or half of the changes, that counts as the whole.
TEST_F(cut_answers, are_no_lists)
{
    for (std::size_t size = 0; size <= list_body.size(); ++size) {
        body = list_body.substr(0, size);
        delivered = 0;
        std::optional<follow_result> ended;
        calls.list(read_freshness::current, [&](follow_result const& got) { ended = got; });
        ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
        bool const whole = size == list_body.size();
        EXPECT_EQ(ended->status, whole ? follow_status::done : follow_status::failed) << body;
        EXPECT_EQ(delivered, whole ? 1 : 0) << body;
    }
}

TEST_F(cut_answers, are_no_changes)
{
    for (std::size_t size = 0; size <= watch_body.size(); ++size) {
        body = watch_body.substr(0, size);
        delivered = 0;
        std::optional<follow_result> ended;
        calls.watch(position(5, 0), {milliseconds{0}, milliseconds{1500}},
                    [&](follow_result const& got) { ended = got; });
        ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
        bool const whole = size == watch_body.size();
        EXPECT_EQ(ended->status, whole ? follow_status::done : follow_status::failed) << body;
        EXPECT_EQ(delivered, whole ? 1 : 0) << body;
    }
}

} // namespace
} // namespace cove
