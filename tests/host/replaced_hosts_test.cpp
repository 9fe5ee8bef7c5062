/** @file An entry host beside addresses of hosts that are gone. */

#include "support/host_case.h"

namespace cove {
namespace {

// CONFIG, EVAC: a host that started beside two addresses of replaced hosts never followed the
// store.
TEST_F(host_case, follows_the_store_in_place_of_replaced_hosts_within_contact)
{
    constexpr milliseconds contact{3000}; // the shortest of the deployments
    auto const follows = [this] {
        http_request request(boost::beast::http::verb::get, "/metrics", 11);
        return exchange_once(loop, metrics_address, std::move(request))
                   .response.body()
                   .find("\ncove_follows_store 1\n") != std::string::npos;
    };
    store.hosts_listed({{node_id("h00"), zone_id("east"), "127.0.0.98"},
                        {node_id("h01"), zone_id("east"), "127.0.0.99"}});
    EXPECT_TRUE(run_until(loop, follows, contact));
}

} // namespace
} // namespace cove
