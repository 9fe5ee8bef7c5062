#include "route/route_table.h"
#include "route/weighted_round_robin.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

route_config route(std::string name, std::string host, std::string prefix,
                   std::vector<region_id> home_regions = {})
{
    route_config out;
    out.name = route_id(std::move(name));
    out.host = std::move(host);
    out.prefix = std::move(prefix);
    out.services = {{service_id("desk"), 1}};
    out.home_regions = std::move(home_regions);
    return out;
}

struct find_case {
    char const* host;
    char const* path;
    char const* route; ///< empty if no route matches
};

class route_lookup : public testing::TestWithParam<find_case> {};

TEST_P(route_lookup, finds_the_longest_prefix)
{
    routing_config config;
    config.routes = {route("root", "a.example", "/"), route("logs", "a.example", "/logs/"),
                     route("old", "a.example", "/logs/old/"), route("b", "b.example", "/logs/")};
    route_table const table(config);
    auto const found = table.find(GetParam().host, GetParam().path);
    EXPECT_EQ(found ? found->name.value : "", GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(cases, route_lookup,
                         testing::Values(find_case{"a.example", "/logs/old/7", "old"},
                                         find_case{"a.example", "/logs/older", "logs"},
                                         find_case{"a.example", "/logs/", "logs"},
                                         find_case{"a.example", "/logs", "root"},
                                         find_case{"A.Example:8080", "/logs/1", "logs"},
                                         find_case{"b.example", "/other", ""},
                                         find_case{"c.example", "/logs/", ""},
                                         find_case{"a.example", "*", ""}));

TEST(route_table, leaves_the_query_out_of_the_path)
{
    EXPECT_EQ(path_of("/a/b?c=/d/"), "/a/b");
    EXPECT_EQ(path_of("/a"), "/a");
}

TEST(route_table, restricts_a_host_only_if_all_its_routes_have_home_regions)
{
    routing_config config;
    config.routes = {route("a", "free.example", "/a/", {region_id("east")}),
                     route("b", "free.example", "/b/"),
                     route("c", "bound.example", "/a/", {region_id("east")}),
                     route("d", "bound.example", "/b/", {region_id("west")})};
    route_table const table(config);
    EXPECT_TRUE(table.home_regions("free.example").empty());
    EXPECT_EQ(table.home_regions("bound.example").size(), 2U);
    EXPECT_TRUE(table.home_regions("unknown.example").empty());
}

RC_GTEST_PROP(weighted_round_robin, selects_services_in_proportion_to_their_weights, ())
{
    auto const weights =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100)));
    route_config split = route("split", "a.example", "/");
    split.services.clear();
    double total = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        split.services.push_back({service_id(std::to_string(i)), static_cast<double>(weights[i])});
        total += weights[i];
    }
    weighted_round_robin round_robin;
    std::map<service_id, double> selected;
    int const requests = *rc::gen::inRange(1, 400);
    for (int i = 0; i < requests; ++i) {
        selected[round_robin.next(split)] += 1;
    }
    for (weighted_service const& each : split.services) {
        double const expected = requests * each.weight / total;
        RC_ASSERT(selected[each.service] <= expected + static_cast<double>(weights.size()));
        RC_ASSERT(selected[each.service] >= expected - static_cast<double>(weights.size()));
    }
}

TEST(weighted_round_robin, resets_its_state_when_the_weights_change)
{
    route_config split = route("split", "a.example", "/");
    split.services = {{service_id("a"), 9}, {service_id("b"), 1}};
    weighted_round_robin round_robin;
    for (int i = 0; i < 5; ++i) {
        round_robin.next(split);
    }
    split.services = {{service_id("a"), 0}, {service_id("b"), 1}};
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(round_robin.next(split), service_id("b"));
    }
}

} // namespace
} // namespace cove
