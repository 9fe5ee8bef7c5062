/** @file What stand-ins of the store's other writers write is read as it was meant. */

#include "platform/object_json.h"
#include "platform/writer_json.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(config_spec, is_read_as_the_same_configuration)
{
    routing_config config;
    config.version = generation(300);
    route_config route;
    route.name = route_id("r");
    route.host = "desk.example";
    route.prefix = "/a/";
    route.idempotent = true;
    route.timeout = milliseconds{1500};
    route.objective = milliseconds{250};
    route.priority = 2;
    route.max_attempts = 3;
    route.sticky = true;
    route.services = {{service_id("desk"), 1}};
    route.home_regions = {region_id("east")};
    config.routes = {route};
    route.name = route_id("split");
    route.prefix = "/b/";
    route.idempotent = false;
    route.services = {{service_id("desk"), 3}, {service_id("other"), 1}};
    config.routes.push_back(route);
    for (char const* const name : {"desk", "other"}) {
        config.services[service_id(name)] = {service_id(name), "/h", 9, milliseconds{3000}, 12.5};
    }
    config.limits = {16'384, 100'000, milliseconds{3000}, milliseconds{15'000}};
    workspace_config farm{workspace_id("farm"), {"k1", "k2"}, 0, {region_id("east")}, {7.5, 20}};
    config.routes.front().is_public = true;
    config.workspaces = {farm, {workspace_id("idle"), {"k3"}, std::nullopt, {}, {}}};
    auto const read = read_config_document(config_spec(config).dump());
    ASSERT_TRUE(read) << to_string(read.error());
    EXPECT_EQ(read->config.version, config.version);
    ASSERT_EQ(read->config.routes.size(), 2U);
    for (std::size_t i = 0; i < config.routes.size(); ++i) {
        route_config const& got = read->config.routes[i];
        route_config const& meant = config.routes[i];
        EXPECT_EQ(got.host + got.prefix, meant.host + meant.prefix);
        EXPECT_EQ(got.idempotent, meant.idempotent);
        EXPECT_EQ(got.timeout, meant.timeout);
        EXPECT_EQ(got.objective, meant.objective);
        EXPECT_EQ(got.priority, meant.priority);
        EXPECT_EQ(got.max_attempts, meant.max_attempts);
        EXPECT_EQ(got.sticky, meant.sticky);
        EXPECT_EQ(got.is_public, meant.is_public);
        EXPECT_EQ(got.home_regions, meant.home_regions);
        EXPECT_EQ(got.services.size(), meant.services.size());
    }
    EXPECT_TRUE(read->config.has_workspaces);
    EXPECT_EQ(read->config.workspaces, config.workspaces);
    EXPECT_EQ(read->config.services.at(service_id("desk")).cold_rate, 12.5);
    EXPECT_EQ(read->config.limits.idle_timeout, config.limits.idle_timeout);
}

TEST(target_spec, is_read_as_the_same_target)
{
    target_entry target;
    target.id = target_id("t1");
    target.service = service_id("desk");
    target.address = "10.0.0.1:80";
    target.zone = zone_id("east");
    target.slots = 7;
    target.phase = target_phase::leaving;
    target.cold_left = milliseconds{700};
    target.incarnation = target_incarnation(1000);
    auto const object = read_named_object(
        {{"metadata", {{"name", target.id.value}}}, {"spec", target_spec(target)}});
    ASSERT_TRUE(object);
    auto const read = read_target(*object);
    ASSERT_TRUE(read) << to_string(read.error());
    EXPECT_EQ(*read, target);
}

} // namespace
} // namespace cove
