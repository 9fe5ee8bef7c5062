#include "local_store.h"
#include "store/object_client.h"
#include "store/object_follower.h"

#include <gtest/gtest.h>

namespace {

using namespace cove;

/** An object store on the loopback interface and a client of it. */
struct store_fixture : testing::Test {
    local_store local;
    object_store& store = local.store;
    object_client client{local.address(), milliseconds(500)};
};

TEST_F(store_fixture, versions_and_conditions)
{
    EXPECT_EQ(client.read("a/b").error().kind, store_failure::not_found);
    EXPECT_EQ(client.write("a/b", "one", 0).value(), 1U);
    EXPECT_EQ(client.write("a/b", "again", 0).error().kind, store_failure::conflict);
    EXPECT_EQ(client.write("a/b", "two", 1).value(), 2U);
    EXPECT_EQ(client.write("a/b", "late", 1).error().kind, store_failure::conflict);
    EXPECT_EQ(client.read("a/b")->value, "two");
    EXPECT_EQ(client.read("a/b")->version, 2U);
}

TEST_F(store_fixture, values_above_a_megabyte_are_rejected)
{
    EXPECT_TRUE(client.write("most", std::string(max_object_bytes, 'x'), 0));
    EXPECT_EQ(client.write("more", std::string(max_object_bytes + 1, 'x'), 0).error().kind,
              store_failure::rejected);
}

TEST_F(store_fixture, faults_make_the_outcome_of_a_write_unknown)
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
        EXPECT_EQ(written.error().details.step, "store.write");
        EXPECT_NE(written.error().details.peer.find(local.address()), std::string::npos);
        std::this_thread::sleep_for(c.faults.delay);
        EXPECT_EQ(store.latest_value(c.name).has_value(), c.took_effect) << c.name;
        store.set_faults({});
    }
}

TEST_F(store_fixture, unreachable_store_is_reported_as_unavailable)
{
    local.stop();
    EXPECT_EQ(client.write("a", "x", 0).error().kind, store_failure::unavailable);
    EXPECT_EQ(client.read("a").error().kind, store_failure::unavailable);
}

TEST_F(store_fixture, stale_read_returns_the_previous_version)
{
    store.put("a", "one");
    store.put("a", "two");
    store.set_faults({.stale_reads = true});
    EXPECT_EQ(client.read("a")->value, "one");
    EXPECT_EQ(client.read("a")->version, 1U);
}

TEST_F(store_fixture, watch_waits_for_a_change_in_one_call)
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

TEST_F(store_fixture, follower_reports_changes_made_during_outages)
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
    auto const wait_for_value = [&](std::string const& value) {
        std::unique_lock lock(mutex);
        return arrived.wait_for(lock, seconds(10), [&] { return newest == value; });
    };
    follower.start();
    follower.set_watching(true);
    store.put("a", "one");
    EXPECT_TRUE(wait_for_value("one"));
    local.stop();
    store.put("a", "two");
    while (failures == 0) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    ASSERT_TRUE(local.start());
    EXPECT_TRUE(wait_for_value("two"));
    store.set_faults({.outage = true});
    store.put("a", "three");
    store.set_faults({.stale_reads = true});
    store.set_faults({});
    EXPECT_TRUE(wait_for_value("three"));
}

} // namespace
