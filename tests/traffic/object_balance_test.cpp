/** @file Even distribution of objects over the targets of a zone. */

#include "traffic/object_balance.h"

#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace cove {
namespace {

mono_time const start{seconds{100}};

std::vector<balance_target> targets(int count, int slots = 3)
{
    std::vector<balance_target> out;
    for (int i = 0; i < count; ++i) {
        out.push_back({static_cast<std::uint64_t>(i) * 7919 + 1, slots});
    }
    return out;
}

std::uint64_t first_target(std::uint32_t object, std::vector<balance_target> const& among)
{
    std::uint64_t first = 0;
    std::uint64_t best = 0;
    for (balance_target const& target : among) {
        if (std::uint64_t const score = rendezvous_score(object, target.id_hash); score >= best) {
            best = score;
            first = target.id_hash;
        }
    }
    return first;
}

std::uint64_t target_of(object_balance const& balance, std::uint32_t object,
                        std::vector<balance_target> const& among)
{
    return balance.moved_to(object).value_or(first_target(object, among));
}

RC_GTEST_PROP(object_balance, gives_no_target_much_more_than_its_share, ())
{
    int const objects = *rc::gen::inRange(1, 600);
    auto const among = targets(*rc::gen::inRange(1, 40));
    object_balance balance;
    for (int i = 0; i < objects; ++i) {
        balance.use(static_cast<std::uint32_t>(i), start);
    }
    balance.assign(among, start);
    std::map<std::uint64_t, int> counts;
    for (int i = 0; i < objects; ++i) {
        ++counts[target_of(balance, static_cast<std::uint32_t>(i), among)];
    }
    bool const spread = objects <= 64 * static_cast<int>(among.size());
    for (auto const& [target, count] : counts) {
        double const share = static_cast<double>(objects) / static_cast<double>(among.size());
        RC_ASSERT(!spread || count <= std::ceil(1.05 * share));
    }
}

TEST(object_balance, is_the_same_on_hosts_that_learned_of_the_objects_differently)
{
    auto const among = targets(12);
    object_balance seen;
    object_balance told;
    for (std::uint32_t i = 0; i < 200; ++i) {
        seen.use(i, start);
        if (i % 3 == 0) {
            told.use(199 - i, start);
        }
    }
    told.merge(seen.announcements(milliseconds{1000}, start), start);
    seen.assign(among, start);
    told.assign(among, start + milliseconds{300});
    for (std::uint32_t i = 0; i < 200; ++i) {
        EXPECT_EQ(seen.moved_to(i), told.moved_to(i)) << i;
    }
}

TEST(object_balance, announces_an_object_that_stays_in_use_again_and_forgets_others)
{
    object_balance balance;
    balance.use(1, start);
    balance.use(2, start);
    EXPECT_EQ(balance.announcements(milliseconds{500}, start).size(), 2U);
    mono_time now = start;
    for (; now < start + seconds{30}; now += seconds{1}) {
        balance.use(1, now);
        if (balance.assignment_due(now)) {
            balance.assign(targets(1), now);
        }
    }
    EXPECT_LE(balance.announcements(seconds{60}, now).size(), 2U);
    balance.use(2, now); // as if it was new
    EXPECT_EQ(balance.announcements(milliseconds{0}, now), std::vector<std::uint32_t>{2});
}

TEST(object_balance, moves_few_objects_when_a_target_leaves)
{
    auto const before = targets(20);
    auto const after = std::vector<balance_target>(before.begin() + 1, before.end());
    object_balance balance;
    std::map<std::uint32_t, std::uint64_t> old;
    for (std::uint32_t i = 0; i < 300; ++i) {
        balance.use(i, start);
    }
    balance.assign(before, start);
    for (std::uint32_t i = 0; i < 300; ++i) {
        old[i] = target_of(balance, i, before);
    }
    balance.assign(after, start + seconds{2});
    int moved = 0;
    for (auto const& [object, target] : old) {
        moved += target_of(balance, object, after) != target ? 1 : 0;
    }
    EXPECT_LE(moved, 300 / 20 * 4); // its own objects, and some that these displace
}

} // namespace
} // namespace cove
