/** @file The version that a relayed request names, as a host with an older configuration reads it.
 */

#include "support/relaying_host.h"

namespace cove {
namespace {

struct version_case {
    char const* name;
    char const* version; ///< null: without the field
    char const* path;
    unsigned status;
    std::size_t runs;
};

/** A host with version 5, which has the route `/a/`. */
class relayed_version : public host_case, public testing::WithParamInterface<version_case> {
protected:
    exchange_result relay(char const* version, std::string const& path)
    {
        http_request request(boost::beast::http::verb::put, path, 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "1500");
        request.set("Cove-Client", "127.0.0.1");
        request.set("Cove-Host", "h0");
        request.set("Cove-Attempts", "2");
        if (version != nullptr) {
            request.set("Cove-Config", version);
        }
        request.prepare_payload();
        return exchange_once(loop, relay_address, std::move(request));
    }

    scripted_server target{loop, [](std::string const&) { return scripted_answer{served}; }};
};

// HOME and CONFIG: the host ran the request, or answered 404, by its older configuration.
TEST_P(relayed_version, is_never_older_at_the_host_that_decides)
{
    configure(5, "/a/");
    list({&target});
    auto const result = relay(GetParam().version, GetParam().path);
    EXPECT_EQ(result.response.result_int(), GetParam().status);
    ASSERT_EQ(target.request_heads.size(), GetParam().runs);
    for (std::string const& head : target.request_heads) {
        EXPECT_EQ(head.find("Cove-"), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(cases, relayed_version,
                         testing::Values(version_case{"absent", nullptr, "/a/1", 200, 1},
                                         version_case{"older", "4", "/a/1", 200, 1},
                                         version_case{"same", "5", "/a/1", 200, 1},
                                         version_case{"newer", "6", "/a/1", 503, 0},
                                         version_case{"malformed", "5x", "/a/1", 503, 0},
                                         version_case{"empty", "", "/a/1", 503, 0},
                                         version_case{"older_unknown", "4", "/b/1", 404, 0},
                                         version_case{"newer_unknown", "6", "/b/1", 503, 0}),
                         [](auto const& info) { return info.param.name; });

class lagging_host : public relayed_version {};

TEST_F(lagging_host, serves_relayed_requests_once_it_has_their_version)
{
    configure(5, "/a/");
    list({&target});
    EXPECT_EQ(relay("6", "/b/1").response.result_int(), 503U);
    configure(6, "/b/");
    EXPECT_EQ(relay("6", "/b/1").response.result_int(), 200U);
    EXPECT_EQ(target.request_heads.size(), 1U);
}

TEST_F(lagging_host, without_any_configuration_refuses_as_not_run)
{
    list({&target});
    EXPECT_EQ(relay("6", "/a/1").response.result_int(), 503U);
    EXPECT_TRUE(target.request_heads.empty());
}

// HOME and CONFIG: nothing told the other host that the relaying one had a newer configuration.
TEST_F(relaying_host, does_not_have_its_requests_decided_by_an_older_configuration)
{
    answer = {served};
    cut_off_first_host(true);
    config_document newer = desk_config(2, "/a/", true);
    newer.text = "unreadable"; // to the second host, to which it is pushed
    stores[0].config(newer);
    std::size_t const runs = target.request_heads.size();
    auto const status = [this] {
        http_request request(boost::beast::http::verb::put, "/a/1", 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "8000");
        request.prepare_payload();
        return exchange_once(loop, clients[0], std::move(request)).response.result_int();
    };
    EXPECT_EQ(status(), 503U);
    EXPECT_EQ(target.request_heads.size(), runs);
    stores[1].config(desk_config(2, "/a/", true));
    EXPECT_EQ(status(), 200U);
    EXPECT_EQ(target.request_heads.size(), runs + 1);
}

} // namespace
} // namespace cove
