#include "http/server.h"
#include "support/free_port.h"
#include "support/scripted_server.h"

#include <boost/asio/write.hpp>
#include <cerrno>
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <vector>

namespace {

int failures_due = 0; ///< of the calls of accept() from now on
int failure = 0;      ///< errno of these calls

} // namespace

/** Takes the place of the C library's; calls that fail take the connection from the queue. */
extern "C" int accept(int listener, sockaddr* __restrict peer, socklen_t* __restrict peer_bytes)
{
    auto const taken =
        static_cast<int>(::syscall(SYS_accept4, listener, peer, peer_bytes, SOCK_CLOEXEC));
    if (taken < 0 || failures_due == 0) {
        return taken;
    }
    --failures_due;
    ::close(taken);
    errno = failure;
    return -1;
}

namespace cove {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class accept_errors : public testing::TestWithParam<int> {};

TEST_P(accept_errors, do_not_hold_up_the_connections_behind_them)
{
    constexpr int left = 3; // clients that are gone before the server takes their connections
    boost::asio::io_context loop;
    loop_timers timers(loop);
    int answered = 0;
    int reported = 0;
    std::unique_ptr<http_server> server;
    server_hooks hooks{[&](call_id call, http_request const&) {
                           ++answered;
                           server->respond(call, http_response(http::status::ok, http_version));
                       },
                       [](call_id) {}};
    hooks.accept_failed = [&](std::string const&) { ++reported; };
    server = std::make_unique<http_server>(loop, timers, std::move(hooks));
    int const port = free_port();
    ASSERT_TRUE(server->start(loopback(port)).has_value());
    loop.run_for(milliseconds{20}); // the server waits for connections
    failures_due = left;
    failure = GetParam();
    std::vector<tcp::socket> clients;
    for (int i = 0; i <= left; ++i) {
        clients.emplace_back(loop);
        clients.back().connect(
            {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
    }
    std::string const request = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    boost::asio::write(clients.back(), boost::asio::buffer(request));
    EXPECT_TRUE(run_until(
        loop, [&] { return answered == 1; }, milliseconds{1000}));
    EXPECT_EQ(reported, left);
    EXPECT_EQ(server->accept_errors(), static_cast<std::uint64_t>(left));
    failures_due = 0;
}

INSTANTIATE_TEST_SUITE_P(cases, accept_errors,
                         testing::Values(ECONNABORTED, EPROTO, ENETUNREACH, EMFILE));

} // namespace
} // namespace cove
