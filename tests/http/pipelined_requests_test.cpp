/** @file Several requests of one connection, over loopback. */

#include "http/server.h"
#include "support/free_port.h"
#include "support/raw_client.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>
#include <map>

namespace cove {
namespace {

namespace http = boost::beast::http;

/** @return a request; the server of the tests runs those below /serial/ alone. */
std::string request_of(std::string const& method, std::string const& path,
                       std::string const& fields = "")
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string get_of(std::string const& path, std::string const& fields = "")
{
    return request_of("GET", path, fields);
}

class pipelined_requests : public testing::Test {
protected:
    pipelined_requests() : timers(loop)
    {
        server_hooks hooks{[this](call_id call, http_request request) {
                               std::string const path = to_std_string(request.target());
                               bodies[path] = request.body();
                               order += path + " ";
                               running[path] = call;
                           },
                           [this](call_id call) {
                               cancelled += std::erase_if(running, [call](auto const& each) {
                                   return each.second == call;
                               });
                           }};
        hooks.concurrent = [](http_request const& request) {
            return !request.target().starts_with("/serial/");
        };
        server = std::make_unique<http_server>(loop, timers, std::move(hooks));
        address = loopback(free_port());
        EXPECT_TRUE(server->start(address).has_value());
        client = std::make_unique<raw_client>(loop, address);
    }

    void respond(std::string const& path)
    {
        http_response response(http::status::ok, http_version);
        response.body() = "answer to " + path;
        server->respond(running.at(path), std::move(response));
        running.erase(path);
    }

    bool runs(std::size_t count)
    {
        return run_until(loop, [&] { return running.size() == count; });
    }

    void pause()
    {
        run_until(
            loop, [] { return false; }, milliseconds{60});
    }

    /** @return the texts of @p parts that the client has received, once the last one is there. */
    std::string received(std::vector<std::string> const& parts)
    {
        EXPECT_TRUE(run_until(
            loop, [&] { return client->received().find(parts.back()) != std::string::npos; },
            milliseconds{2000}))
            << client->received();
        std::map<std::size_t, std::string> found;
        for (std::string const& part : parts) {
            if (auto const at = client->received().find(part); at != std::string::npos) {
                found[at] = part;
            }
        }
        std::string text;
        for (auto const& [at, part] : found) {
            text += part + ",";
        }
        return text;
    }

    bool ended()
    {
        return run_until(loop, [&] {
            for (std::size_t before = 0; before != client->received().size();) {
                before = client->received().size();
            }
            return client->ended();
        });
    }

    boost::asio::io_context loop;
    loop_timers timers;
    std::map<std::string, std::string> bodies;
    std::map<std::string, call_id> running;
    std::string order; ///< of the starts
    std::size_t cancelled = 0;
    std::unique_ptr<http_server> server;
    std::string address;
    std::unique_ptr<raw_client> client;
};

TEST_F(pipelined_requests, run_at_once_and_are_answered_in_order)
{
    client->send(get_of("/a") + get_of("/b") + request_of("PUT", "/c", "Content-Length: 4\r\n") +
                 "body" + get_of("/d"));
    ASSERT_TRUE(runs(4));
    EXPECT_EQ(bodies["/c"], "body");
    respond("/d");
    respond("/c");
    respond("/b");
    pause();
    EXPECT_EQ(client->received(), "");
    respond("/a");
    EXPECT_EQ(received({"answer to /a", "answer to /b", "answer to /c", "answer to /d"}),
              "answer to /a,answer to /b,answer to /c,answer to /d,");
    client->send(get_of("/e"));
    EXPECT_TRUE(runs(1)) << "the connection stays open";
}

TEST_F(pipelined_requests, wait_for_and_behind_one_that_runs_alone)
{
    client->send(get_of("/a") + get_of("/serial/b") + get_of("/c"));
    ASSERT_TRUE(runs(1));
    pause();
    EXPECT_EQ(order, "/a ");
    respond("/a");
    ASSERT_TRUE(runs(1));
    pause();
    EXPECT_EQ(order, "/a /serial/b ");
    respond("/serial/b");
    ASSERT_TRUE(runs(1));
    EXPECT_EQ(order, "/a /serial/b /c ");
}

TEST_F(pipelined_requests, are_read_up_to_the_limit)
{
    std::string all;
    for (int i = 10; i < 30; ++i) {
        all += get_of("/" + std::to_string(i));
    }
    client->send(all);
    ASSERT_TRUE(runs(16));
    pause();
    EXPECT_EQ(running.size(), 16U);
    respond("/11"); // its turn has not come, so it still takes a place
    pause();
    EXPECT_EQ(running.size(), 15U);
    respond("/10");
    EXPECT_TRUE(runs(16));
    EXPECT_EQ(running.count("/27"), 1U);
}

struct leaving_case {
    char const* name;
    std::string sent;
    std::size_t running;
};

class leaving_client : public pipelined_requests,
                       public testing::WithParamInterface<leaving_case> {};

TEST_P(leaving_client, cancels_all_its_requests)
{
    client->send(GetParam().sent);
    ASSERT_TRUE(runs(GetParam().running));
    pause();
    std::string const started = order;
    client->leave(departure::close);
    EXPECT_TRUE(run_until(
        loop, [&] { return cancelled == GetParam().running; }, milliseconds{500}));
    EXPECT_EQ(server->connections(), 0U);
    EXPECT_EQ(order, started);
}

std::string many_requests()
{
    std::string all;
    for (int i = 10; i < 30; ++i) {
        all += get_of("/" + std::to_string(i));
    }
    return all;
}

INSTANTIATE_TEST_SUITE_P(
    cases, leaving_client,
    testing::Values(
        leaving_case{"running", get_of("/a") + get_of("/b"), 2},
        leaving_case{"with_one_that_waits", get_of("/a") + get_of("/serial/b") + get_of("/c"), 1},
        leaving_case{"over_the_limit", many_requests(), 16},
        leaving_case{"in_a_header", get_of("/a") + "GET /b HT", 1},
        leaving_case{"in_a_body",
                     get_of("/a") + request_of("PUT", "/b", "Content-Length: 4\r\n") + "bo", 1},
        leaving_case{"before_a_continue",
                     get_of("/a") +
                         request_of("PUT", "/b", "Content-Length: 4\r\nExpect: 100-continue\r\n"),
                     1},
        leaving_case{"behind_a_malformed_one", get_of("/a") + "nonsense\r\n\r\n", 1}),
    [](auto const& info) { return info.param.name; });

TEST_F(pipelined_requests, are_cancelled_when_the_client_closes_its_sending_side)
{
    client->send(get_of("/a") + get_of("/b"));
    ASSERT_TRUE(runs(2));
    respond("/b");
    client->end_sending();
    EXPECT_TRUE(run_until(
        loop, [&] { return cancelled == 1; }, milliseconds{500}));
    EXPECT_TRUE(ended());
}

// Guards against an end of input that cuts off a response which is being sent.
TEST_F(pipelined_requests, whose_response_is_being_sent_survive_the_end_of_input)
{
    constexpr std::size_t size = 16 << 20; // more than the socket buffers take
    client->send(get_of("/a"));
    ASSERT_TRUE(runs(1));
    http_response response(http::status::ok, http_version);
    response.body().assign(size, 'x');
    server->respond(running.at("/a"), std::move(response));
    pause();
    client->end_sending();
    pause();
    EXPECT_TRUE(ended());
    EXPECT_GT(client->received().size(), size);
}

// Guards against two reads into one buffer when a time-out comes while the last response is
// written.
TEST_F(pipelined_requests, whose_response_is_being_sent_survive_the_time_out_of_the_next)
{
    constexpr std::size_t size = 16 << 20; // more than the socket buffers take
    server_limits limits;
    limits.header_timeout = milliseconds{50};
    server->set_limits(limits);
    client->send(get_of("/a") + "GET /b HT");
    ASSERT_TRUE(runs(1));
    http_response response(http::status::ok, http_version);
    response.body().assign(size, 'x');
    server->respond(running.at("/a"), std::move(response));
    run_until(
        loop, [] { return false; }, milliseconds{500}); // past the time-out
    EXPECT_TRUE(ended());
    EXPECT_GT(client->received().size(), size);
}

TEST_F(pipelined_requests, behind_connection_close_are_dropped)
{
    client->send(get_of("/a") + get_of("/b", "Connection: close\r\n") + get_of("/c"));
    ASSERT_TRUE(runs(2));
    pause();
    respond("/b");
    respond("/a");
    EXPECT_EQ(received({"answer to /a", "Connection: close", "answer to /b"}),
              "answer to /a,Connection: close,answer to /b,");
    EXPECT_TRUE(ended());
    EXPECT_EQ(order, "/a /b ");
    EXPECT_EQ(cancelled, 0U);
}

TEST_F(pipelined_requests, before_a_malformed_one_are_answered)
{
    client->send(get_of("/a") + "nonsense\r\n\r\n" + get_of("/c"));
    ASSERT_TRUE(runs(1));
    pause();
    EXPECT_EQ(client->received(), "");
    respond("/a");
    EXPECT_EQ(received({"answer to /a", " 400 "}), "answer to /a, 400 ,");
    EXPECT_TRUE(ended());
    EXPECT_EQ(order, "/a ");
}

// Guards against a time-out of the next request that costs the one in progress.
TEST_F(pipelined_requests, before_one_that_times_out_are_answered)
{
    server_limits limits;
    limits.header_timeout = milliseconds{100};
    server->set_limits(limits);
    client->send(get_of("/a") + "GET /b HT");
    ASSERT_TRUE(runs(1));
    run_until(
        loop, [] { return false; }, milliseconds{500});
    respond("/a");
    EXPECT_EQ(received({"Connection: close", "answer to /a"}), "Connection: close,answer to /a,");
    EXPECT_TRUE(ended());
}

// Guards against a planned stop that cuts off requests which the host has accepted.
TEST_F(pipelined_requests, in_progress_are_answered_when_the_server_stops)
{
    client->send(get_of("/a") + get_of("/b"));
    ASSERT_TRUE(runs(2));
    server->close_after_responses();
    server->stop_accepting();
    server->close_idle();
    client->send(get_of("/c"));
    respond("/a");
    pause();
    EXPECT_EQ(client->received().find("Connection: close"), std::string::npos);
    respond("/b");
    EXPECT_EQ(received({"answer to /a", "Connection: close", "answer to /b"}),
              "answer to /a,Connection: close,answer to /b,");
    EXPECT_TRUE(ended());
    EXPECT_EQ(order, "/a /b ");
}

struct stop_case {
    char const* name;
    char const* first;
    char const* second;
    bool accepts; ///< connections, when the first response is sent
};

class stopping_server : public pipelined_requests, public testing::WithParamInterface<stop_case> {};

// Guards against a planned stop that drops requests which have been read with the one before them.
TEST_P(stopping_server, answers_the_requests_that_it_has_read)
{
    std::string const first = GetParam().first;
    std::string const second = GetParam().second;
    server->close_after_responses();
    client->send(get_of(first) + get_of(second));
    ASSERT_TRUE(run_until(loop, [&] { return running.contains(first); }));
    if (!GetParam().accepts) {
        server->stop_accepting();
        server->close_idle();
    }
    respond(first);
    ASSERT_TRUE(run_until(loop, [&] { return running.contains(second); }));
    server->close_idle();
    EXPECT_EQ(client->received().find("Connection: close"), std::string::npos);
    respond(second);
    EXPECT_EQ(received({"answer to " + first, "Connection: close", "answer to " + second}),
              "answer to " + first + ",Connection: close,answer to " + second + ",");
    EXPECT_TRUE(ended());
    EXPECT_EQ(cancelled, 0U);
}

INSTANTIATE_TEST_SUITE_P(cases, stopping_server,
                         testing::Values(stop_case{"concurrent", "/a", "/b", true},
                                         stop_case{"concurrent_late", "/a", "/b", false},
                                         stop_case{"one_by_one", "/serial/a", "/serial/b", true},
                                         stop_case{"one_by_one_late", "/serial/a", "/serial/b",
                                                   false}),
                         [](auto const& info) { return info.param.name; });

// Guards against a planned stop that drops what arrives behind a request in progress.
TEST_F(pipelined_requests, that_arrive_early_in_a_stop_are_answered)
{
    client->send(get_of("/serial/a"));
    ASSERT_TRUE(runs(1));
    server->close_after_responses();
    client->send(get_of("/serial/b"));
    pause();
    respond("/serial/a");
    ASSERT_TRUE(runs(1));
    respond("/serial/b");
    EXPECT_EQ(received({"answer to /serial/a", "Connection: close", "answer to /serial/b"}),
              "answer to /serial/a,Connection: close,answer to /serial/b,");
    EXPECT_TRUE(ended());
}

// Guards against a planned stop that closes a connection as idle although a request has arrived.
TEST_F(pipelined_requests, that_are_not_read_yet_when_idle_connections_close_are_answered)
{
    ASSERT_TRUE(run_until(loop, [&] { return server->connections() == 1; }));
    server->close_after_responses();
    client->send(get_of("/a"));
    server->stop_accepting();
    server->close_idle();
    ASSERT_TRUE(runs(1));
    respond("/a");
    EXPECT_EQ(received({"Connection: close", "answer to /a"}), "Connection: close,answer to /a,");
    EXPECT_TRUE(ended());
}

// Guards against a planned stop that resets connections which the system has established.
TEST_F(pipelined_requests, on_connections_that_wait_to_be_accepted_are_answered_in_a_stop)
{
    constexpr std::size_t count = 3;
    ASSERT_TRUE(run_until(loop, [&] { return server->connections() == 1; }));
    std::vector<std::unique_ptr<raw_client>> waiting;
    for (std::size_t i = 0; i < count; ++i) {
        waiting.push_back(std::make_unique<raw_client>(loop, address));
        waiting.back()->send(get_of("/" + std::to_string(i)));
    }
    server->close_after_responses();
    server->stop_accepting();
    server->close_idle();
    ASSERT_TRUE(runs(count));
    for (std::size_t i = 0; i < count; ++i) {
        client = std::move(waiting[i]);
        std::string const path = "/" + std::to_string(i);
        respond(path);
        EXPECT_EQ(received({"Connection: close", "answer to " + path}),
                  "Connection: close,answer to " + path + ",");
    }
}

class unfinished_request : public pipelined_requests,
                           public testing::WithParamInterface<std::string> {};

TEST_P(unfinished_request, is_refused_behind_those_in_progress)
{
    client->send(get_of("/a") + GetParam());
    ASSERT_TRUE(runs(1));
    pause();
    server->refuse_unfinished();
    client->send("dy" + get_of("/c"));
    pause();
    respond("/a");
    EXPECT_EQ(received({"answer to /a", " 503 "}), "answer to /a, 503 ,");
    EXPECT_TRUE(ended());
    EXPECT_EQ(order, "/a ");
}

INSTANTIATE_TEST_SUITE_P(
    cases, unfinished_request,
    testing::Values("GET /b HT", request_of("PUT", "/b", "Content-Length: 4\r\n") + "bo",
                    request_of("PUT", "/b", "Content-Length: 4\r\nExpect: 100-continue\r\n")));

TEST_F(pipelined_requests, heads_have_no_body)
{
    client->send(request_of("HEAD", "/a") + get_of("/b"));
    ASSERT_TRUE(runs(2));
    respond("/b");
    http_response response(http::status::ok, http_version);
    response.content_length(7);
    server->respond(running.at("/a"), std::move(response));
    EXPECT_EQ(received({"Content-Length: 7\r\n\r\nHTTP/1.1 200", "answer to /b"}),
              "Content-Length: 7\r\n\r\nHTTP/1.1 200,answer to /b,");
}

// Guards against an interim response in the middle of, or ahead of, the response before it.
TEST_F(pipelined_requests, are_asked_for_their_body_in_turn)
{
    client->send(get_of("/a") +
                 request_of("PUT", "/b", "Content-Length: 4\r\nExpect: 100-continue\r\n"));
    ASSERT_TRUE(runs(1));
    pause();
    EXPECT_EQ(client->received(), "");
    respond("/a");
    EXPECT_EQ(received({"answer to /a", "100 Continue"}), "answer to /a,100 Continue,");
    client->send("body" + get_of("/c"));
    ASSERT_TRUE(runs(2));
    EXPECT_EQ(bodies["/b"], "body");
}

} // namespace
} // namespace cove
