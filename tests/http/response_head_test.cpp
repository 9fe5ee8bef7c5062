/** @file Responses whose header is not valid. */

#include "support/exchange_once.h"

#include <array>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>

namespace cove {
namespace {

struct line_case {
    char const* name;
    std::string line; ///< in place of a field, without its line break
};

/** Where the invalid line stands among the fields. */
enum class line_place { first, between, last, trailer };

class invalid_header_lines
    : public testing::TestWithParam<std::tuple<line_case, line_place, std::size_t>> {
protected:
    static std::string response(std::string const& line, line_place place)
    {
        auto const at = [&](line_place where) { return where == place ? line + "\r\n" : ""; };
        std::string const framing =
            place == line_place::trailer ? "Transfer-Encoding: chunked" : "Content-Length: 4";
        std::string const body = place == line_place::trailer
                                     ? "4\r\nbody\r\n0\r\n" + at(line_place::trailer) + "\r\n"
                                     : "body";
        return "HTTP/1.1 200 OK\r\n" + at(line_place::first) + "Signature: s\r\n" +
               at(line_place::between) + framing + "\r\n" + at(line_place::last) + "\r\n" + body;
    }
};

// MIXED: such an answer was passed on with the line, or with a body that was not the target's.
TEST_P(invalid_header_lines, make_the_response_invalid)
{
    auto const& [with, place, piece] = GetParam();
    boost::asio::io_context loop;
    scripted_server server(loop, [](std::string const&) { return scripted_answer{}; });
    auto const connection =
        std::make_shared<exchange_connection>(loop, server.endpoint(), exchange_limits{});
    std::optional<exchange_result> got;
    connection->exchange(http_request(boost::beast::http::verb::get, "/", http_version), nullptr,
                         [&](exchange_result result) { got = std::move(result); });
    ASSERT_TRUE(run_until(loop, [&] { return server.request_heads.size() == 1; }));
    std::string const bytes = response(with.line, place);
    for (std::size_t sent = 0; sent < bytes.size() && !got; sent += piece) {
        server.send_to_all(bytes.substr(sent, piece));
        loop.restart();
        loop.run_for(milliseconds{1});
    }
    ASSERT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    EXPECT_EQ(got->outcome, exchange_outcome::broken) << got->response.base();
    EXPECT_FALSE(connection->usable());
    EXPECT_TRUE(run_until(loop, [&] { return server.closed_by_peer == 1; }));
}

constexpr std::size_t whole = 1 << 16;

std::string
name_of(testing::TestParamInfo<std::tuple<line_case, line_place, std::size_t>> const& info)
{
    constexpr std::array places{"first", "between", "last", "trailer"};
    auto const& [with, place, piece] = info.param;
    return std::string(with.name) + "_" + places.at(static_cast<std::size_t>(place)) +
           (piece == whole ? "" : "_in_pieces");
}

INSTANTIATE_TEST_SUITE_P(
    cases, invalid_header_lines,
    testing::Combine(
        testing::Values(
            line_case{"blank_in_name", "Odd Name: x"}, line_case{"blank_before_name", " Odd: x"},
            line_case{"blank_before_colon", "Odd : x"}, line_case{"tab_in_name", "Odd\tName: x"},
            line_case{"tab_before_name", "\tOdd: x"}, line_case{"tab_before_colon", "Odd\t: x"},
            line_case{"control_byte_in_name", "Odd\x01Name: x"},
            line_case{"control_byte_before_name", "\x1fOdd: x"},
            line_case{"null_byte_in_name", std::string("Odd\0Name: x", 11)},
            line_case{"delete_byte_in_name", "Odd\x7fName: x"},
            line_case{"carriage_return_in_name", "Odd\rName: x"},
            line_case{"line_feed_in_name", "Odd\nName: x"},
            line_case{"byte_above_127_in_name", "Odd\xe9Name: x"},
            line_case{"blank_in_length", "Content Length: 2"},
            line_case{"blank_before_length", " Content-Length: 2"}, line_case{"no_name", ": x"},
            line_case{"only_blanks", "  "}, line_case{"no_colon", "Odd"}),
        testing::Values(line_place::first, line_place::between, line_place::last,
                        line_place::trailer),
        testing::Values(whole, std::size_t{7})),
    name_of);

// MIXED: an answer with the status 000 reached the client.
TEST(invalid_status, makes_the_response_invalid)
{
    for (std::string const status : {"000", "001", "099", "600", "999"}) {
        boost::asio::io_context loop;
        scripted_server server(loop, [&](std::string const&) {
            return scripted_answer{"HTTP/1.1 " + status + " Odd\r\nContent-Length: 4\r\n\r\nbody"};
        });
        auto const got = exchange_once(
            loop, server.address(), http_request(boost::beast::http::verb::get, "/", http_version));
        EXPECT_EQ(got.outcome, exchange_outcome::broken) << status;
    }
}

// Guards against a trailer that is passed on as a field of the header (RFC 9110, 6.5.1).
TEST(response_trailers, do_not_become_header_fields)
{
    boost::asio::io_context loop;
    scripted_server server(loop, [](std::string const&) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "4\r\nbody\r\n0\r\nSignature: s\r\n\r\n"};
    });
    auto const got = exchange_once(loop, server.address(),
                                   http_request(boost::beast::http::verb::get, "/", http_version));
    ASSERT_EQ(got.outcome, exchange_outcome::answered) << got.detail;
    EXPECT_EQ(got.response.body(), "body");
    EXPECT_EQ(got.response.count("Signature"), 0U);
}

} // namespace
} // namespace cove
