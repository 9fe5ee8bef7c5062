#include "lookup/current_lookup.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

service_id const service{"s"};
constexpr int callers = 4000;

lookup_snapshot snapshot_of(int zones, int hosts, double share_of_b)
{
    lookup_snapshot snapshot;
    snapshot.lifetime = seconds(5);
    for (int z = 0; z < zones; ++z) {
        std::string const zone(1, static_cast<char>('a' + z));
        for (int h = 0; h < hosts; ++h) {
            snapshot.entries.push_back({node_id{zone + std::to_string(h)}, zone_id{zone},
                                        "127.0.0.1:1", incarnation_id{0xfedcba9876543210U},
                                        period_id{3}});
        }
    }
    if (share_of_b > 0) {
        snapshot.shares.push_back({service, zone_id{"b"}, share_of_b});
    }
    return snapshot;
}

char zone_of(prepared_lookup const& lookup, int caller)
{
    return lookup.order(service, "c" + std::to_string(caller)).front()->node.value.front();
}

RC_GTEST_PROP(lookup, a_change_of_share_moves_as_few_callers_as_possible,
              (unsigned first, unsigned second))
{
    double const low = std::min(first % 101, second % 101) / 100.0;
    double const high = std::max(first % 101, second % 101) / 100.0;
    prepared_lookup const before(snapshot_of(3, 2, low), zone_id{"a"});
    prepared_lookup const after(snapshot_of(3, 2, high), zone_id{"a"});
    int moved = 0;
    for (int i = 0; i < callers; ++i) {
        char const was = zone_of(before, i);
        char const is = zone_of(after, i);
        RC_ASSERT(was == is || (was == 'a' && is == 'b'));
        moved += was == is ? 0 : 1;
    }
    RC_ASSERT(std::abs(moved / static_cast<double>(callers) - (high - low)) < 0.04);
}

TEST(lookup, a_host_that_leaves_moves_only_its_own_callers)
{
    auto snapshot = snapshot_of(1, 8, 0);
    prepared_lookup const before(snapshot, zone_id{"a"});
    snapshot.entries.erase(snapshot.entries.begin() + 3);
    prepared_lookup const after(snapshot, zone_id{"a"});
    for (int i = 0; i < callers; ++i) {
        std::string const caller = std::to_string(i);
        auto const was = before.order(service, caller).front()->node;
        auto const is = after.order(service, caller).front()->node;
        EXPECT_TRUE(was == is || was == node_id{"a3"});
    }
}

TEST(lookup, answer_is_json_with_hosts_of_other_zones_last)
{
    prepared_lookup const lookup(snapshot_of(4, 5, 0), zone_id{"b"});
    auto const answer = nlohmann::json::parse(lookup.answer(service, "c"));
    EXPECT_EQ(answer["lifetime_s"], 5);
    auto const& hosts = answer["entry_hosts"];
    ASSERT_EQ(hosts.size(), hosts_per_answer);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        EXPECT_EQ(hosts[i]["zone"] == "b", i < first_zone_hosts_per_answer);
        EXPECT_EQ(hosts[i]["incarnation"], "fedcba9876543210");
        EXPECT_EQ(hosts[i]["period"], 3);
    }
}

TEST(lookup, callers_of_a_zone_without_hosts_are_spread_over_the_others)
{
    prepared_lookup const lookup(snapshot_of(4, 2, 0), zone_id{"zz"});
    std::map<char, int> per_zone;
    for (int i = 0; i < callers; ++i) {
        ++per_zone[zone_of(lookup, i)];
    }
    ASSERT_EQ(per_zone.size(), 4U);
    for (auto const& [zone, count] : per_zone) {
        EXPECT_LT(count, callers / 3);
    }
    EXPECT_TRUE(prepared_lookup({}, zone_id{"a"}).order(service, "c").empty());
}

TEST(current_lookup, readers_get_the_newest_and_keep_older_ones_alive)
{
    current_lookup current;
    EXPECT_EQ(current.get(), nullptr);
    current.set(std::make_shared<prepared_lookup const>(snapshot_of(1, 1, 0), zone_id{"a"}));
    auto const first = current.get();
    ASSERT_NE(first, nullptr);
    current.set(std::make_shared<prepared_lookup const>(snapshot_of(1, 1, 0), zone_id{"a"}));
    EXPECT_NE(current.get(), first);
}

} // namespace
