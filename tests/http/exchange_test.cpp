/** @file Responses of faulty servers, as the client side of a connection sees them. */

#include "support/exchange_once.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::size_t long_upload = 16 << 20; ///< bytes; more than the socket buffers hold
constexpr std::size_t short_upload = 100;     ///< bytes; the server reads them with the header

http_request upload_of(std::size_t size)
{
    http_request request(boost::beast::http::verb::put, "/a/1", http_version);
    request.body().assign(size, 'x');
    request.prepare_payload();
    return request;
}

std::string const until_close = "HTTP/1.1 200 OK\r\n\r\nbody";
std::string const with_length = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
std::string const in_chunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

struct early_case {
    char const* name;
    std::string response; ///< sent as soon as the header of the request has been read
    connection_action then;
    std::size_t upload;
    exchange_outcome expected;
};

class early_responses : public testing::TestWithParam<std::tuple<early_case, milliseconds>> {};

// MIXED: a response without length that was reset while the request was still being written was
// taken as whole, because the write had consumed the error of the socket.
TEST_P(early_responses, are_whole_only_if_their_end_is_sound)
{
    early_case const& with = std::get<0>(GetParam());
    milliseconds const pause = std::get<1>(GetParam());
    boost::asio::io_context loop;
    scripted_server server(loop, [&](std::string const&) {
        return scripted_answer{with.response, with.then, pause};
    });
    exchange_result const got = exchange_once(loop, server.address(), upload_of(with.upload));
    ASSERT_EQ(got.outcome, with.expected) << got.detail << " " << got.response.body();
    if (with.expected == exchange_outcome::answered) {
        EXPECT_EQ(got.response.body(), "body");
    }
    else {
        EXPECT_TRUE(got.connection_lost) << got.detail;
    }
}

INSTANTIATE_TEST_SUITE_P(
    cases, early_responses,
    testing::Combine(
        testing::Values(
            early_case{"until_close_reset", until_close, connection_action::reset, long_upload,
                       exchange_outcome::broken},
            early_case{"until_close_closed_unread", until_close, connection_action::close,
                       long_upload, exchange_outcome::broken},
            early_case{"until_close_reset_after_the_upload", until_close, connection_action::reset,
                       short_upload, exchange_outcome::broken},
            early_case{"until_close_closed_after_the_upload", until_close, connection_action::close,
                       short_upload, exchange_outcome::answered},
            early_case{"with_length_reset", with_length, connection_action::reset, long_upload,
                       exchange_outcome::answered},
            early_case{"half_of_length_reset", with_length.substr(0, with_length.size() - 2),
                       connection_action::reset, long_upload, exchange_outcome::broken},
            early_case{"in_chunks_reset", in_chunks, connection_action::reset, long_upload,
                       exchange_outcome::answered},
            early_case{"half_of_chunks_reset", in_chunks.substr(0, in_chunks.size() - 7),
                       connection_action::reset, long_upload, exchange_outcome::broken}),
        testing::Values(milliseconds{0}, milliseconds{1}, milliseconds{20}, milliseconds{100})),
    [](auto const& info) {
        return std::string(std::get<0>(info.param).name) + "_after_" +
               std::to_string(std::get<1>(info.param).count()) + "_ms";
    });

class shared_connection : public testing::Test {
protected:
    /** Starts an exchange on `connection`. @return its outcome, once it is there. */
    std::shared_ptr<std::optional<exchange_outcome>> start()
    {
        auto const outcome = std::make_shared<std::optional<exchange_outcome>>();
        connection->exchange(
            upload_of(short_upload), nullptr,
            [outcome](exchange_result const& result) { *outcome = result.outcome; });
        return outcome;
    }

    boost::asio::io_context loop;
    std::string answer = with_length;
    scripted_server server{loop, [this](std::string const&) { return scripted_answer{answer}; }};
    std::shared_ptr<exchange_connection> connection = std::make_shared<exchange_connection>(
        loop, endpoint_of(server.address()), exchange_limits{});
};

// The timer that limits the time to connect outlives the exchange that it was started for.
TEST_F(shared_connection, that_is_established_is_not_given_up_by_a_late_connect_timer)
{
    auto const first = start();
    ASSERT_TRUE(run_until(loop, [&] { return first->has_value(); }));
    auto const second = start();
    connection->give_up_connecting();
    ASSERT_TRUE(run_until(loop, [&] { return second->has_value(); }));
    EXPECT_EQ(*second, exchange_outcome::answered);
}

// A cancelled exchange whose answer had arrived already reported its end.
TEST_F(shared_connection, that_is_closed_by_its_owner_reports_no_end)
{
    answer.clear(); // the request stays unanswered
    auto const cancelled = start();
    ASSERT_TRUE(run_until(loop, [this] { return server.request_heads.size() == 1; }));
    server.send_to_all(with_length);
    connection->close();
    connection->give_up_connecting();
    run_until(
        loop, [] { return false; }, milliseconds{50});
    EXPECT_FALSE(cancelled->has_value());
}

} // namespace
} // namespace cove
