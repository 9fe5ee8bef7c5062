/** @file Connections between hosts that lose all messages although the other end acknowledges. */

#include "peer/host_fleet.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr milliseconds contact{3000}; ///< the shortest of the deployments
constexpr int ticks_watched = 80;     ///< 20 s
constexpr int phases = 8;             ///< ticks of two rounds between zones

/** Hosts of one zone, `a10`, `a11`, …, which know each other; the parameter is their number. */
class mute_links_in_zone : public testing::TestWithParam<int> {
protected:
    static constexpr int first = 10;

    mute_links_in_zone()
    {
        all.add("a1", "a"); // the seed of the others
        for (int i = first; i < first + GetParam() - 1; ++i) {
            all.add("a" + std::to_string(i), "a");
        }
        all.advance(seconds{10});
    }

    void mute(std::string const& from, std::string const& to)
    {
        all.mute.insert({"ip-" + from, "ip-" + to});
    }

    /** Lets @p contact pass. @return whether @p to has got a report of @p from since. */
    bool is_heard_within_contact(std::string const& to, std::string const& from)
    {
        std::uint64_t const known = all.last_report(to, from);
        all.advance(contact);
        return all.last_report(to, from) > known;
    }

    fleet all;
};

// CONFIG, EVAC: what the first follower sends to the host is lost for as long as the link lives.
TEST_P(mute_links_in_zone, are_replaced_when_one_direction_is_mute)
{
    mute("a1", "a11");
    EXPECT_TRUE(is_heard_within_contact("a11", "a1"));
}

TEST_P(mute_links_in_zone, are_replaced_when_both_directions_are_mute)
{
    mute("a1", "a11");
    mute("a11", "a1");
    std::uint64_t const known = all.last_report("a1", "a11");
    EXPECT_TRUE(is_heard_within_contact("a11", "a1"));
    EXPECT_GT(all.last_report("a1", "a11"), known);
}

TEST_P(mute_links_in_zone, are_replaced_when_a_host_is_mute_to_its_whole_zone)
{
    std::map<std::string, std::uint64_t> known;
    for (auto const& [ip, host] : all.hosts) {
        mute("a1", ip.substr(3));
        known[ip.substr(3)] = all.last_report(ip.substr(3), "a1");
    }
    known.erase("a1");
    all.advance(contact);
    for (auto const& [name, sequence] : known) {
        EXPECT_GT(all.last_report(name, "a1"), sequence) << name;
    }
}

TEST_P(mute_links_in_zone, are_replaced_when_the_whole_zone_is_mute_to_a_host)
{
    std::map<std::string, std::uint64_t> known;
    for (auto const& [ip, host] : all.hosts) {
        mute(ip.substr(3), "a11");
        known[ip.substr(3)] = all.last_report("a11", ip.substr(3));
    }
    known.erase("a11");
    all.advance(contact);
    for (auto const& [name, sequence] : known) {
        EXPECT_GT(all.last_report("a11", name), sequence) << name;
    }
}

TEST_P(mute_links_in_zone, are_not_suspected_while_reports_arrive)
{
    all.replaced_connections = 0;
    all.advance(seconds{20});
    EXPECT_EQ(all.replaced_connections, 0);
}

TEST_P(mute_links_in_zone, are_not_suspected_after_a_pause_of_the_host_itself)
{
    all.dead = {"ip-a11"};
    all.advance(contact);
    all.dead.clear();
    host_view paused = all.hosts.at("ip-a11");
    for (outgoing_host_message const& effect : paused.tick(ready(), all.now)) {
        EXPECT_TRUE(effect.reconnect.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(zone_of, mute_links_in_zone, testing::Values(3, 33, 53),
                         testing::PrintToStringParamName());

/** Two zones; the parameter is the number of hosts of each. */
class mute_links_between_zones : public testing::TestWithParam<int> {
protected:
    mute_links_between_zones()
    {
        for (int i = 1; i <= GetParam(); ++i) {
            all.add("a" + std::to_string(i), "a");
            all.add("b" + std::to_string(i), "b");
        }
        all.advance(seconds{10});
    }

    void expect_that_all_hosts_keep_both_zones()
    {
        for (int tick = 0; tick < ticks_watched; ++tick) {
            all.advance(host_view::tick_interval);
            for (auto& [ip, host] : all.hosts) {
                EXPECT_EQ(host.zones(all.now).size(), 2U) << ip << " " << tick;
            }
        }
    }

    fleet all;
};

// RECOVER: a zone whose statuses are lost is left out of look-ups and gets no requests.
TEST_P(mute_links_between_zones, do_not_hide_a_zone_when_one_link_is_mute)
{
    for (int phase = 0; phase < phases; ++phase) {
        for (int receiver = 1; receiver <= GetParam(); ++receiver) {
            all.mute = {{"ip-a1", "ip-b" + std::to_string(receiver)}};
            expect_that_all_hosts_keep_both_zones();
        }
        all.advance(host_view::tick_interval);
    }
}

TEST_P(mute_links_between_zones, do_not_hide_a_zone_when_all_links_are_mute)
{
    for (int phase = 0; phase < phases; ++phase) {
        for (auto const& [from, host] : all.hosts) {
            for (auto const& [to, other] : all.hosts) {
                all.mute.insert({from, to});
            }
        }
        expect_that_all_hosts_keep_both_zones();
        all.advance(host_view::tick_interval);
    }
}

INSTANTIATE_TEST_SUITE_P(hosts, mute_links_between_zones, testing::Values(1, 2, 5),
                         testing::PrintToStringParamName());

/** The speaker of a zone has ended, and the one that follows it is mute to the other zone. */
class mute_links_of_next_speaker : public mute_links_between_zones {};

TEST_P(mute_links_of_next_speaker, do_not_hide_a_zone)
{
    all.dead = {"ip-a1"};
    for (auto const& [to, other] : all.hosts) {
        all.mute.insert({"ip-a2", to});
    }
    for (int tick = 0; tick < ticks_watched; ++tick) {
        all.advance(host_view::tick_interval);
        for (int i = 1; i <= GetParam(); ++i) {
            std::string const name = "ip-b" + std::to_string(i);
            EXPECT_EQ(all.hosts.at(name).zones(all.now).size(), 2U) << name << " " << tick;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(hosts, mute_links_of_next_speaker, testing::Values(2, 5),
                         testing::PrintToStringParamName());

} // namespace
} // namespace cove
