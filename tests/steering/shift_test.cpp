#include "core/invariant.h"
#include "steering/link_budget.h"
#include "steering/planned_move.h"
#include "steering/shift_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

constexpr double rounding = 1e-6;
wall_time const start{seconds(1000)};

mono_time at(milliseconds offset)
{
    return mono_time(seconds(100)) + offset;
}

move_config a_move()
{
    return {move_id{"m"}, service_id{"s"}, zone_id{"a"}, zone_id{"b"}, start, 0.35,
            0.1,          seconds(10)};
}

RC_GTEST_PROP(shift_limiter, movement_in_any_window_stays_under_the_cap,
              (std::vector<std::pair<unsigned, unsigned>> const& requests))
{
    shift_config const limits;
    shift_limiter limiter;
    mono_time now = at({});
    std::vector<shift_entry> moved;
    for (auto const& [pause, request] : requests) {
        now += milliseconds(pause % 20000);
        double const wanted = static_cast<double>(request % 1000) / 1000;
        moved.push_back({now, acquire_shift(limiter, limits, {}, now, wanted)});
    }
    for (shift_entry const& first : moved) {
        double sum = 0;
        for (shift_entry const& entry : moved) {
            auto const after = entry.at - first.at;
            bool const counted =
                after >= microseconds(0) && after <= limits.window + limits.answer_lifetime;
            sum += counted ? entry.share : 0;
        }
        RC_ASSERT(sum <= limits.cap + rounding);
    }
}

TEST(shift_limiter, two_moves_and_a_failover_share_one_cap)
{
    shift_config const limits;
    shift_limiter limiter;
    EXPECT_NEAR(acquire_shift(limiter, limits, {}, at({}), 0.04), 0.04, rounding);
    EXPECT_NEAR(acquire_shift(limiter, limits, {}, at(seconds(1)), 0.04), 0.04, rounding);
    EXPECT_NEAR(acquire_shift(limiter, limits, {}, at(seconds(2)), 1.0), 0.02, rounding);
    EXPECT_NEAR(acquire_shift(limiter, limits, {}, at(seconds(12)), 1.0), 0, rounding)
        << "cached answers still follow the first shift";
    EXPECT_NEAR(acquire_shift(limiter, limits, {}, at(milliseconds(15500)), 1.0), 0.04, rounding);
}

TEST(shift_limiter, a_new_leader_waits_for_what_the_old_one_may_have_moved)
{
    shift_limiter limiter;
    assume_cap_used(limiter, {}, at({}));
    EXPECT_EQ(acquire_shift(limiter, {}, {}, at(seconds(15)), 1.0), 0);
    EXPECT_GT(acquire_shift(limiter, {}, {}, at(seconds(16)), 1.0), 0);
}

TEST(shift_limiter, shift_above_the_cap_violates_an_invariant)
{
    disabled_mechanisms disabled;
    disabled.shift_cap = true;
    shift_limiter limiter;
    EXPECT_THROW(acquire_shift(limiter, {}, disabled, at({}), 1.0), invariant_violation);
}

RC_GTEST_PROP(planned_move, share_is_a_bounded_monotone_function_of_wall_time,
              (unsigned share, unsigned step, unsigned interval, unsigned t1, unsigned t2))
{
    auto move = a_move();
    move.share = static_cast<double>(share % 101) / 100;
    move.step = static_cast<double>(step % 100 + 1) / 100;
    move.interval = seconds(interval % 60 + 1);
    wall_time const early = start + milliseconds(std::min(t1, t2) % 1000000);
    wall_time const late = std::max(early, start + milliseconds(std::max(t1, t2) % 1000000));
    RC_ASSERT(planned_share(move, early) <= planned_share(move, late));
    RC_ASSERT(planned_share(move, late) <= move.share);
    RC_ASSERT(planned_share(move, start - microseconds(1)) == 0);
}

TEST(planned_move, steps_to_its_share)
{
    struct row {
        seconds after;
        double share;
    };
    for (row const& r : {row{seconds(-1), 0}, row{seconds(0), 0.1}, row{seconds(9), 0.1},
                         row{seconds(10), 0.2}, row{seconds(30), 0.35}, row{seconds(999), 0.35}}) {
        EXPECT_NEAR(planned_share(a_move(), start + r.after), r.share, rounding);
    }
}

TEST(planned_move, hold_starts_and_ends_after_consecutive_checks)
{
    move_hold hold;
    auto const later = start + seconds(20);
    auto const check = [&](destination_check c) { record_check(hold, c, 0.1); };
    check(destination_check::bad);
    check(destination_check::bad);
    check(destination_check::good);
    check(destination_check::bad);
    EXPECT_NEAR(allowed_share(hold, a_move(), {}, later), 0.3, rounding);
    check(destination_check::bad);
    check(destination_check::bad);
    EXPECT_NEAR(allowed_share(hold, a_move(), {}, later), 0.1, rounding);
    for (int i = 0; i < 5; ++i) {
        check(destination_check::good);
    }
    EXPECT_NEAR(allowed_share(hold, a_move(), {}, later), 0.1, rounding);
    check(destination_check::good);
    EXPECT_NEAR(allowed_share(hold, a_move(), {}, later), 0.3, rounding);
}

TEST(planned_move, share_ahead_of_the_plan_violates_an_invariant)
{
    disabled_mechanisms disabled;
    disabled.move_pace = true;
    EXPECT_THROW(allowed_share({}, a_move(), disabled, start), invariant_violation);
}

/** One of two entry hosts of region r1, which has a link of 1000 bytes/s to region r2. */
struct link_fixture {
    node_identity self{node_id{"e1"}, zone_id{"a"}, incarnation_id{1}};
    membership_state members;
    random_engine random;
    disabled_mechanisms disabled;
    deployment config;
    link_budget budget;

    link_fixture()
    {
        config.zones = {{zone_id{"a"}, region_id{"r1"}},
                        {zone_id{"a2"}, region_id{"r1"}},
                        {zone_id{"b"}, region_id{"r2"}},
                        {zone_id{"c"}, region_id{"r3"}}};
        config.links = {{region_id{"r1"}, region_id{"r2"}, 1000, {}}};
        host_list hosts{
            1, {{node_id{"e1"}, zone_id{"a"}, "", ""}, {node_id{"e2"}, zone_id{"a2"}, "", ""}}, {}};
        apply_host_list(members, hosts);
        refresh_link_budget(budget, view(at({})));
    }

    node_view view(mono_time now)
    {
        return {{now, {}}, self, &config, members, random, disabled, nullptr};
    }

    bool take(milliseconds when, char const* zone, std::uint64_t bytes)
    {
        return consume_link_budget(budget, view(at(when)), zone_id{zone}, bytes);
    }
};

TEST(link_budget, each_host_gets_an_equal_share_of_the_link)
{
    link_fixture fixture;
    EXPECT_TRUE(fixture.take(milliseconds(0), "b", 125))
        << "a burst of 0.25 s at half the link's rate";
    EXPECT_FALSE(fixture.take(milliseconds(0), "b", 1));
    EXPECT_TRUE(fixture.take(milliseconds(100), "b", 50));
    EXPECT_FALSE(fixture.take(milliseconds(100), "b", 1));
    EXPECT_TRUE(fixture.take(milliseconds(100), "a2", 1000000)) << "same region";
    EXPECT_FALSE(fixture.take(milliseconds(100), "c", 1)) << "no configured link";
}

TEST(link_budget, exceeding_it_violates_an_invariant)
{
    link_fixture fixture;
    fixture.disabled.link_budget = true;
    EXPECT_THROW(fixture.take(milliseconds(0), "b", 1000), invariant_violation);
}

} // namespace
