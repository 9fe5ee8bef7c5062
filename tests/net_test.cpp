#include "core/address.h"
#include "net/peer_codec.h"
#include "net/threaded_http_server.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

namespace {

TEST(address, accepts_ip_addresses_only)
{
    EXPECT_TRUE(cove::parse_address("127.0.0.1:80"));
    EXPECT_TRUE(cove::parse_address("[::1]:80"));
    for (char const* bad :
         {"", "host:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        EXPECT_FALSE(cove::parse_address(bad)) << bad;
    }
}

RC_GTEST_PROP(peer_codec, hand_over_round_trips, (std::uint64_t home, std::string const& body))
{
    cove::hand_over const sent{{cove::incarnation_id{home}, cove::period_id{3}, 9},
                               2,
                               cove::service_id{"s"},
                               cove::class_id{"c"},
                               cove::milliseconds(5),
                               cove::make_payload(body)};
    auto const decoded = cove::decode_envelope(
        cove::encode_envelope({cove::node_id{"n"}, cove::incarnation_id{1}, sent}));
    RC_ASSERT(decoded.has_value());
    auto const& received = std::get<cove::hand_over>(decoded->body);
    RC_ASSERT(received.operation == sent.operation);
    RC_ASSERT(received.attempt == 2U);
    RC_ASSERT(*received.body == body);
    RC_ASSERT(received.timeout == sent.timeout);
}

RC_GTEST_PROP(peer_codec, any_bytes_decode_or_fail_cleanly, (std::string const& bytes))
{
    auto const decoded = cove::decode_envelope(bytes);
    RC_ASSERT(decoded.has_value() || !decoded.error().step.empty());
}

// Guards against a part of an answer without length that counts as the whole, because the error of
// the connection was consumed by the upload.
TEST(http_client, takes_no_answer_from_a_connection_that_breaks_in_a_long_upload)
{
    constexpr std::size_t long_upload = 16 << 20; // bytes; more than the socket buffers hold
    for (cove::milliseconds const pause : {cove::milliseconds{0}, cove::milliseconds{20}}) {
        boost::asio::io_context loop;
        cove::scripted_server const server(loop, [&](std::string const&) {
            return cove::scripted_answer{"HTTP/1.1 200 OK\r\n\r\nhalf",
                                         cove::connection_action::reset, pause};
        });
        std::jthread const thread([&loop] { loop.run(); });
        auto const answer =
            cove::make_http_client("127.0.0.1", server.endpoint().port(), cove::seconds(5))
                ->Put("/a", std::string(long_upload, 'x'), "text/plain");
        EXPECT_FALSE(answer) << answer->body;
        loop.stop();
    }
}

} // namespace
