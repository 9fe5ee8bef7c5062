/** @file An entry host whose open connections to the store acknowledge and say nothing. */

#include "platform/store_case.h"

namespace cove {
namespace {

/** The store changes a second after its connections have become mute. */
class mute_store : public store_case {
protected:
    /** @return whether the host has noticed @p change within contact of the silence. */
    bool notices(std::function<void()> const& change, std::string const& metric, long value)
    {
        constexpr milliseconds change_delay{1000};
        start();
        run_for(milliseconds{1500}); // its calls of the start are over
        link.cut(link_cut::mute);
        run_for(change_delay);
        change();
        return becomes(metric, value, contact - change_delay);
    }
};

// CONFIG, HOME: hosts ran the old service, or in the old home, after `contact` had passed.
TEST_F(mute_store, a_configuration_is_in_force_within_contact)
{
    std::string newer = config_text;
    newer.replace(newer.find("00000005"), 8, "00000009");
    EXPECT_TRUE(notices([&] { store.put("config", "main", nlohmann::json::parse(newer)); },
                        "cove_config_version", 9));
}

// DRAIN: the same for a target that leaves.
TEST_F(mute_store, a_target_that_is_removed_is_dropped_within_contact)
{
    EXPECT_TRUE(notices([this] { store.remove("servers", "t1"); }, "cove_targets", 1));
}

// EVAC: the same for an evacuation.
TEST_F(mute_store, an_evacuation_is_carried_out_within_contact)
{
    EXPECT_TRUE(notices([this] { store.put("evacuations", "east"); }, "cove_evacuated_zones", 1));
}

} // namespace
} // namespace cove
