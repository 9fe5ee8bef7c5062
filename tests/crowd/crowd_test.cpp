#include "crowd/crowd_check.h"
#include "platform/wire_names.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::size_t large_body = 64 << 20;

// Trailers were collected without a limit: 24 clients took 2,431 MB.
TEST(crowd, trailers_without_end)
{
    expect_withstands({.clients = 24,
                       .head = post_head(chunked) + "1\r\nx\r\n0\r\n",
                       .repeated = "X-Trailer: " + std::string(1000, 't') + "\r\n",
                       .bytes = 8 << 20});
}

// Incomplete bodies of legal size counted towards no common limit.
TEST(crowd, bodies_one_byte_short)
{
    expect_withstands({.clients = 150,
                       .head = post_head(declared(body_limit)),
                       .repeated = "b",
                       .bytes = body_limit - 1});
}

// The same for complete bodies, whose requests wait for a target; each was held twice when sent.
TEST(crowd, whole_bodies)
{
    expect_withstands({.clients = 150,
                       .head = post_head(declared(body_limit)),
                       .repeated = "b",
                       .bytes = body_limit});
}

// Bodies without declared length doubled their memory while they grew.
TEST(crowd, bodies_piece_by_piece)
{
    expect_withstands({.clients = 150,
                       .head = post_head(chunked),
                       .repeated = chunk(),
                       .bytes = chunk().size() * 1000,
                       .tail = "0\r\n\r\n",
                       .piece = 4096});
}

TEST(crowd, bodies_over_the_limit_declared)
{
    expect_withstands(
        {.clients = 24, .head = post_head(declared(1 << 30)), .repeated = "b", .bytes = 32 << 20});
}

TEST(crowd, bodies_over_the_limit_just_sent)
{
    expect_withstands(
        {.clients = 24, .head = post_head(chunked), .repeated = chunk(), .bytes = 32 << 20});
}

// Clients could take all descriptors, so that no connection to a target was left.
TEST(crowd, idle_connections)
{
    expect_withstands({.clients = 900});
}

TEST(crowd, clients_that_do_not_read)
{
    std::string const get = std::string("GET /a/large HTTP/1.1\r\nHost: ") + crowd_host::host_name +
                            "\r\n" + wire::attempt_id_header + ": a\r\n\r\n";
    expect_withstands({.clients = 100, .head = get, .reads = false, .hold = milliseconds{4000}});
}

TEST(crowd, pipelined_heads_without_end)
{
    std::string const get =
        std::string("GET /a/x HTTP/1.1\r\nHost: ") + crowd_host::host_name + "\r\n\r\n";
    expect_withstands({.clients = 50, .repeated = get, .bytes = 4 << 20, .reads = false});
}

// A body was copied to be sent, so that the largest legal request took twice its size.
TEST(crowd, single_large_body_is_served)
{
    for (bool const in_chunks : {false, true}) {
        crowd_host host({.body_bytes = large_body});
        ASSERT_TRUE(host.start());
        EXPECT_EQ(host.post(std::string(large_body, 'b'), in_chunks), 200);
        process_usage const after = host.usage();
        std::printf("peak %zu kB, resident %zu kB\n", after.peak_kb, after.resident_kb);
        EXPECT_LT(after.peak_kb, max_resident_kb);
    }
}

} // namespace
} // namespace cove
