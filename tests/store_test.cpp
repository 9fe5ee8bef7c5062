#include "local_store.h"
#include "store/object_client.h"
#include "store/object_follower.h"

#include <gtest/gtest.h>

namespace {

using namespace cove;

/** A store on loopback and a client of it. */
struct platform : testing::Test {
    local_store local;
    object_store& store = local.store;
    object_client client{local.address(), milliseconds(500)};
};

TEST_F(platform, versions_and_conditions)
{
    EXPECT_EQ(client.read("a/b").error().kind, store_failure::not_found);
    EXPECT_EQ(client.write("a/b", "one", 0).value(), 1U);
    EXPECT_EQ(client.write("a/b", "again", 0).error().kind, store_failure::conflict);
    EXPECT_EQ(client.write("a/b", "two", 1).value(), 2U);
    EXPECT_EQ(client.write("a/b", "late", 1).error().kind, store_failure::conflict);
    EXPECT_EQ(client.read("a/b")->value, "two");
    EXPECT_EQ(client.read("a/b")->version, 2U);
}

TEST_F(platform, values_above_a_megabyte_are_rejected)
{
    EXPECT_TRUE(client.write("most", std::string(max_object_bytes, 'x'), 0));
    EXPECT_EQ(client.write("more", std::string(max_object_bytes + 1, 'x'), 0).error().kind,
              store_failure::rejected);
}

TEST_F(platform, faults_say_what_is_known_of_the_effect)
{
    struct {
        char const* name = "";
        store_faults faults;
        store_failure write = store_failure::not_known;
        bool took_effect = false;
    } const cases[] = {
        {"outage", {.outage = true}, store_failure::not_known, false},
        {"slow", {.delay = milliseconds(700)}, store_failure::not_known, true},
        {"lost", {.lose_answers = 1}, store_failure::not_known, true},
    };
    for (auto const& c : cases) {
        store.set_faults(c.faults);
        auto const written = client.write(c.name, "x", 0);
        ASSERT_FALSE(written) << c.name;
        EXPECT_EQ(written.error().kind, c.write) << c.name;
        EXPECT_EQ(written.error().where.step, "store.write");
        EXPECT_NE(written.error().where.peer.find(local.address()), std::string::npos);
        std::this_thread::sleep_for(c.faults.delay);
        EXPECT_EQ(store.value_of(c.name).has_value(), c.took_effect) << c.name;
        store.set_faults({});
    }
}

TEST_F(platform, unreachable_store_provably_took_nothing)
{
    local.shut();
    EXPECT_EQ(client.write("a", "x", 0).error().kind, store_failure::unavailable);
    EXPECT_EQ(client.read("a").error().kind, store_failure::unavailable);
}

TEST_F(platform, stale_reads_see_the_version_before)
{
    store.put("a", "one");
    store.put("a", "two");
    store.set_faults({.stale_reads = true});
    EXPECT_EQ(client.read("a")->value, "one");
    EXPECT_EQ(client.read("a")->version, 1U);
}

TEST_F(platform, waiting_watch_is_one_call)
{
    store.put("a", "one");
    EXPECT_EQ((*client.watch("a", 0, milliseconds(100)))->value, "one");
    EXPECT_FALSE(client.watch("a", 1, milliseconds(50))->has_value());
    std::jthread const writer([this] {
        std::this_thread::sleep_for(milliseconds(50));
        store.put("a", "two");
    });
    EXPECT_EQ((*client.watch("a", 1, milliseconds(2000)))->value, "two");
    EXPECT_EQ(store.calls().watches, 3U);
}

TEST_F(platform, follower_sees_changes_through_outages)
{
    std::mutex mutex;
    std::condition_variable arrived;
    std::string newest;
    std::atomic<int> failures = 0;
    object_follower follower(
        {.store_address = local.address(), .object = "a", .watch_wait = milliseconds(500)},
        [&](stored_object const& object) {
            std::lock_guard const lock(mutex);
            newest = object.value;
            arrived.notify_all();
        },
        [&](store_error const&) { ++failures; });
    auto const sees = [&](std::string const& value) {
        std::unique_lock lock(mutex);
        return arrived.wait_for(lock, seconds(10), [&] { return newest == value; });
    };
    follower.start();
    follower.set_watch(true);
    store.put("a", "one");
    EXPECT_TRUE(sees("one"));
    local.shut();
    store.put("a", "two");
    while (failures == 0) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    ASSERT_TRUE(local.open());
    EXPECT_TRUE(sees("two"));
    store.set_faults({.outage = true});
    store.put("a", "three");
    store.set_faults({.stale_reads = true});
    store.set_faults({});
    EXPECT_TRUE(sees("three"));
}

} // namespace
