#include "emulator/zone_emulator.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

/** A zone whose targets can keep all objects warm; @p load 2.9 would take all its slots if warm. */
emulation_settings zone(int objects, double load)
{
    emulation_settings out;
    out.hosts = 14;
    out.targets = 48;
    out.slots = 3;
    out.queue = 9;
    out.warm_objects = 16;
    out.length = seconds{20};
    out.report_interval = milliseconds{250};
    emulated_class read;
    read.name = "read";
    read.per_second = 180 * load;
    read.objects = objects * 2 / 3;
    read.work = milliseconds{640};
    read.warm_factor = 0.3;
    read.objective = milliseconds{400};
    read.timeout = milliseconds{1500};
    read.client_timeout = milliseconds{3000};
    read.priority = 2;
    emulated_class write = read;
    write.name = "write";
    write.per_second = 70 * load;
    write.objects = objects / 3;
    write.work = milliseconds{840};
    write.objective = milliseconds{600};
    write.timeout = milliseconds{2500};
    write.client_timeout = milliseconds{4000};
    write.priority = 1;
    write.idempotent = false;
    write.worth = 2;
    write.late_worth = 0.4;
    out.classes = {read, write};
    return out;
}

double warm_share(emulation_report const& report)
{
    return static_cast<double>(report.warm_runs) / (report.warm_runs + report.cold_runs);
}

TEST(zone_emulator, accounts_for_every_request)
{
    auto const report = zone_emulator(zone(300, 1.5)).run();
    int asked = 0;
    int ended = 0;
    for (auto const& [name, outcome] : report.classes) {
        asked += outcome.asked;
        ended += outcome.in_objective + outcome.late + outcome.refused + outcome.failed;
    }
    EXPECT_GT(asked, 5000);
    EXPECT_EQ(asked, ended);
    EXPECT_GT(report.credit(), 0);
    EXPECT_LE(report.credit(), 1);
}

TEST(zone_emulator, repeats_with_the_same_seed)
{
    auto const first = zone_emulator(zone(300, 1)).run();
    auto const second = zone_emulator(zone(300, 1)).run();
    EXPECT_EQ(first.warm_runs, second.warm_runs);
    EXPECT_DOUBLE_EQ(first.credit(), second.credit());
}

TEST(zone_emulator, serves_a_lightly_loaded_zone_in_time_once_it_is_warm)
{
    auto const report = zone_emulator(zone(300, 1)).run();
    ASSERT_GE(report.seconds.size(), 20U);
    for (std::size_t second = 12; second < 20; ++second) {
        EXPECT_GT(report.seconds[second].earned, 0.9 * report.seconds[second].owed) << second;
    }
}

// If each overloaded target moved requests elsewhere, the others would forget their own objects and
// the whole zone would run at the speed of cold targets.
TEST(zone_emulator, keeps_an_overloaded_zone_warm)
{
    EXPECT_GT(warm_share(zone_emulator(zone(420, 2.4)).run()), 0.85);
}

// With plain hashing, half of the targets would get more objects than they keep warm, and forget
// one for each that they are given.
TEST(zone_emulator, warms_each_object_less_than_twice_if_the_targets_have_room_for_all)
{
    constexpr int objects = 700; // there is room for 768
    emulation_settings settings = zone(objects, 0.8);
    settings.length = seconds{40};
    EXPECT_LT(zone_emulator(settings).run().cold_runs, 2 * objects);
}

} // namespace
} // namespace cove
