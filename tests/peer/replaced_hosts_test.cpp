/** @file Addresses of hosts that are gone, left behind when hosts were replaced. */

#include "peer/host_fleet.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr milliseconds contact{3000}; ///< the shortest of the deployments
constexpr int max_followers = 2;

/** @return names `PREFIX00`, `PREFIX01`, … */
std::vector<std::string> names(std::string const& prefix, int count)
{
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i) {
        out.push_back(prefix + std::to_string(i / 10) + std::to_string(i % 10));
    }
    return out;
}

/** Tells host @p to of the addresses of hosts of its zone, which need not run. */
void tell_addresses(fleet& all, std::string const& to, std::string const& zone,
                    std::vector<std::string> const& hosts)
{
    zone_status status;
    status.zone = zone_id(zone);
    status.roster.emplace();
    for (std::string const& name : hosts) {
        status.roster->push_back(
            {node_id(name), zone_id(zone), "ip-" + name, "10.0.0.1:80", host_incarnation(1)});
    }
    all.hosts.at("ip-" + to).receive({node_id("told"), "", {}, {status}, false}, all.now);
}

// CONFIG, EVAC: hosts that start beside two addresses of replaced hosts never followed the store.
TEST(replaced_hosts, leave_following_the_store_to_the_hosts_that_run)
{
    fleet all;
    for (char const* const name : {"a3", "a4", "a5"}) {
        all.add(name, "a");
        tell_addresses(all, name, "a", {"a1", "a2", "a3", "a4", "a5"});
    }
    all.advance(contact);
    EXPECT_TRUE(all.hosts.at("ip-a3").follows_store(1, all.now));
    EXPECT_TRUE(all.hosts.at("ip-a3").follows_store(max_followers, all.now));
    EXPECT_TRUE(all.hosts.at("ip-a4").follows_store(max_followers, all.now));
    EXPECT_FALSE(all.hosts.at("ip-a4").follows_store(1, all.now));
    EXPECT_FALSE(all.hosts.at("ip-a5").follows_store(max_followers, all.now));
}

// Hosts that start together know only addresses at first; not all may follow the store then.
TEST(replaced_hosts, are_told_from_hosts_that_start_at_the_same_time)
{
    fleet all;
    all.add("a3", "a");
    tell_addresses(all, "a3", "a", {"a1", "a2"});
    all.advance(milliseconds{1000});
    EXPECT_FALSE(all.hosts.at("ip-a3").follows_store(max_followers, all.now));
    all.add("a1", "a");
    all.add("a2", "a");
    all.advance(contact);
    EXPECT_FALSE(all.hosts.at("ip-a3").follows_store(max_followers, all.now));
}

// A death in the zone was noticed the later the more hosts had been replaced.
TEST(replaced_hosts, do_not_delay_the_notice_of_a_death)
{
    fleet all;
    for (char const* const name : {"a3", "a4"}) {
        all.add(name, "a");
        tell_addresses(all, name, "a", {"a3", "a4"});
        tell_addresses(all, name, "a", names("a1-", 99));
    }
    all.advance(contact);
    ASSERT_EQ(all.hosts.at("ip-a4").zone_peer_ips(all.now), std::vector<std::string>{"ip-a3"});
    all.dead.insert("ip-a3");
    all.advance(milliseconds{2000});
    EXPECT_TRUE(all.hosts.at("ip-a4").zone_peer_ips(all.now).empty());
}

// A host whose name comes after those of replaced hosts was found by chance only.
TEST(replaced_hosts, do_not_keep_a_host_from_being_found)
{
    fleet all;
    all.add("x", "a");
    all.add("y", "a");
    tell_addresses(all, "y", "a", {"x"});
    all.advance(milliseconds{2000});
    all.add("z", "a");
    tell_addresses(all, "y", "a", names("a", 60));
    tell_addresses(all, "y", "a", {"z"});
    all.advance(milliseconds{2000});
    EXPECT_TRUE(all.serving_seen_by("y").contains("z"));
}

// The rate of a cold target was divided among replaced hosts as well.
TEST(replaced_hosts, take_part_in_no_division_for_longer_than_a_start_takes)
{
    fleet all;
    all.add("a3", "a");
    tell_addresses(all, "a3", "a", {"a1", "a2"});
    EXPECT_EQ(all.hosts.at("ip-a3").starting_zone_peers(all.now).size(), 2U);
    all.advance(contact);
    EXPECT_TRUE(all.hosts.at("ip-a3").starting_zone_peers(all.now).empty());
}

// A host that hears of nobody sent to all addresses that it knew at once.
TEST(replaced_hosts, get_a_bounded_number_of_messages_in_a_round)
{
    fleet all;
    all.add("y", "a");
    for (char const* const prefix : {"a", "b", "c", "d", "e"}) {
        tell_addresses(all, "y", "a", names(prefix, 100));
    }
    all.advance(milliseconds{1000});
    EXPECT_LE(all.sent_messages["ip-y"], 200);
    all.advance(seconds{10});
    EXPECT_GE(all.sent_messages["ip-y"], 1000); // all of them more than once on average
}

// Hosts of a zone that was replaced as a whole are found by the other zones and by each other.
TEST(replaced_hosts, of_a_whole_zone_are_dropped_for_the_new_ones)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    all.dead.insert("ip-c1");
    all.dead.insert("ip-c2");
    for (char const* const name : {"c3", "c4"}) {
        all.add(name, "c");
        tell_addresses(all, name, "c", {"c1", "c2", "c3", "c4"});
    }
    all.advance(milliseconds{8000});
    for (char const* const name : {"a1", "a2", "c3", "c4"}) {
        EXPECT_EQ(all.serving_seen_by(name),
                  (std::set<std::string>{"a1", "a2", "b1", "b2", "c3", "c4"}))
            << name;
    }
    EXPECT_TRUE(all.hosts.at("ip-c4").follows_store(max_followers, all.now));
}

} // namespace
} // namespace cove
