/** @file Requests whose handling fails; they cost themselves alone. */

#include "support/host_case.h"
#include "support/raw_client.h"

namespace cove {
namespace {

class failing_request : public host_case {
protected:
    failing_request() { configure(1, "/a/"); }

    /** @return all that the host answers to @p bytes on a new connection before it closes it. */
    std::string answer_to(std::string const& address, std::string const& bytes)
    {
        raw_client client(loop, address);
        client.send(bytes);
        run_until(loop, [&] {
            client.received();
            return client.ended();
        });
        return client.received();
    }

    scripted_server target{loop, [](std::string const&) { return scripted_answer{served}; }};
};

struct trace_case {
    char const* name;
    std::string content; ///< framing and content
    bool on_relay_port;
};

class trace_with_content : public failing_request,
                           public testing::WithParamInterface<trace_case> {};

TEST_P(trace_with_content, is_answered_as_a_bad_request)
{
    list({&target});
    std::string const head = "TRACE /a/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt: a1\r\n";
    auto const got = answer_to(GetParam().on_relay_port ? relay_address : client_address,
                               head + GetParam().content);
    EXPECT_EQ(got.substr(0, got.find("\r\n")), "HTTP/1.1 400 Bad Request");
    EXPECT_EQ(target.request_heads.size(), 0U);
    EXPECT_EQ(status("/a/2"), 200U);
}

INSTANTIATE_TEST_SUITE_P(
    cases, trace_with_content,
    testing::Values(trace_case{"length", "Content-Length: 3\r\n\r\nabc", false},
                    trace_case{"chunks", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                               false},
                    trace_case{"relayed", "Content-Length: 3\r\n\r\nabc", true}),
    [](auto const& info) { return info.param.name; });

TEST_F(failing_request, costs_no_other_request_and_no_slot)
{
    constexpr std::size_t too_long_for_a_field = 70'000;
    constexpr int requests = 20; // more than the target has slots
    auto entry = desk_targets({&target})[0];
    entry.id = target_id(std::string(too_long_for_a_field, 't'));
    store.targets_listed({{entry}, position(1)});
    for (int i = 0; i < requests; ++i) {
        EXPECT_EQ(status("/a/1"), 500U);
    }
    EXPECT_EQ(target.request_heads.size(), 0U);
    http_request request(boost::beast::http::verb::get, "/metrics", 11);
    auto const metrics = exchange_once(loop, metrics_address, std::move(request)).response.body();
    EXPECT_NE(metrics.find("\ncove_failed_requests 20\n"), std::string::npos);
    list({&target}, 2);
    EXPECT_EQ(status("/a/2"), 200U);
}

} // namespace
} // namespace cove
