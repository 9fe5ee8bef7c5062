/** @file The hosts of a zone when their store comes back from an older copy. */

#include "support/zone_case.h"

#include <algorithm>

namespace cove {
namespace {

/** A zone of which the first two hosts follow the store. */
class zone_at_return : public zone_case {
protected:
    bool all_report(std::string const& name, std::uint64_t value, milliseconds time)
    {
        return run_until(
            loop,
            [&] {
                for (std::size_t i = 0; i < hosts.size(); ++i) {
                    if (metric(i, name) != value) {
                        return false;
                    }
                }
                return true;
            },
            time);
    }

    /** Delivers a list of evacuations to the two followers as their lists do. */
    void list_evacuations(std::set<zone_id> const& zones, store_position at)
    {
        for (std::size_t i = 0; i < 2; ++i) {
            stores[i].era_began(at.era);
            stores[i].evacuations_listed({zones, at});
        }
    }
};

// EVAC: hosts that follow nothing by themselves kept the evacuations of before the return.
TEST_F(zone_at_return, the_later_era_reaches_hosts_that_do_not_follow_the_store)
{
    constexpr milliseconds evacuation{5000}; // the shortest bound of the deployments
    start_zone();
    list_evacuations({}, position(40));
    ASSERT_TRUE(all_report("cove_evacuations_revision", 40, evacuation));
    list_evacuations({zone_id("west")}, position(5, 2));
    EXPECT_TRUE(all_report("cove_evacuated_zones", 1, evacuation));
    EXPECT_TRUE(all_report("cove_store_returns", 1, evacuation));
    stores[0].evacuations_changed({{zone_id("west"), false}}, position(6, 2));
    EXPECT_TRUE(all_report("cove_evacuated_zones", 0, evacuation));
}

// The addresses of all hosts were lost with the store's data; each host writes its own once.
TEST_F(zone_at_return, each_host_writes_its_address_again_once)
{
    constexpr milliseconds contact{3000}; // the shortest of the deployments
    start_zone();
    list_evacuations({}, position(40));
    ASSERT_TRUE(all_report("cove_store_era", 1, contact));
    registered.clear();
    list_evacuations({}, position(5, 2));
    EXPECT_TRUE(run_until(
        loop, [this] { return registered.size() >= hosts.size(); }, contact));
    run_until(
        loop, [] { return false; }, milliseconds{1000});
    std::sort(registered.begin(), registered.end());
    EXPECT_EQ(registered.size(), hosts.size());
    EXPECT_EQ(std::adjacent_find(registered.begin(), registered.end()), registered.end());
}

// The connection for addresses of hosts carries one call at a time.
TEST(host_at_return, writes_its_address_again_after_the_pending_call)
{
    boost::asio::io_context loop;
    loop_timers timers(loop);
    store_hooks store;
    std::vector<std::function<void(bool)>> calls;
    auto const settings = host_settings_table().parse(settings_text(), "test");
    ASSERT_TRUE(settings);
    entry_host host(
        loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
        [&](store_hooks hooks) {
            store = std::move(hooks);
            store_calls out = silent_store();
            out.register_host = [&](host_record const&, bool, std::function<void(bool)> done) {
                calls.push_back(std::move(done));
            };
            return out;
        });
    ASSERT_TRUE(host.start());
    store.era_began(store_era(1));
    store.era_began(store_era(2));
    run_until(
        loop, [] { return false; }, milliseconds{300});
    ASSERT_EQ(calls.size(), 1U);
    calls[0](true);
    EXPECT_TRUE(run_until(loop, [&] { return calls.size() == 2; }));
}

} // namespace
} // namespace cove
