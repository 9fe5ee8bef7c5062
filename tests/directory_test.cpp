#include "directory/client_shares.h"
#include "directory/lookup.h"
#include "directory/remote_quotas.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

constexpr double tolerance = 1e-9;

zone_capacity zone(std::string name, std::string region, double slots, bool usable = true)
{
    zone_capacity out;
    out.zone = zone_id(std::move(name));
    out.region = region_id(std::move(region));
    out.usable = usable;
    out.slots[service_id("desk")] = slots;
    return out;
}

double sum_of(zone_shares const& shares)
{
    double sum = 0;
    for (auto const& [name, share] : shares) {
        sum += share;
    }
    return sum;
}

TEST(plan_shares, keeps_clients_in_their_zone_if_all_zones_are_equal)
{
    auto const shares = plan_shares({zone("a", "r", 8), zone("b", "r", 8), zone("c", "s", 8)});
    for (auto const& [client, to] : shares) {
        EXPECT_EQ(to.size(), 1U);
        EXPECT_NEAR(to.at(client), 1, tolerance);
    }
}

TEST(plan_shares, sends_the_excess_of_a_small_zone_to_its_own_region_first)
{
    auto const shares =
        plan_shares({zone("small", "r", 2), zone("near", "r", 12), zone("far", "s", 12)});
    EXPECT_GT(shares.at(zone_id("small")).at(zone_id("near")), 0);
    EXPECT_GT(shares.at(zone_id("small")).at(zone_id("small")), 0);
}

TEST(plan_shares, sends_no_clients_to_a_zone_without_hosts_or_targets)
{
    auto const shares = plan_shares(
        {zone("dead", "r", 8, false), zone("empty", "r", 0), zone("a", "s", 8), zone("b", "s", 8)});
    ASSERT_EQ(shares.size(), 4U);
    for (auto const& [client, to] : shares) {
        EXPECT_FALSE(to.contains(zone_id("dead")));
        EXPECT_FALSE(to.contains(zone_id("empty")));
        EXPECT_NEAR(sum_of(to), 1, tolerance);
    }
    EXPECT_TRUE(plan_shares({zone("dead", "r", 8, false)}).empty());
}

RC_GTEST_PROP(plan_shares, load_no_zone_beyond_its_capacity_share, ())
{
    auto const slots = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(1, 40));
    std::vector<zone_capacity> zones;
    double total = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
        zones.push_back(zone(std::to_string(i), std::to_string(i / 2), slots[i]));
        total += slots[i];
    }
    constexpr double max_load = 1.2; // relative to the capacity share of the zone
    std::map<zone_id, double> carried;
    for (auto const& [client, to] : plan_shares(zones)) {
        RC_ASSERT(std::abs(sum_of(to) - 1) < 1e-6);
        for (auto const& [name, share] : to) {
            carried[name] += share / static_cast<double>(zones.size());
        }
    }
    for (zone_capacity const& each : zones) {
        double const part = each.slots.at(service_id("desk")) / total;
        RC_ASSERT(carried[each.zone] <= max_load * part + 1e-6);
    }
}

/** @return @p shares summed by region. */
std::map<std::string, double> regions_of(zone_shares const& shares,
                                         std::map<zone_id, region_id> const& regions)
{
    std::map<std::string, double> out;
    for (auto const& [name, share] : shares) {
        out[regions.at(name).value] += share;
    }
    return out;
}

TEST(share_limiter, caps_changes_between_regions)
{
    std::map<zone_id, region_id> const regions{{zone_id("a"), region_id("r")},
                                               {zone_id("b"), region_id("r")},
                                               {zone_id("c"), region_id("s")}};
    constexpr double cap = 0.15;
    mono_time const start{};
    share_limiter limiter(regions, cap, start);
    mono_time now = start + share_limiter::settle_time;
    zone_id const client("a");
    limiter.move({{client, {{zone_id("a"), 1.0}}}}, now - milliseconds{1});
    std::vector<double> far;
    for (int step = 0; step < 100; ++step) {
        now += milliseconds{500};
        limiter.move({{client, {{zone_id("c"), 1.0}}}}, now);
        far.push_back(regions_of(limiter.shares_of(client), regions)["s"]);
    }
    constexpr std::size_t steps_of_two_seconds = 4;
    for (std::size_t i = 0; i + steps_of_two_seconds < far.size(); ++i) {
        EXPECT_LE(far[i + steps_of_two_seconds] - far[i], cap);
    }
    EXPECT_NEAR(far.back(), 1, tolerance);
}

TEST(share_limiter, moves_immediately_within_a_region)
{
    std::map<zone_id, region_id> const regions{{zone_id("a"), region_id("r")},
                                               {zone_id("b"), region_id("r")}};
    mono_time const start{};
    share_limiter limiter(regions, 0.15, start);
    mono_time const now = start + share_limiter::settle_time;
    limiter.move({{zone_id("a"), {{zone_id("a"), 1.0}}}}, now);
    limiter.move({{zone_id("a"), {{zone_id("b"), 1.0}}}}, now + milliseconds{100});
    EXPECT_NEAR(limiter.shares_of(zone_id("a")).at(zone_id("b")), 1, tolerance);
}

TEST(share_limiter, adopts_any_shares_during_settle_time)
{
    // After a start, a host that knows only itself sends all clients to its own zone. If the cap
    // applied from then on, these wrong shares would persist.
    std::map<zone_id, region_id> const regions{{zone_id("a"), region_id("r")},
                                               {zone_id("c"), region_id("s")}};
    mono_time const start{};
    share_limiter limiter(regions, 0.15, start);
    limiter.move({{zone_id("a"), {{zone_id("c"), 1.0}}}}, start + milliseconds{500});
    limiter.move({{zone_id("a"), {{zone_id("a"), 1.0}}}}, start + milliseconds{1000});
    EXPECT_NEAR(limiter.shares_of(zone_id("a")).at(zone_id("a")), 1, tolerance);
}

std::vector<directory_host> hosts()
{
    return {{zone_id("a"), region_id("r"), "10.0.0.1:80"},
            {zone_id("a"), region_id("r"), "10.0.0.2:80"},
            {zone_id("b"), region_id("s"), "10.0.1.1:80"}};
}

TEST(choose_hosts, follows_the_shares_and_keeps_a_client_in_its_zone)
{
    zone_shares const shares{{zone_id("a"), 0.7}, {zone_id("b"), 0.3}};
    zone_shares const moved{{zone_id("a"), 0.6}, {zone_id("b"), 0.4}};
    int in_a = 0;
    int changed = 0;
    constexpr int clients = 4000;
    for (int i = 0; i < clients; ++i) {
        lookup_query const query{zone_id("a"), "100.64.0." + std::to_string(i), {}};
        auto const first = choose_hosts(query, shares, hosts(), 64);
        EXPECT_EQ(first, choose_hosts(query, shares, hosts(), 64));
        in_a += first.size() == 2 ? 1 : 0;
        changed += first != choose_hosts(query, moved, hosts(), 64) ? 1 : 0;
    }
    EXPECT_NEAR(static_cast<double>(in_a) / clients, 0.7, 0.03);
    EXPECT_NEAR(static_cast<double>(changed) / clients, 0.1, 0.03); // only the share that changed
}

TEST(choose_hosts, skips_zones_without_hosts_and_regions_that_are_not_allowed)
{
    zone_shares const shares{{zone_id("a"), 0.5}, {zone_id("gone"), 0.5}};
    lookup_query query{zone_id("gone"), "c", {}};
    EXPECT_EQ(choose_hosts(query, shares, hosts(), 64).size(), 2U);
    query.regions = {region_id("s")};
    EXPECT_EQ(choose_hosts(query, shares, hosts(), 64), std::vector<std::string>{"10.0.1.1:80"});
    query.regions = {region_id("nowhere")};
    EXPECT_TRUE(choose_hosts(query, shares, hosts(), 64).empty());
    EXPECT_EQ(choose_hosts({zone_id("a"), "c", {}}, {}, hosts(), 1).size(), 1U);
}

RC_GTEST_PROP(compute_remote_quotas, grants_in_total_at_most_the_spare_slots, ())
{
    auto const loads = *rc::gen::container<std::vector<std::pair<int, int>>>(
        4, rc::gen::pair(rc::gen::inRange(0, 60), rc::gen::inRange(0, 60)));
    std::vector<zone_load> zones;
    std::vector<quota_host> hosts;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        zone_id const name(std::to_string(i));
        zones.push_back({name,
                         {{service_id("desk"), static_cast<double>(loads[i].first),
                           static_cast<double>(loads[i].second)}}});
        hosts.push_back({node_id(name.value + "-1"), name});
        hosts.push_back({node_id(name.value + "-2"), name});
    }
    std::map<zone_id, int> granted;
    for (quota_host const& host : hosts) {
        quota_division division(host.host);
        division.set_hosts(hosts);
        for (granted_quota const& quota : compute_remote_quotas(zones, division)) {
            RC_ASSERT(quota.zone != host.zone);
            granted[quota.zone] += quota.requests;
        }
    }
    for (std::size_t i = 0; i < loads.size(); ++i) {
        int const spare = std::max(0, loads[i].first - loads[i].second);
        RC_ASSERT(granted[zone_id(std::to_string(i))] <= spare);
    }
}

TEST(compute_remote_quotas, grants_quota_to_a_zone_without_targets)
{
    std::vector<zone_load> const zones{{zone_id("a"), {{service_id("desk"), 0, 5}}},
                                       {zone_id("b"), {{service_id("desk"), 40, 4}}}};
    quota_division division(node_id("a-1"));
    division.set_hosts({{node_id("a-1"), zone_id("a")}, {node_id("b-1"), zone_id("b")}});
    auto const quotas = compute_remote_quotas(zones, division);
    ASSERT_EQ(quotas.size(), 1U);
    EXPECT_EQ(quotas[0].zone, zone_id("b"));
    EXPECT_EQ(quotas[0].requests, 14); // half of 0.8 * 40 - 4
}

} // namespace
} // namespace cove
