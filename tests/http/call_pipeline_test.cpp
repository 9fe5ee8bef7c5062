#include "http/call_pipeline.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

namespace http = boost::beast::http;

class pipeline_case : public testing::Test {
protected:
    void add(std::uint64_t id, bool concurrent, bool keep_alive = true)
    {
        http_request request(http::verb::get, "/" + std::to_string(id), http_version);
        request.keep_alive(keep_alive);
        pipeline.add({call_id(id), std::move(request), concurrent});
    }

    /** @return the ids of the requests that may run now. */
    std::vector<std::uint64_t> started()
    {
        std::vector<std::uint64_t> ids;
        while (auto call = pipeline.start_next()) {
            EXPECT_EQ(call->request.target(), "/" + std::to_string(call->id.value));
            ids.push_back(call->id.value);
        }
        return ids;
    }

    void respond(std::uint64_t id)
    {
        http_response response(http::status::ok, http_version);
        response.body() = std::to_string(id);
        pipeline.respond(call_id(id), std::move(response));
    }

    /** Sends what is due. @return its bodies, with `!` after a response that closes. */
    std::string sent(bool stopping = false)
    {
        std::string bodies;
        while (auto due = pipeline.take_response(stopping)) {
            EXPECT_FALSE(pipeline.take_response(stopping)) << "one is being sent";
            bodies += due->message.body() + (due->closes ? "!" : "");
            pipeline.sent();
        }
        return bodies;
    }

    using ids = std::vector<std::uint64_t>;
    call_pipeline pipeline{4};
};

// Guards against responses in the order in which the requests end.
TEST_F(pipeline_case, sends_responses_in_the_order_of_the_requests)
{
    add(1, true);
    add(2, true);
    add(3, true);
    EXPECT_EQ(started(), (ids{1, 2, 3}));
    respond(3);
    respond(2);
    EXPECT_EQ(sent(), "");
    respond(1);
    EXPECT_EQ(sent(), "123");
    EXPECT_TRUE(pipeline.empty());
}

// Guards against a once-only request that runs while the outcome of one before it is open.
TEST_F(pipeline_case, runs_a_serial_request_alone)
{
    add(1, true);
    add(2, true);
    add(3, false);
    EXPECT_FALSE(pipeline.accepts());
    EXPECT_EQ(started(), (ids{1, 2}));
    respond(2);
    EXPECT_EQ(started(), ids{});
    respond(1);
    EXPECT_EQ(started(), ids{}) << "the responses before it are not sent";
    EXPECT_EQ(sent(), "12");
    EXPECT_EQ(started(), ids{3});
    EXPECT_FALSE(pipeline.accepts());
    respond(3);
    EXPECT_EQ(sent(), "3");
    EXPECT_TRUE(pipeline.accepts());
}

TEST_F(pipeline_case, accepts_up_to_its_limit)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_TRUE(pipeline.accepts());
        add(id, true);
    }
    EXPECT_FALSE(pipeline.accepts());
    EXPECT_EQ(started(), (ids{1, 2, 3, 4}));
    respond(2);
    EXPECT_FALSE(pipeline.accepts()) << "a response that waits for its turn takes a place";
    respond(1);
    EXPECT_EQ(sent(), "12");
    EXPECT_TRUE(pipeline.accepts());
}

TEST_F(pipeline_case, closes_after_a_request_that_asks_for_it)
{
    add(1, true);
    add(2, true, false);
    EXPECT_FALSE(pipeline.accepts());
    EXPECT_EQ(started(), (ids{1, 2}));
    respond(2);
    respond(1);
    EXPECT_EQ(sent(), "12!");
    EXPECT_FALSE(pipeline.accepts());
}

TEST_F(pipeline_case, sends_a_rejection_in_its_turn)
{
    add(1, true);
    EXPECT_EQ(started(), ids{1});
    http_response rejection(http::status::bad_request, http_version);
    rejection.body() = "bad";
    pipeline.reject(std::move(rejection));
    EXPECT_FALSE(pipeline.accepts());
    EXPECT_EQ(sent(), "");
    respond(1);
    EXPECT_EQ(sent(), "1bad!");
}

// Guards against a planned stop that cuts off requests which already run.
TEST_F(pipeline_case, closes_after_the_last_response_when_stopping)
{
    add(1, true);
    add(2, false);
    EXPECT_EQ(started(), ids{1});
    respond(1);
    EXPECT_EQ(sent(true), "1");
    EXPECT_EQ(started(), ids{2});
    respond(2);
    EXPECT_EQ(sent(true), "2!");
}

TEST_F(pipeline_case, closes_after_the_last_response_when_ended)
{
    add(1, true);
    EXPECT_EQ(started(), ids{1});
    pipeline.end();
    EXPECT_FALSE(pipeline.accepts());
    respond(1);
    EXPECT_EQ(sent(), "1!");
}

// Guards against reports of calls that never ran, and against missing cancellations.
TEST_F(pipeline_case, cancels_only_what_runs)
{
    add(1, true);
    add(2, true);
    add(3, false);
    EXPECT_EQ(started(), (ids{1, 2}));
    respond(2);
    EXPECT_TRUE(pipeline.unanswered());
    EXPECT_EQ(pipeline.clear(), std::vector<call_id>{call_id(1)});
    EXPECT_TRUE(pipeline.empty());
    EXPECT_EQ(started(), ids{});
    respond(1); // too late
    EXPECT_EQ(sent(), "");
}

} // namespace
} // namespace cove
