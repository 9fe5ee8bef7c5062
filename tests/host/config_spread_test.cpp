/** @file How a configuration spreads among the entry hosts of a zone. */

#include "support/zone_case.h"

namespace cove {
namespace {

TEST_F(zone_case, no_host_sends_more_of_a_configuration_than_its_link_carries_in_a_second)
{
    constexpr std::uint64_t bytes_per_second = 10'000'000 / 8; // link of 10 Mbit/s
    start_zone();
    std::string const text = large_config(2);
    deliver(0, text); // the two hosts that follow the store
    deliver(1, text);
    EXPECT_TRUE(run_until(
        loop, [this] { return all_have(2); }, milliseconds{3000}));
    run_until(
        loop, [] { return false; }, milliseconds{1500}); // until late copies are sent as well
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        EXPECT_LE(metric(i, "cove_bytes_to_peers{message=\"snapshot\"}"), bytes_per_second) << i;
    }
}

TEST_F(zone_case, the_second_follower_delivers_what_the_first_one_misses)
{
    start_zone();
    deliver(1, large_config(2));
    EXPECT_TRUE(run_until(
        loop, [this] { return all_have(2); }, milliseconds{2500}));
}

/** Two zones of three hosts; the store turns those of the second one away. */
class zone_without_store : public zone_case {
protected:
    zone_without_store()
        : zone_case({{"east"}, {"east"}, {"east"}, {"west", true}, {"west", true}, {"west", true}})
    {
    }
};

// CONFIG: a change took up to 1.8 of these 2 s.
TEST_F(zone_without_store, gets_each_change_from_another_zone_in_time)
{
    constexpr milliseconds config_apply{2000}; // the shortest of the deployments
    constexpr milliseconds phase_step{400};    // through the period of the messages between zones
    start_zone();
    run_until(
        loop, [] { return false; }, milliseconds{3000}); // until the followers have failed
    for (int version = 2; version < 6; ++version) {
        deliver(0, std::to_string(version) + "\n");
        auto const due = read_clocks().mono + config_apply - follower::default_batch_delay;
        EXPECT_TRUE(run_until(
            loop, [&] { return all_have(static_cast<std::uint64_t>(version)); },
            config_apply - follower::default_batch_delay))
            << version;
        run_until(
            loop, [&] { return read_clocks().mono > due + phase_step; }, milliseconds{5000});
    }
}

/** Two zones of four hosts; the store falls silent for the followers of the second one, or all. */
class zone_with_silent_store : public zone_case {
protected:
    zone_with_silent_store()
        : zone_case({{"east"},
                     {"east"},
                     {"east"},
                     {"east"},
                     {"west", false, true},
                     {"west", false, true},
                     {"west", false, true},
                     {"west", false, true}})
    {
    }

    void start_and_silence()
    {
        start_zone();
        for (store_hooks& store : stores) {
            store.targets_listed({{entry(target_phase::serving)}, position(2)});
            store.evacuations_listed({{}, position(2)});
        }
        wait(milliseconds{4000}); // until the followers watch
        ASSERT_EQ(metric(4, "cove_store_lost"), 0U);
        ASSERT_EQ(metric(4, "cove_follows_store"), 1U);
        store_silent = true;
    }

    void wait(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    static target_entry entry(target_phase phase)
    {
        target_entry out;
        out.id = target_id("t0");
        out.service = service_id("desk");
        out.address = "127.0.0.1:9";
        out.zone = zone_id("east");
        out.slots = 4;
        out.phase = phase;
        return out;
    }
};

// CONFIG: the followers believed their long watches for up to 9.5 s.
TEST_F(zone_with_silent_store, gets_a_configuration_in_time)
{
    constexpr milliseconds config_apply{2000};
    start_and_silence();
    for (int version = 2; version < 5; ++version) {
        deliver(0, std::to_string(version) + "\n");
        deliver(1, std::to_string(version) + "\n");
        EXPECT_TRUE(run_until(
            loop, [&] { return all_have(static_cast<std::uint64_t>(version)); },
            config_apply - follower::default_batch_delay))
            << version;
        wait(milliseconds{700});
    }
}

// EVAC
TEST_F(zone_with_silent_store, gets_an_evacuation_in_time)
{
    constexpr milliseconds evacuation_max{5000};
    start_and_silence();
    for (std::size_t const i : {0U, 1U}) {
        stores[i].evacuations_changed({{zone_id("east"), true}}, position(3));
    }
    EXPECT_TRUE(run_until(
        loop, [this] { return all_show("cove_evacuated_zones", 1); },
        evacuation_max - follower::default_batch_delay));
}

// DRAIN
TEST_F(zone_with_silent_store, learns_of_a_leaving_target_in_time)
{
    constexpr milliseconds drain{2000};
    constexpr milliseconds first_batch_delay = drain / 8; // of the first follower
    start_and_silence();
    for (std::size_t const i : {0U, 1U}) {
        stores[i].targets_changed(
            {position(2), position(3), {{target_id("t0"), entry(target_phase::leaving)}}});
    }
    EXPECT_TRUE(run_until(
        loop, [this] { return all_show("cove_targets_revision", 3); }, drain - first_batch_delay));
}

// A second follower that pushes what the first one misses hid the silence from it.
TEST_F(zone_with_silent_store, a_blind_first_follower_doubts_its_store_after_a_push)
{
    start_and_silence();
    for (std::size_t const i : {0U, 1U, 5U}) {
        deliver(i, "2\n");
    }
    ASSERT_TRUE(run_until(
        loop, [this] { return all_have(2); }, milliseconds{1850}));
    milliseconds const doubted = follower::default_batch_delay + follower::answer_grace;
    EXPECT_TRUE(run_until(
        loop, [this] { return metric(4, "cove_store_lost") == 1; },
        doubted + watch_timing::max_timeout + milliseconds{200}));
}

} // namespace
} // namespace cove
