/** @file Clients that send several requests before the first is answered. */

#include "support/host_case.h"
#include "support/raw_client.h"

namespace cove {
namespace {

class pipelined_client : public host_case, public testing::WithParamInterface<bool> {};

// Counts the requests that are at the target at once, as times vary with the load of the machine.
TEST_P(pipelined_client, has_only_idempotent_requests_run_at_once)
{
    constexpr std::size_t requests = 4;
    scripted_server target(loop, [](std::string const&) { return scripted_answer{""}; });
    configure(1, "/a/", GetParam());
    list({&target});
    raw_client client(loop, client_address);
    std::string all;
    for (std::size_t i = 0; i < requests; ++i) {
        all += raw_request("/a/" + std::to_string(i));
    }
    client.send(all);
    std::size_t const at_once = GetParam() ? requests : 1;
    ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == at_once; }));
    run_until(
        loop, [] { return false; }, milliseconds{50});
    EXPECT_EQ(target.request_heads.size(), at_once);
    client.leave(departure::close);
    EXPECT_TRUE(run_until(loop, [&] { return target.closed_by_peer == static_cast<int>(at_once); }))
        << "all are cancelled";
}

INSTANTIATE_TEST_SUITE_P(cases, pipelined_client, testing::Bool(),
                         [](auto const& info) { return info.param ? "idempotent" : "once_only"; });

} // namespace
} // namespace cove
