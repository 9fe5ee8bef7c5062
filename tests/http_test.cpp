#include "http/exchange.h"
#include "http/forwarding.h"
#include "http/server.h"
#include "support/free_port.h"
#include "support/scripted_server.h"

#include <boost/asio/read.hpp>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

namespace http = boost::beast::http;

http_request get(std::string const& target)
{
    http_request request(http::verb::get, target, 11);
    request.set(http::field::host, "desk.example");
    request.set("Attempt", "a1");
    return request;
}

response_match match_attempt(http_response const& response)
{
    return response["Attempt"] == "a1" ? response_match::this_request
                                       : response_match::other_request;
}

struct response_case {
    char const* name;
    scripted_answer answer;
    exchange_outcome outcome;
    std::string body;
    bool usable; ///< whether the connection can carry another request
};

class exchange_responses : public testing::TestWithParam<response_case> {};

TEST_P(exchange_responses, are_classified)
{
    boost::asio::io_context loop;
    scripted_server server(loop, [](std::string const&) { return GetParam().answer; });
    auto const connection =
        std::make_shared<exchange_connection>(loop, server.endpoint(), exchange_limits{});
    std::optional<exchange_result> got;
    connection->exchange(get("/a"), match_attempt,
                         [&](exchange_result result) { got = std::move(result); });
    ASSERT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    loop.restart();
    loop.run_for(milliseconds{20}); // let bytes after the response arrive
    EXPECT_EQ(got->outcome, GetParam().outcome) << got->detail;
    EXPECT_EQ(got->response.body(), GetParam().body);
    EXPECT_EQ(connection->usable(), GetParam().usable);
}

std::string const whole = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbody";
std::string const foreign = "HTTP/1.1 200 OK\r\nAttempt: z9\r\nContent-Length: 3\r\n\r\nold";

INSTANTIATE_TEST_SUITE_P(
    cases, exchange_responses,
    testing::Values(
        response_case{
            "whole", {whole, connection_action::keep}, exchange_outcome::answered, "body", true},
        response_case{"late_answer_to_another_request",
                      {foreign + whole, connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      true},
        response_case{"bytes_after_the_answer",
                      {whole + "more", connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      false},
        response_case{"second_answer",
                      {whole + foreign, connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      false},
        response_case{"truncated",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 9\r\n\r\nbody",
                       connection_action::close},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"without_length_ended_by_close",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nbody", connection_action::close},
                      exchange_outcome::answered,
                      "body",
                      false},
        response_case{"without_length_ended_by_reset",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\n\r\nbody", connection_action::reset},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"chunked",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                       connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      true},
        response_case{"chunks_cut_short",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n4\r\nbody\r\n",
                       connection_action::close},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"no_http",
                      {"garbage\r\n\r\n", connection_action::keep},
                      exchange_outcome::broken,
                      "",
                      false},
        // Guards against reads of any kind that wait for a response behind these.
        response_case{
            "status_000",
            {"HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\nbody", connection_action::keep},
            exchange_outcome::broken,
            "",
            false},
        response_case{"status_099_before_its_body",
                      {"HTTP/1.1 099 Nothing\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\n",
                       connection_action::keep},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"status_600",
                      {"HTTP/1.1 600 Odd\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbody",
                       connection_action::keep},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"status_of_two_digits",
                      {"HTTP/1.1 20 OK\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nbody",
                       connection_action::keep},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"interim_before_the_answer",
                      {"HTTP/1.1 103 Early\r\n\r\n" + whole, connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      true},
        response_case{"closed_unanswered",
                      {"", connection_action::close},
                      exchange_outcome::broken,
                      "",
                      false},
        response_case{"announced_close",
                      {"HTTP/1.1 200 OK\r\nAttempt: a1\r\nConnection: close\r\nContent-Length: "
                       "4\r\n\r\nbody",
                       connection_action::keep},
                      exchange_outcome::answered,
                      "body",
                      false}),
    [](auto const& info) { return info.param.name; });

TEST(exchange, reports_a_failed_connect_without_a_listener)
{
    boost::asio::io_context loop;
    http_endpoint const unused(boost::asio::ip::make_address("127.0.0.1"),
                               static_cast<std::uint16_t>(free_port()));
    auto const connection = std::make_shared<exchange_connection>(loop, unused, exchange_limits{});
    std::optional<exchange_result> got;
    connection->exchange(get("/a"), nullptr,
                         [&](exchange_result result) { got = std::move(result); });
    ASSERT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    EXPECT_EQ(got->outcome, exchange_outcome::connect_failed);
}

TEST(exchange, does_not_call_the_handler_after_close)
{
    boost::asio::io_context loop;
    scripted_server server(loop, [](std::string const&) {
        return scripted_answer{"", connection_action::keep}; // never answers
    });
    auto const connection =
        std::make_shared<exchange_connection>(loop, server.endpoint(), exchange_limits{});
    bool called = false;
    connection->exchange(get("/a"), match_attempt, [&](exchange_result const&) { called = true; });
    ASSERT_TRUE(run_until(loop, [&] { return connection->connected(); }));
    connection->close();
    EXPECT_TRUE(run_until(loop, [&] { return server.closed_by_peer == 1; }));
    EXPECT_FALSE(called);
}

TEST(exchange, withdraws_a_cancelled_request_that_the_peer_has_not_read)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor listener(loop);
    listener.open(boost::asio::ip::tcp::v4());
    listener.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    listener.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    listener.listen();
    auto const connection =
        std::make_shared<exchange_connection>(loop, listener.local_endpoint(), exchange_limits{});
    http_request request = get("/a");
    request.body().assign(900'000, 'x');
    request.prepare_payload();
    connection->exchange(std::move(request), match_attempt, [](exchange_result const&) {});
    loop.run_for(milliseconds{300});
    connection->close();
    loop.restart();
    loop.run_for(milliseconds{300});
    auto peer = listener.accept();
    boost::system::error_code error;
    std::string body(1'000'000, ' ');
    boost::asio::read(peer, boost::asio::buffer(body), error);
    EXPECT_EQ(error, boost::asio::error::connection_reset);
}

TEST(forwarding, removes_hop_by_hop_fields)
{
    http_request request = get("/a");
    request.set(http::field::connection, "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-End", "1");
    request.set(http::field::keep_alive, "timeout=5");
    request.set(http::field::transfer_encoding, "chunked");
    remove_hop_by_hop_fields(request);
    EXPECT_EQ(request.count("X-Hop"), 0U);
    EXPECT_EQ(request.count(http::field::connection), 0U);
    EXPECT_EQ(request.count(http::field::keep_alive), 0U);
    EXPECT_EQ(request.count(http::field::transfer_encoding), 0U);
    EXPECT_EQ(request["X-End"], "1");
}

/** A server on a free port and a raw client socket connected to it. */
class server_case : public testing::Test {
protected:
    server_case()
        : timers(loop), server(loop, timers,
                               {[this](call_id call, http_request request) {
                                    calls.push_back(call);
                                    requests.push_back(std::move(request));
                                },
                                [this](call_id) { ++disconnects; }}),
          client(loop)
    {
        int const port = free_port();
        EXPECT_TRUE(server.start("127.0.0.1:" + std::to_string(port)).has_value());
        client.connect(
            {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
        client.non_blocking(true);
    }

    void send(std::string const& bytes) { boost::asio::write(client, boost::asio::buffer(bytes)); }

    /** @return what the client has received so far. */
    std::string const& received()
    {
        char buffer[4096];
        boost::system::error_code error;
        auto const size = client.read_some(boost::asio::buffer(buffer), error);
        text.append(buffer, size);
        ended = ended || error == boost::asio::error::eof;
        return text;
    }

    bool wait_for(std::string const& part)
    {
        return run_until(loop, [&] { return received().find(part) != std::string::npos; });
    }

    boost::asio::io_context loop;
    loop_timers timers;
    std::vector<call_id> calls;
    std::vector<http_request> requests;
    int disconnects = 0;
    http_server server;
    boost::asio::ip::tcp::socket client;
    std::string text;
    bool ended = false;
};

TEST_F(server_case, passes_the_request_target_unchanged)
{
    send("PUT /a%2Fb//c/?q=%41&x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
    ASSERT_TRUE(run_until(loop, [&] { return !calls.empty(); }));
    EXPECT_EQ(requests[0].target(), "/a%2Fb//c/?q=%41&x");
    EXPECT_EQ(requests[0].method_string(), "PUT");
    EXPECT_EQ(requests[0].body(), "xyz");
}

TEST_F(server_case, reads_chunked_bodies_and_keeps_the_connection)
{
    send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(run_until(loop, [&] { return !calls.empty(); }));
    EXPECT_EQ(requests[0].body(), "abc");
    server.respond(calls[0], http_response(http::status::ok, 11));
    ASSERT_TRUE(wait_for("200 OK"));
    send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(run_until(loop, [&] { return calls.size() == 2; }));
}

struct bad_request_case {
    char const* name;
    char const* bytes;
    char const* status;
};

class server_rejections : public server_case,
                          public testing::WithParamInterface<bad_request_case> {};

TEST_P(server_rejections, have_the_matching_status)
{
    server_limits limits;
    limits.header_bytes = 512;
    limits.body_bytes = 8;
    server.set_limits(limits);
    // The open connection still has the earlier limits; a new one gets the changed ones.
    auto const endpoint = client.remote_endpoint();
    client = boost::asio::ip::tcp::socket(loop);
    client.connect(endpoint);
    client.non_blocking(true);
    send(GetParam().bytes);
    EXPECT_TRUE(wait_for(GetParam().status)) << text;
    EXPECT_TRUE(calls.empty());
    EXPECT_TRUE(run_until(loop, [&] {
        received();
        return ended;
    }));
}

std::string const long_header =
    "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    cases, server_rejections,
    testing::Values(
        bad_request_case{"header_too_long", long_header.c_str(), " 431 "},
        bad_request_case{"body_too_long", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n",
                         " 413 "},
        bad_request_case{"not_http", "nonsense\r\n\r\n", " 400 "},
        bad_request_case{"two_lengths",
                         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: "
                         "2\r\n\r\n",
                         " 400 "},
        bad_request_case{"length_and_chunks",
                         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n",
                         " 400 "}),
    [](auto const& info) { return info.param.name; });

TEST_F(server_case, reports_a_client_disconnect)
{
    send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(run_until(loop, [&] { return !calls.empty(); }));
    client.close();
    EXPECT_TRUE(run_until(
        loop, [&] { return disconnects == 1; }, milliseconds{500}));
    server.respond(calls[0], http_response(http::status::ok, 11)); // must be ignored
}

TEST_F(server_case, reports_the_disconnect_of_a_client_that_has_begun_another_request)
{
    send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(run_until(loop, [&] { return !calls.empty(); }));
    send("GET /b HT");
    run_until(
        loop, [] { return false; }, milliseconds{50});
    EXPECT_EQ(disconnects, 0);
    client.close();
    EXPECT_TRUE(run_until(
        loop, [&] { return disconnects == 1; }, milliseconds{500}));
}

TEST_F(server_case, closes_connections_after_the_response_on_shutdown)
{
    send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(run_until(loop, [&] { return !calls.empty(); }));
    server.close_after_responses();
    server.stop_accepting();
    server.close_idle(); // must not close the connection of the call in progress
    http_response response(http::status::ok, 11);
    response.body() = "whole answer";
    server.respond(calls[0], std::move(response));
    ASSERT_TRUE(wait_for("whole answer"));
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    client.close();
    EXPECT_TRUE(run_until(loop, [&] { return server.connections() == 0; }));
}

TEST_F(server_case, closes_a_connection_whose_header_times_out)
{
    server_limits limits;
    limits.header_timeout = milliseconds{100};
    server.set_limits(limits);
    send("GET /a HT");
    EXPECT_TRUE(run_until(loop, [&] {
        received();
        return ended;
    }));
    EXPECT_TRUE(calls.empty());
}

TEST(loop_timers, calls_in_order_and_not_after_cancel)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    std::string order;
    mono_time const now = read_clocks().mono;
    timers.once(now + milliseconds{20}, [&] { order += "b"; });
    timers.once(now + milliseconds{5}, [&] { order += "a"; });
    auto const cancelled = timers.once(now + milliseconds{10}, [&] { order += "x"; });
    timers.cancel(cancelled);
    auto const periodic = timers.every(milliseconds{8}, [&] { order += "."; });
    EXPECT_TRUE(run_until(loop, [&] { return order.find('b') != std::string::npos; }));
    timers.cancel(periodic);
    EXPECT_EQ(order.find('x'), std::string::npos);
    EXPECT_LT(order.find('a'), order.find('b'));
    EXPECT_NE(order.find('.'), std::string::npos);
}

TEST(memory_budget, takes_from_the_holder_of_the_most)
{
    memory_budget budget(100);
    std::vector<int> gave_back;
    auto const a = budget.join([&] { gave_back.push_back(1); });
    auto const b = budget.join([&] { gave_back.push_back(2); });
    budget.hold(a, 70);
    budget.hold(b, 30);
    EXPECT_TRUE(gave_back.empty());
    budget.hold(b, 31);
    EXPECT_EQ(gave_back, std::vector{1});
    EXPECT_EQ(budget.held(), 31U);
    budget.hold(a, 200); // no holder any more
    EXPECT_EQ(budget.held(), 31U);
    budget.hold(b, 101);
    EXPECT_EQ(gave_back, (std::vector{1, 2}));
    EXPECT_EQ(budget.held(), 0U);
    EXPECT_EQ(budget.reclaims(), 2U);
}

RC_GTEST_PROP(memory_budget, never_holds_more_than_its_limit, ())
{
    constexpr std::uint64_t limit = 1000;
    memory_budget budget(limit);
    std::map<memory_budget::holder, std::uint64_t> expected;
    auto const steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
        auto const who = std::make_shared<memory_budget::holder>();
        *who = budget.join([&expected, who] { expected.erase(*who); });
        expected[*who] = 0;
        auto const holder =
            *rc::gen::elementOf(std::vector<std::pair<const memory_budget::holder, std::uint64_t>>(
                expected.begin(), expected.end()));
        if (*rc::gen::inRange(0, 4) == 0) {
            budget.leave(holder.first);
            expected.erase(holder.first);
        }
        else {
            auto const bytes = *rc::gen::inRange<std::uint64_t>(0, 1200);
            expected[holder.first] = bytes;
            budget.hold(holder.first, bytes);
        }
        std::uint64_t sum = 0;
        for (auto const& [id, bytes] : expected) {
            sum += bytes;
        }
        RC_ASSERT(budget.held() == sum);
        RC_ASSERT(budget.held() <= limit);
    }
}

} // namespace
} // namespace cove
