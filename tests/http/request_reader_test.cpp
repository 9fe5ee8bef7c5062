#include "http/request_reader.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr request_limits limits{1024, 1 << 20};
constexpr char const* head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/** @return whether all of @p text is read within the limits, as the connection does it. */
bool feed(request_reader& reader, std::string text)
{
    boost::system::error_code error;
    while (!text.empty() && !reader.parse().is_done()) {
        bool const had_header = reader.parse().is_header_done();
        auto const used = reader.parse().put(boost::asio::buffer(text.data(), text.size()), error);
        text.erase(0, used);
        if (error || used == 0) {
            return false;
        }
        if (!had_header) {
            reader.start_body(used);
        }
        else if (!reader.count(used)) {
            return false;
        }
    }
    return true;
}

// A trailer could add a field, for example Authorization, to a request after it was checked.
TEST(request_reader, trailers_are_dropped)
{
    request_reader reader(limits);
    ASSERT_TRUE(feed(reader, std::string(head) + "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Extra: 1\r\n\r\n"));
    ASSERT_TRUE(reader.parse().is_done());
    http_request const request = reader.release();
    EXPECT_EQ(request.body(), "abcde");
    EXPECT_EQ(request["Host"], "a");
    EXPECT_EQ(request.count("X-Extra"), 0U);
}

// Chunks of one byte carry five bytes of framing, which did not count towards any limit.
TEST(request_reader, framing_is_limited)
{
    std::string text = head;
    for (int i = 0; i < 1000; ++i) {
        text += "1\r\nx\r\n";
    }
    request_reader reader(limits);
    EXPECT_FALSE(feed(reader, text));
}

TEST(request_reader, body_of_blocks_is_joined_in_order)
{
    constexpr std::size_t size = 600'000; // more than two blocks
    std::string expected;
    for (std::size_t i = 0; i < size; ++i) {
        expected += static_cast<char>('a' + i % 23);
    }
    body_bytes body;
    for (std::size_t at = 0; at < size; at += 1000) {
        body.append(expected.data() + at, 1000);
    }
    EXPECT_EQ(body.size(), size);
    EXPECT_TRUE(body.release() == expected);
    EXPECT_EQ(body.size(), 0U);
}

} // namespace
} // namespace cove
