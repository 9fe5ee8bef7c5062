/** @file Cove-Attempts of relayed requests, as a host reads it. */

#include "support/host_case.h"

namespace cove {
namespace {

struct attempts_case {
    char const* name;
    char const* attempts; ///< null: without the field
    unsigned status;
    std::size_t runs;
};

class relayed_attempts : public host_case, public testing::WithParamInterface<attempts_case> {
protected:
    scripted_server target{loop, [](std::string const&) { return scripted_answer{served}; }};
};

// A host that ignored the field sent the request to as many targets as its route allows.
TEST_P(relayed_attempts, bound_the_targets_that_get_the_request)
{
    configure(1, "/a/", true);
    list({&target});
    http_request request(boost::beast::http::verb::get, "/a/1", 11);
    request.set(boost::beast::http::field::host, "desk.example");
    request.set("Attempt", "a1");
    if (GetParam().attempts != nullptr) {
        request.set("Cove-Attempts", GetParam().attempts);
    }
    auto const result = exchange_once(loop, relay_address, std::move(request));
    EXPECT_EQ(result.response.result_int(), GetParam().status);
    ASSERT_EQ(target.request_heads.size(), GetParam().runs);
    for (std::string const& head : target.request_heads) {
        EXPECT_EQ(head.find("Cove-Attempts"), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(cases, relayed_attempts,
                         testing::Values(attempts_case{"absent", nullptr, 200, 1},
                                         attempts_case{"one", "1", 200, 1},
                                         attempts_case{"none", "0", 503, 0},
                                         attempts_case{"negative", "-1", 503, 0},
                                         attempts_case{"malformed", "2x", 503, 0}),
                         [](auto const& info) { return info.param.name; });

} // namespace
} // namespace cove
