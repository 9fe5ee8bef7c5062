/** @file Zones whose followers of the store hear nothing from it. */

#include "peer/replication_fleet.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

/// The shortest of the deployments; what remains is for a request that is on its way.
constexpr milliseconds config_apply{2000};
constexpr milliseconds evacuation{5000};
constexpr milliseconds between_changes{1500};
constexpr int zone_hosts = 37;
constexpr int other_zones = 8;
constexpr int hosts_per_other_zone = 4;
constexpr int phases = 6;

/** Parameters of a zone in trouble. */
struct blind_case {
    char const* name;
    int blind; ///< hosts of the zone, first by name, that hear nothing from the store
    int slow;  ///< each of so many hosts is 6 times slower
    std::size_t config_bytes = 8'000; ///< in zlib format
};

/** One zone of 37 hosts, eight others that have the store, lists of 1,215 targets. */
class blind_zone : public testing::TestWithParam<blind_case> {
protected:
    static std::unique_ptr<replica_fleet> start(std::uint64_t seed)
    {
        auto out = std::make_unique<replica_fleet>(seed, model());
        for (int i = 10; i < 10 + zone_hosts; ++i) {
            bool const slow = GetParam().slow > 0 && i % GetParam().slow == 0;
            out->add("a" + std::to_string(i), {"a", false, slow ? 6.0 : 1.0});
        }
        for (int zone = 0; zone < other_zones; ++zone) {
            std::string const name(1, static_cast<char>('b' + zone));
            for (int i = 10; i < 10 + hosts_per_other_zone; ++i) {
                out->add(name + std::to_string(i), {name});
            }
        }
        out->start();
        out->keep_changing_targets(milliseconds{400});
        for (int i = 10; i < 10 + GetParam().blind; ++i) {
            out->hosts().at("ip-a" + std::to_string(i))->blind(out->now());
        }
        // Before any of them can know.
        out->run_for(milliseconds(500 + out->random_number(1000)));
        return out;
    }

    static replica_model model()
    {
        replica_model out;
        out.config_bytes = GetParam().config_bytes;
        return out;
    }

    static void expect_all_at_least(replica_fleet& fleet, generation version)
    {
        for (auto const& [ip, host] : fleet.hosts()) {
            EXPECT_GE(host->versions().config, version) << ip;
            EXPECT_TRUE(host->has_all_changes()) << ip;
        }
    }
};

// CONFIG, HOME: hosts of such a zone decided by the version before for longer than is allowed.
TEST_P(blind_zone, has_a_new_configuration_in_time)
{
    for (int phase = 0; phase < phases; ++phase) {
        auto const fleet = start(static_cast<std::uint64_t>(phase));
        fleet->change_config();
        generation const first = fleet->newest().config;
        fleet->run_for(between_changes);
        fleet->change_config();
        fleet->run_for(config_apply - between_changes);
        expect_all_at_least(*fleet, first);
        fleet->run_for(between_changes);
        expect_all_at_least(*fleet, fleet->newest().config);
    }
}

TEST_P(blind_zone, has_a_new_evacuation_in_time)
{
    for (int phase = 0; phase < phases; ++phase) {
        auto const fleet = start(100 + static_cast<std::uint64_t>(phase));
        fleet->change_evacuations();
        fleet->run_for(evacuation);
        for (auto const& [ip, host] : fleet->hosts()) {
            EXPECT_EQ(host->versions().evacuations, fleet->newest().evacuations)
                << ip << " phase " << phase;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    zone_of_37, blind_zone,
    testing::Values(blind_case{"no_follower", 0, 0}, blind_case{"one_follower", 1, 0},
                    blind_case{"both_followers", 2, 0},
                    blind_case{"both_followers_and_slow_hosts", 2, 3},
                    blind_case{"four_hosts", 4, 0}, blind_case{"all_hosts", 37, 0},
                    blind_case{"all_hosts_and_slow_hosts", 37, 3},
                    blind_case{"both_followers_and_a_large_configuration", 2, 0, 100'000},
                    blind_case{"all_hosts_and_slow_hosts_and_a_large_configuration", 37, 3,
                               100'000}),
    [](auto const& info) { return std::string(info.param.name); });

} // namespace
} // namespace cove
