/** @file Entries of other writers whose names hold characters that mean something in a URL. */

#include "platform/store_case.h"

namespace cove {
namespace {

/** Names of other writers, in between those of the platform. */
std::vector<std::string> const odd_names{
    "a&b",  "a+b",       "a#b",      "a%b",   "a%41",
    "a%2",  "a b",       " a",       "a ",    "a?b",
    "a/b",  "a=b",       "a;b",      "a\"b",  "a\\b",
    "a\tb", "a\r\nX: y", "a\x7f",    "a\x01", "..",
    "&",    "%26",       "\xc3\xa9", "#",     std::string("a\0b", 3),
    "zz&a", "zz+",       "zz %",     "zz#"};

class odd_names_case : public testing::TestWithParam<std::size_t> {
protected:
    odd_names_case() : timers(loop), store(loop), client(loop, timers, address(), hooks())
    {
        store.page_items = GetParam();
    }

    [[nodiscard]] std::string address() const { return loopback(store.endpoint().port()); }

    store_hooks hooks()
    {
        store_hooks out;
        out.targets_listed = [this](target_snapshot const& got) { targets = got.entries; };
        out.evacuations_listed = [this](evacuation_snapshot const& got) { zones = got.zones; };
        out.config = [this](config_document const& got) { config = got.config.version; };
        out.hosts_listed = [this](std::vector<host_record> const& got) { hosts = got; };
        out.era_began = [](store_era) {};
        out.malformed = [this](std::string const&, std::string const&) { ++malformed; };
        return out;
    }

    void add_odd_entries(std::string const& kind)
    {
        for (std::string const& name : odd_names) {
            store.put(kind, name, "odd");
        }
    }

    static nlohmann::json target(std::string const& address)
    {
        return {{"address", address},
                {"info", {{"service", "desk"}, {"slots", 3}, {"zone", "east"}}},
                {"status", {{"cold_remaining", "0ms"}, {"state", "ready"}}}};
    }

    /** Lists with @p calls. @return whether it succeeded within as many calls as there are pages.
     */
    bool list(follow_calls const& calls, read_freshness freshness, std::size_t entries)
    {
        std::optional<follow_result> ended;
        store.lists = 0;
        calls.list(freshness, [&](follow_result const& got) { ended = got; });
        std::size_t const pages = (entries + GetParam() - 1) / GetParam();
        bool const done = run_until(loop, [&] {
            return ended.has_value() || static_cast<std::size_t>(store.lists) > pages;
        });
        EXPECT_LE(static_cast<std::size_t>(store.lists), pages);
        return done && ended && ended->status == follow_status::done;
    }

    boost::asio::io_context loop;
    loop_timers timers;
    returning_store store;
    store_client client;
    std::vector<target_entry> targets;
    std::set<zone_id> zones;
    generation config;
    std::vector<host_record> hosts;
    int malformed = 0;
};

// RECOVER: while such an entry ended a page, the list of targets was never complete.
TEST_P(odd_names_case, cost_only_themselves_in_a_list_of_targets)
{
    for (char const* const name : {"i-1", "i-2", "zzz"}) {
        store.put("servers", name, target("10.0.0.1:80"));
    }
    add_odd_entries("servers");
    for (auto const freshness : {read_freshness::current, read_freshness::may_be_stale}) {
        targets.clear();
        EXPECT_TRUE(list(client.calls().targets, freshness, odd_names.size() + 3));
        ASSERT_EQ(targets.size(), 3U);
        EXPECT_EQ(targets[0].id, target_id("i-1"));
        EXPECT_EQ(targets[1].id, target_id("i-2"));
        EXPECT_EQ(targets[2].id, target_id("zzz"));
    }
}

TEST_P(odd_names_case, cost_only_themselves_in_a_list_without_targets)
{
    add_odd_entries("servers");
    EXPECT_TRUE(list(client.calls().targets, read_freshness::current, odd_names.size()));
    EXPECT_TRUE(targets.empty());
}

TEST_P(odd_names_case, cost_only_themselves_in_a_list_of_evacuations)
{
    store.put("evacuations", "east");
    add_odd_entries("evacuations");
    EXPECT_TRUE(list(client.calls().evacuations, read_freshness::current, odd_names.size() + 1));
    EXPECT_TRUE(zones.contains(zone_id("east")));
}

TEST_P(odd_names_case, cost_only_themselves_in_a_list_of_configurations)
{
    store.put("config", "main", nlohmann::json::parse(R"({"version":"5","resources":[]})"));
    add_odd_entries("config");
    EXPECT_TRUE(list(client.calls().config, read_freshness::current, odd_names.size() + 1));
    EXPECT_EQ(config, generation(5));
}

TEST_P(odd_names_case, cost_only_themselves_in_a_list_of_hosts)
{
    store.put("entry-hosts", "h2", {{"zone", "east"}, {"ip", "10.0.0.2"}});
    add_odd_entries("entry-hosts");
    std::optional<bool> listed;
    client.calls().list_hosts([&](bool done) { listed = done; });
    ASSERT_TRUE(run_until(loop, [&] { return listed.has_value(); }));
    EXPECT_TRUE(*listed);
    ASSERT_EQ(hosts.size(), 1U);
    EXPECT_EQ(hosts[0].name, node_id("h2"));
}

// The id of a target goes into a header field of each request to it; these would end the field or
// arrive as another id.
TEST_P(odd_names_case, that_are_no_field_values_name_no_target)
{
    std::vector<std::string> const names{"i\r\nX: y", "i\n", "i\t",   "\ti",
                                         " i",        "i ",  "i\x7f", std::string("i\0", 2)};
    for (std::string const& name : names) {
        store.put("servers", name, target("10.0.0.1:80"));
    }
    store.put("servers", "i-1", target("10.0.0.1:80"));
    EXPECT_TRUE(list(client.calls().targets, read_freshness::current, names.size() + 1));
    ASSERT_EQ(targets.size(), 1U);
    EXPECT_EQ(targets[0].id, target_id("i-1"));
    EXPECT_EQ(malformed, static_cast<int>(names.size()));
}

// A name in place of an IP would be looked up by the thread that sends to all other hosts.
TEST_P(odd_names_case, records_of_hosts_without_an_ip_are_left_out)
{
    std::vector<std::string> const odd_ips{
        "example.com", "10.0.0.2:80", "10.0.0.2 ",     "*",
        "10.0.0",      "10.0.0.2\n",  "eth0;10.0.0.2", std::string("10.0.0.2\0x", 10)};
    for (std::string const& ip : odd_ips) {
        store.put("entry-hosts", "a " + ip, {{"zone", "east"}, {"ip", ip}});
    }
    store.put("entry-hosts", "h2", {{"zone", "east"}, {"ip", "10.0.0.2"}});
    std::optional<bool> listed;
    client.calls().list_hosts([&](bool done) { listed = done; });
    ASSERT_TRUE(run_until(loop, [&] { return listed.has_value(); }));
    ASSERT_EQ(hosts.size(), 1U);
    EXPECT_EQ(hosts[0].name, node_id("h2"));
    EXPECT_EQ(malformed, static_cast<int>(odd_ips.size()));
}

INSTANTIATE_TEST_SUITE_P(items_on_a_page, odd_names_case, testing::Values(1, 2, 3, 1'000));

// The path that names an object holds its name as well.
TEST(store_client, replaces_the_record_of_a_host_whose_name_is_no_path)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    returning_store store(loop);
    store.put("entry-hosts", "h/1 a&b?c#d%");
    store_hooks hooks;
    hooks.era_began = [](store_era) {};
    store_client client(loop, timers, loopback(store.endpoint().port()), hooks);
    std::optional<bool> replaced;
    client.calls().register_host({node_id("h/1 a&b?c#d%"), zone_id("east"), "10.0.0.1"}, true,
                                 [&](bool done) { replaced = done; });
    ASSERT_TRUE(run_until(loop, [&] { return replaced.has_value(); }));
    EXPECT_TRUE(*replaced);
    EXPECT_FALSE(store.has("entry-hosts", "h1")); // created when the path is not found
}

class host_beside_odd_names : public store_case {};

// RECOVER: a host that restarted while such an entry stood knew no target and served nothing.
TEST_F(host_beside_odd_names, follows_the_store)
{
    store.page_items = 1;
    for (std::string const& name : odd_names) {
        store.put("servers", name, "odd");
    }
    start();
    store.put("servers", "z&z", "odd");
    store.put("servers", "t2", target("10.0.0.3:80"));
    EXPECT_TRUE(becomes("cove_targets", 3, contact));
}

} // namespace
} // namespace cove
