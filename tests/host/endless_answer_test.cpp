/** @file Targets whose answers never end. */

#include "support/endless_server.h"
#include "support/host_case.h"

namespace cove {
namespace {

constexpr std::size_t block_bytes = 65'536;

struct endless_case {
    char const* name;
    std::string first;
    std::string repeated;
};

class endless_answers : public host_case, public testing::WithParamInterface<endless_case> {};

TEST_P(endless_answers, end_with_the_truth_and_a_closed_connection)
{
    // Half of the memory of the smallest host, for the answers of all slots of one target.
    constexpr std::size_t max_bytes_per_answer = 80'000'000 / 8;
    endless_server target(loop, GetParam().first, GetParam().repeated);
    target_entry entry;
    entry.id = target_id("t0");
    entry.service = service_id("desk");
    entry.address = target.address();
    entry.zone = zone_id("east");
    entry.slots = 8;
    configure(1, "/a/");
    store.targets_listed({{entry}, position(1)});
    unsigned const got = status("/a/1");
    EXPECT_TRUE(got == 502 || got == 504) << got; // it may have run
    EXPECT_TRUE(run_until(loop, [&] { return target.closed == 1; }));
    EXPECT_EQ(target.requests, 1);
    EXPECT_LE(target.longest_answer, max_bytes_per_answer);
}

INSTANTIATE_TEST_SUITE_P(
    cases, endless_answers,
    testing::Values(
        endless_case{"field", "HTTP/1.1 200 OK\r\nX: ", std::string(block_bytes, 'x')},
        endless_case{"head_of_many_fields", "HTTP/1.1 200 OK\r\n", "Some-Field: some value\r\n"},
        endless_case{"status_line", "", std::string(block_bytes, 'x')},
        endless_case{"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_case{"answers_to_other_requests", "",
                     "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n"},
        endless_case{"body_until_close", "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n",
                     std::string(block_bytes, 'x')},
        endless_case{"chunks",
                     "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     "10000\r\n" + std::string(block_bytes, 'x') + "\r\n"},
        endless_case{"chunk_extension",
                     "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n1;",
                     std::string(block_bytes, 'x')},
        endless_case{"trailer",
                     "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                     "Some-Field: some value\r\n"}),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace cove
