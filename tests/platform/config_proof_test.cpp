/** @file What the store's answers prove of the host's configuration. */

#include "platform/store_case.h"

namespace cove {
namespace {

class config_proof_case : public store_case {
protected:
    [[nodiscard]] long age() { return metric("cove_config_proof_age_ms"); }

    void put(std::string const& version)
    {
        auto config = nlohmann::json::parse(config_text);
        config["version"] = version;
        store.put("config", "main", config);
    }
};

// Guards against an empty watch after a configuration that cannot be read, which is then the newest
// although the host has not applied it.
TEST_F(config_proof_case, a_configuration_that_cannot_be_read_proves_nothing_until_a_newer_one)
{
    start();
    ASSERT_TRUE(run_until(
        loop, [this] { return age() >= 0; }, milliseconds{6000}));
    put("none");
    run_for(milliseconds{4000});
    EXPECT_GT(age(), 3500);
    put("00000006");
    EXPECT_TRUE(becomes("cove_config_version", 6, contact));
    EXPECT_LT(age(), 3000);
}

} // namespace
} // namespace cove
