/** @file Targets whose answers never end. */

#include "support/endless_server.h"
#include "support/host_case.h"

#include <fstream>

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

/** @return the largest amount of memory that this process has used so far, in bytes. */
std::size_t peak_memory()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> kilobytes;
        }
    }
    return kilobytes * 1024;
}

// LOST: the answers without end of many slots, each within its bound, took the memory of the host.
TEST_F(host_case, endless_answers_of_many_targets_leave_room_for_other_requests)
{
    constexpr std::size_t max_bytes = 80'000'000; // of the smallest host, all of its memory
    constexpr int targets = 8;
    constexpr int slots = 32;
    std::vector<std::unique_ptr<endless_server>> faulty;
    scripted_server sound(loop, [](std::string const&) { return scripted_answer{served}; });
    config_document document = desk_config(1, "/a/");
    route_config other = document.config.routes[0];
    other.name = route_id("other");
    other.prefix = "/b/";
    other.services = {{service_id("sound"), 1}};
    document.config.routes.push_back(other);
    document.config.services[service_id("desk")].max_connections = slots;
    document.config.services[service_id("sound")] = document.config.services[service_id("desk")];
    document.config.services[service_id("sound")].name = service_id("sound");
    store.config(document);
    std::vector<target_entry> entries = desk_targets({&sound});
    entries[0].service = service_id("sound");
    for (int i = 0; i < targets; ++i) {
        faulty.push_back(std::make_unique<endless_server>(
            loop, "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n",
            std::string(block_bytes, 'x')));
        target_entry entry = entries[0];
        entry.id = target_id("f" + std::to_string(i));
        entry.service = service_id("desk");
        entry.address = faulty.back()->address();
        entry.slots = slots;
        entries.push_back(entry);
    }
    store.targets_listed({entries, position(1)});
    std::size_t const before = peak_memory();
    int answered = 0;
    int served_by_faulty = 0;
    std::vector<std::shared_ptr<exchange_connection>> clients;
    for (int i = 0; i < targets * slots; ++i) {
        http_request request(boost::beast::http::verb::put, "/a/" + std::to_string(i), 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "1500");
        request.prepare_payload();
        clients.push_back(std::make_shared<exchange_connection>(loop, endpoint_of(client_address),
                                                                exchange_limits{}));
        clients.back()->exchange(std::move(request), nullptr, [&](exchange_result const& got) {
            ++answered;
            served_by_faulty += got.response.result_int() == 200 ? 1 : 0;
        });
    }
    run_until(
        loop, [] { return false; }, milliseconds{100});
    EXPECT_EQ(status("/b/1"), 200U);
    EXPECT_TRUE(run_until(loop, [&] { return answered == targets * slots; }));
    EXPECT_EQ(served_by_faulty, 0);
    EXPECT_LT(peak_memory() - before, max_bytes);
}

} // namespace
} // namespace cove
