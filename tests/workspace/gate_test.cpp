/** @file Which requests the gate admits, and for which workspace. */

#include "workspace/access_key.h"
#include "workspace/workspace_gate.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

workspace_config workspace(std::string name, std::vector<std::string> keys,
                           std::vector<region_id> home_regions = {})
{
    return {workspace_id(std::move(name)), std::move(keys), {}, std::move(home_regions), {}};
}

class gate_case : public testing::Test {
protected:
    [[nodiscard]] admission_decision decide(std::vector<std::string_view> const& values,
                                            bool fresh = true, bool is_public = false) const
    {
        return gate.admit({is_public, homes}, values, directory, fresh);
    }

    [[nodiscard]] admission relayed(std::string const& name, std::string const& key,
                                    std::uint64_t version, bool fresh = true) const
    {
        std::string const fingerprint = key_fingerprint(key);
        return workspace_gate::admit_relayed({false, homes},
                                             {name, fingerprint, generation(version)}, directory,
                                             generation(5), fresh)
            .outcome;
    }

    std::vector<region_id> homes = {region_id("r")};
    workspace_directory directory{std::vector<workspace_config>{
        workspace("a", {"ka", "ka", "shared"}), workspace("b", {"kb", "shared"}, homes),
        workspace("far", {"kf"}, {region_id("q")})}};
    workspace_gate gate{"Token"};
};

// Guards against a key in two workspaces that opens either, and against a match of a part of a key.
TEST_F(gate_case, whole_keys_of_exactly_one_workspace_are_known)
{
    EXPECT_EQ(directory.find("ka")->name, workspace_id("a"));
    EXPECT_EQ(directory.find_fingerprint(key_fingerprint("kb"))->name, workspace_id("b"));
    for (char const* const key : {"shared", "k", "kaa", "KA", ""}) {
        EXPECT_EQ(directory.find(key), nullptr) << key;
        EXPECT_EQ(directory.find_fingerprint(key_fingerprint(key)), nullptr) << key;
    }
}

// Guards against a malformed field that is taken for a key, or answered 503, which clients retry.
TEST_F(gate_case, malformed_authorization_is_unauthorized_whether_fresh_or_not)
{
    std::string const over_long = "Token " + std::string(1025, 'x');
    for (std::vector<std::string_view> const& values : {std::vector<std::string_view>{},
                                                        {""},
                                                        {"Token"},
                                                        {"Token "},
                                                        {"ka"},
                                                        {"Bearer ka"},
                                                        {"Tokenka"},
                                                        {"Token ka kb"},
                                                        {"Token k\ta"},
                                                        {"Token k\x7f"},
                                                        {over_long},
                                                        {"Token ka", "Token ka"}}) {
        for (bool const fresh : {true, false}) {
            EXPECT_EQ(decide(values, fresh).outcome, admission::unauthorized);
            EXPECT_EQ(decide(values, fresh, true).outcome, admission::admitted);
        }
    }
}

TEST_F(gate_case, a_key_decides_only_with_a_fresh_configuration)
{
    EXPECT_EQ(decide({"toKEN ka"}).workspace->name, workspace_id("a"));
    EXPECT_EQ(decide({"Token kb"}).outcome, admission::admitted);
    EXPECT_EQ(decide({"Token no"}).outcome, admission::unauthorized);
    EXPECT_EQ(decide({"Token ka"}, false).outcome, admission::not_fresh);
    EXPECT_EQ(decide({"Token no"}, false).outcome, admission::not_fresh);
    EXPECT_EQ(decide({"Token kf"}).outcome, admission::no_home_region);
    // On a public route a key identifies its workspace, but only if it can't have been withdrawn.
    EXPECT_EQ(decide({"Token ka"}, true, true).workspace->name, workspace_id("a"));
    EXPECT_EQ(decide({"Token ka"}, false, true).workspace, nullptr);
    EXPECT_EQ(decide({"Token no"}, true, true).outcome, admission::admitted);
}

// Guards against a relayed request that runs without this host checking its key.
TEST_F(gate_case, a_relayed_request_is_decided_again)
{
    EXPECT_EQ(relayed("a", "ka", 5), admission::admitted);
    EXPECT_EQ(relayed("a", "no", 6), admission::not_known_yet);
    EXPECT_EQ(relayed("b", "ka", 6), admission::not_known_yet);
    EXPECT_EQ(relayed("a", "no", 5), admission::unauthorized);
    EXPECT_EQ(relayed("a", "no", 4), admission::unauthorized);
    EXPECT_EQ(relayed("a", "ka", 5, false), admission::not_fresh);
    EXPECT_EQ(workspace_gate::admit_relayed({false, homes}, {"a", "", generation(5)}, directory,
                                            generation(5), true)
                  .outcome,
              admission::unauthorized);
}

} // namespace
} // namespace cove
