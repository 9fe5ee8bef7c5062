/** @file An entry host before a store that comes back from an older copy of its data. */

#include "platform/store_case.h"

namespace cove {
namespace {

class store_return : public store_case {
protected:
    /** The store loses what was written since its last copy. */
    void go_back()
    {
        store.go_away();
        run_for(milliseconds{1000});
        store.come_back();
    }
};

// EVAC: an evacuation ordered after the store had come back older was never carried out.
TEST_F(store_return, an_evacuation_ordered_afterwards_is_carried_out)
{
    store.copy();
    start();
    for (int i = 0; i < 20; ++i) { // revisions that the store gives out again
        store.put("servers", "t1", target("10.0.0.2:80"));
    }
    run_for(milliseconds{1000});
    go_back();
    run_for(2 * contact);
    store.put("evacuations", "east");
    EXPECT_TRUE(becomes("cove_evacuated_zones", 1, contact));
    store.remove("evacuations", "east");
    EXPECT_TRUE(becomes("cove_evacuated_zones", 0, contact));
}

// DRAIN: a target that left after the store had come back older went on getting requests.
TEST_F(store_return, a_target_that_is_removed_afterwards_is_dropped)
{
    store.copy();
    start();
    for (int i = 0; i < 20; ++i) {
        store.put("servers", "t1", target("10.0.0.2:80"));
    }
    run_for(milliseconds{1000});
    go_back();
    run_for(2 * contact);
    store.remove("servers", "t1");
    EXPECT_TRUE(becomes("cove_targets", 1, drain));
}

// EVAC: the store's revisions may have passed those of before when the host reaches it again.
TEST_F(store_return, what_changed_below_the_last_known_revision_is_not_missed)
{
    store.copy();
    start();
    store.put("servers", "t1", target("10.0.0.2:80"));
    run_for(milliseconds{1000});
    store.go_away();
    run_for(milliseconds{1000});
    store.come_back();
    store.put("evacuations", "east"); // at a revision that the host has seen in the era before
    for (int i = 0; i < 20; ++i) {
        store.put("servers", "t1", target("10.0.0.2:80"));
    }
    EXPECT_TRUE(becomes("cove_evacuated_zones", 1, contact));
}

// The address of a host was lost with the store's data and never written again.
TEST_F(store_return, the_address_of_the_host_is_written_again)
{
    store.copy();
    start();
    ASSERT_TRUE(run_until(loop, [this] { return store.has("entry-hosts", "h1"); }));
    go_back();
    ASSERT_FALSE(store.has("entry-hosts", "h1"));
    EXPECT_TRUE(run_until(
        loop, [this] { return store.has("entry-hosts", "h1"); }, contact));
}

// The configuration has a version of its own and stays in force.
TEST_F(store_return, the_configuration_in_force_stays)
{
    store.copy();
    start();
    std::string newer = config_text;
    newer.replace(newer.find("00000005"), 8, "00000009");
    store.put("config", "main", nlohmann::json::parse(newer));
    ASSERT_TRUE(becomes("cove_config_version", 9, contact));
    go_back();
    run_for(contact);
    EXPECT_EQ(metric("cove_config_version"), 9);
}

// An evacuation that the copy lacks is still in force; the operator writes it again.
TEST_F(store_return, an_evacuation_that_the_copy_lacks_stays_until_it_is_written_again)
{
    store.copy();
    start();
    store.put("evacuations", "east");
    ASSERT_TRUE(becomes("cove_evacuated_zones", 1, contact));
    go_back();
    EXPECT_FALSE(becomes("cove_evacuated_zones", 0, milliseconds{2000}));
    store.put("evacuations", "east");
    run_for(contact);
    EXPECT_EQ(metric("cove_evacuated_zones"), 1);
}

// An evacuation that nobody writes again has ended.
TEST_F(store_return, an_evacuation_that_is_not_written_again_ends)
{
    store.copy();
    start();
    store.put("evacuations", "east");
    ASSERT_TRUE(becomes("cove_evacuated_zones", 1, contact));
    go_back();
    EXPECT_TRUE(becomes("cove_evacuated_zones", 0, 2 * contact));
}

// A target that the copy lacks writes its entry again within two seconds.
TEST_F(store_return, a_target_that_the_copy_lacks_is_used_until_it_is_written_again)
{
    store.copy();
    start();
    store.put("servers", "t2", target("10.0.0.3:80"));
    ASSERT_TRUE(becomes("cove_targets", 3, contact));
    go_back();
    EXPECT_FALSE(becomes("cove_targets", 2, milliseconds{1500}));
    store.put("servers", "t2", target("10.0.0.3:80"));
    run_for(contact);
    EXPECT_EQ(metric("cove_targets"), 3);
}

// Each return is followed, also one right after another.
TEST_F(store_return, twice_in_a_row_is_followed)
{
    store.copy();
    start();
    store.put("servers", "t2", target("10.0.0.3:80"));
    run_for(milliseconds{1000});
    go_back();
    run_for(milliseconds{300});
    store.put("servers", "t2", target("10.0.0.3:80"));
    run_for(milliseconds{300});
    go_back();
    run_for(contact);
    store.put("evacuations", "east");
    EXPECT_TRUE(becomes("cove_evacuated_zones", 1, contact));
}

} // namespace
} // namespace cove
