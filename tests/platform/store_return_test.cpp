/** @file An entry host before a store that comes back from an older copy of its data. */

#include "platform/store_client.h"
#include "support/host_case.h"
#include "support/returning_store.h"

namespace cove {
namespace {

constexpr milliseconds contact{3000}; ///< the shortest of the deployments
constexpr milliseconds drain{2000};   ///< the same

/** A ready host of the name `h1` whose store has two targets. */
class store_return : public testing::Test {
protected:
    store_return() : timers(loop), store(loop)
    {
        store.put("config", "main", nlohmann::json::parse(config_text));
        store.put("servers", "t0", target("10.0.0.1:80"));
        store.put("servers", "t1", target("10.0.0.2:80"));
        auto const settings = host_settings_table().parse(settings_text(), "test");
        EXPECT_TRUE(settings);
        metrics_address = settings->metrics_address;
        host = std::make_unique<entry_host>(
            loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
            [this](store_hooks hooks) {
                client =
                    std::make_unique<store_client>(loop, timers, store.address(), std::move(hooks));
                return client->calls();
            });
    }

    static nlohmann::json target(std::string const& address, std::string const& state = "ready")
    {
        return {{"address", address},
                {"born", 1000},
                {"info", {{"service", "desk"}, {"slots", 3}, {"zone", "east"}}},
                {"status", {{"cold_remaining", "0ms"}, {"seq", 1}, {"state", state}}}};
    }

    /** @return a metric of the host, or -1 if it has none of that name. */
    long metric(std::string const& name)
    {
        http_request request(boost::beast::http::verb::get, "/metrics", 11);
        std::string const text =
            exchange_once(loop, metrics_address, std::move(request)).response.body();
        auto const at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stol(text.substr(at + name.size() + 2));
    }

    void run_for(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    bool becomes(std::string const& name, long value, milliseconds time)
    {
        return run_until(
            loop, [&] { return metric(name) == value; }, time);
    }

    /** Lets the host follow the store. */
    void start()
    {
        ASSERT_TRUE(host->start());
        ASSERT_TRUE(becomes("cove_targets", 2, contact));
        ASSERT_TRUE(becomes("cove_follows_store", 1, contact));
    }

    /** The store loses what was written since its last copy. */
    void go_back()
    {
        store.go_away();
        run_for(milliseconds{1000});
        store.come_back();
    }

    static constexpr char const* config_text =
        R"({"version":"00000005","resources":[{"resource_kind":"limits","metadata":{},"spec":
        {"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout":"3s",
        "idle_timeout":"15s"}}]})";

    boost::asio::io_context loop;
    loop_timers timers;
    returning_store store;
    std::string metrics_address;
    std::unique_ptr<store_client> client;
    std::unique_ptr<entry_host> host;
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
