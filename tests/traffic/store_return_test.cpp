/** @file Lists of targets and evacuations when the store comes back from an older copy. */

#include "support/position.h"
#include "traffic/evacuation_list.h"
#include "traffic/target_list.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

constexpr milliseconds heartbeat{1500};
constexpr milliseconds drain{2000};
constexpr mono_time start{seconds{50}};

target_entry entry(std::string const& name, target_phase phase = target_phase::serving,
                   std::int64_t incarnation = 1)
{
    target_entry out;
    out.id = target_id(name);
    out.address = "10.0.0.1:80";
    out.phase = phase;
    out.incarnation = target_incarnation(incarnation);
    return out;
}

/** A list of the serving targets `a` and `b` at revision 40 of the first era. */
class returned_list : public testing::Test {
protected:
    returned_list() { list.replace({entry("a"), entry("b")}, position(40), start); }

    /** @return the phase of a target in the list, or nothing if it is not there. */
    std::optional<target_phase> phase(std::string const& name)
    {
        for (target_entry const& each : list.entries()) {
            if (each.id == target_id(name)) {
                return each.phase;
            }
        }
        return std::nullopt;
    }

    target_list list{heartbeat, drain};
};

TEST_F(returned_list, is_taken_at_a_lower_revision_of_a_later_era)
{
    EXPECT_TRUE(list.replace({entry("a"), entry("b"), entry("c")}, position(30, 2), start));
    EXPECT_EQ(list.position(), position(30, 2));
    EXPECT_FALSE(list.replace({entry("a")}, position(50, 1), start)); // late
    EXPECT_EQ(list.entries().size(), 3U);
}

TEST_F(returned_list, keeps_what_the_copy_lacks_until_it_must_be_written_again)
{
    list.replace({entry("a")}, position(30, 2), start);
    list.expire(start + milliseconds{2000});
    EXPECT_TRUE(phase("b"));
    EXPECT_EQ(list.expire(start + milliseconds{3000}).removed, std::vector{target_id("b")});
    EXPECT_FALSE(phase("b"));
}

TEST_F(returned_list, keeps_what_the_copy_lacks_also_beside_a_list_of_a_peer)
{
    list.replace({entry("a")}, position(30, 2), start);
    list.replace({entry("a")}, position(31, 2), start);
    EXPECT_TRUE(phase("b"));
}

TEST_F(returned_list, obeys_a_removal_of_the_later_era_at_once)
{
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    EXPECT_TRUE(list.remove(target_id("b"), start + milliseconds{100}));
}

TEST_F(returned_list, knows_that_a_target_leaves_although_the_copy_does_not)
{
    list.put(entry("b", target_phase::leaving));
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    EXPECT_EQ(phase("b"), target_phase::leaving);
    list.replace({entry("a"), entry("b")}, position(31, 2), start); // from a peer
    EXPECT_EQ(phase("b"), target_phase::leaving);
    EXPECT_EQ(phase("a"), target_phase::serving);
}

TEST_F(returned_list, does_not_use_a_target_that_was_gone_before)
{
    list.remove(target_id("b"), start);
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    EXPECT_EQ(phase("b"), target_phase::leaving);
}

TEST_F(returned_list, uses_a_target_that_its_store_still_lists_when_its_report_was_due)
{
    list.remove(target_id("b"), start);
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    auto const changed = list.expire(start + 3 * heartbeat + milliseconds{500});
    ASSERT_EQ(changed.updated.size(), 1U);
    EXPECT_EQ(phase("b"), target_phase::serving);
}

TEST_F(returned_list, believes_a_report_of_the_later_era)
{
    list.remove(target_id("b"), start);
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    list.put(entry("b", target_phase::serving, 2)); // started again
    EXPECT_EQ(phase("b"), target_phase::serving);
    EXPECT_TRUE(list.expire(start + seconds{20}).updated.empty());
}

TEST_F(returned_list, keeps_the_later_incarnation_of_a_target)
{
    target_entry restarted = entry("b", target_phase::serving, 2);
    restarted.address = "10.0.0.2:80";
    list.put(restarted);
    list.replace({entry("a"), entry("b")}, position(30, 2), start);
    EXPECT_EQ(list.entries().at(1), restarted);
}

// RECOVER: an entry that two returns of the store had made doubtful and then missing was removed
// although the store listed it again.
TEST_F(returned_list, keeps_a_doubted_entry_that_is_listed_again)
{
    list.remove(target_id("b"), start);
    list.replace({entry("a"), entry("b")}, position(30, 2), start); // doubted
    list.replace({entry("a")}, position(20, 3), start);             // missing
    list.replace({entry("a"), entry("b")}, position(31, 3), start);
    list.expire(start + seconds{20});
    EXPECT_EQ(phase("b"), target_phase::serving);
}

// DRAIN: a peer that pulled the list kept an entry for good that its sender only held for a while.
TEST_F(returned_list, tells_peers_for_how_long_it_holds_an_entry)
{
    list.store_recovered(start);
    list.remove(target_id("b"), start);
    target_list peer(heartbeat, drain);
    peer.replace(list.listed_entries(), list.position(), start);
    for (held_target const& each : list.held(start)) {
        peer.hold(each, start);
    }
    EXPECT_EQ(peer.entries().size(), 2U);
    EXPECT_EQ(peer.expire(start + drain).removed, std::vector{target_id("b")});
}

TEST(evacuation_list, goes_on_with_what_the_copy_lacks_until_it_must_be_ordered_again)
{
    evacuation_list list;
    list.replace({zone_id("a")}, position(40), start);
    EXPECT_FALSE(list.replace({}, position(30, 2), start));
    EXPECT_EQ(list.zones(), std::set{zone_id("a")});
    EXPECT_FALSE(list.expire(start + milliseconds{2000}));
    EXPECT_TRUE(list.expire(start + milliseconds{3000}));
    EXPECT_TRUE(list.zones().empty());
}

TEST(evacuation_list, follows_orders_of_the_later_era)
{
    evacuation_list list;
    list.replace({zone_id("a")}, position(40), start);
    list.replace({}, position(30, 2), start);
    EXPECT_TRUE(list.change({{zone_id("b"), true}}, position(31, 2)));
    EXPECT_TRUE(list.change({{zone_id("a"), false}}, position(32, 2)));
    EXPECT_EQ(list.zones(), std::set{zone_id("b")});
    EXPECT_FALSE(list.change({{zone_id("b"), false}}, position(41, 1))); // late
    EXPECT_EQ(list.zones(), std::set{zone_id("b")});
}

// Whatever the order in which lists of two eras arrive, the newest one counts.
RC_GTEST_PROP(store_return, ends_with_the_newest_list_whatever_the_order, ())
{
    struct answer {
        store_position at;
        std::vector<target_entry> targets;
        std::set<zone_id> zones;
    };
    auto const count = *rc::gen::inRange(1, 12);
    std::map<store_position, answer> by_position; // a position has one content
    for (int i = 0; i < count; ++i) {
        auto const at = position(*rc::gen::inRange(1U, 20U), *rc::gen::inRange(1U, 3U));
        answer next{at, {}, {}};
        for (char const* const name : {"a", "b", "c"}) {
            if (*rc::gen::arbitrary<bool>()) {
                next.targets.push_back(entry(name));
            }
            if (*rc::gen::arbitrary<bool>()) {
                next.zones.emplace(name);
            }
        }
        by_position.try_emplace(at, next);
    }
    std::vector<answer> arriving;
    for (auto const& [at, each] : by_position) {
        arriving.push_back(each);
    }
    std::size_t const repeats = arriving.size();
    for (std::size_t i = 0; i < repeats; ++i) {
        std::swap(arriving[i], arriving[*rc::gen::inRange<std::size_t>(0, repeats)]);
    }
    target_list targets(heartbeat, drain);
    evacuation_list evacuations;
    for (answer const& each : arriving) {
        targets.replace(each.targets, each.at, start);
        evacuations.replace(each.zones, each.at, start);
    }
    targets.expire(start + seconds{20});
    evacuations.expire(start + seconds{20});
    answer const& newest = by_position.rbegin()->second;
    RC_ASSERT(targets.position() == newest.at);
    RC_ASSERT(targets.entries() == newest.targets);
    RC_ASSERT(evacuations.position() == newest.at);
    RC_ASSERT(evacuations.zones() == newest.zones);
}

} // namespace
} // namespace cove
