/** @file Decoding of the platform store's objects. */

#include "platform/object_json.h"
#include "platform/store_client.h"
#include "platform/wire_names.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

using json = nlohmann::json;

json target_object()
{
    return {{"metadata", {{"name", "i-1"}, {"revision", 4}}},
            {"spec",
             {{"address", "10.0.0.1:80"},
              {"born", 1780186839160},
              {"info", {{"service", "desk"}, {"slots", 3}, {"zone", "east"}}},
              {"status", {{"cold_remaining", "1500ms"}, {"seq", 1}, {"state", "draining"}}}}},
            {"status", nullptr}};
}

TEST(read_target, decodes_all_fields)
{
    auto const object = read_named_object(target_object());
    ASSERT_TRUE(object);
    auto const target = read_target(*object);
    ASSERT_TRUE(target) << to_string(target.error());
    EXPECT_EQ(target->id, target_id("i-1"));
    EXPECT_EQ(target->service, service_id("desk"));
    EXPECT_EQ(target->slots, 3);
    EXPECT_EQ(target->phase, target_phase::leaving);
    EXPECT_EQ(target->cold_left, milliseconds{1500});
    EXPECT_EQ(target->incarnation, target_incarnation(1780186839160));
}

struct malformed_case {
    char const* name;
    char const* place;         ///< JSON pointer of the field
    json value;                ///< null: the field is removed
    char const* expected_text; ///< text that the error contains
};

class malformed_targets : public testing::TestWithParam<malformed_case> {};

TEST_P(malformed_targets, are_rejected_with_the_place_in_the_error)
{
    json object = target_object();
    json::json_pointer const place(GetParam().place);
    if (GetParam().value.is_null()) {
        object[place.parent_pointer()].erase(place.back());
    }
    else {
        object[place] = GetParam().value;
    }
    auto const stored = read_named_object(object);
    ASSERT_TRUE(stored);
    auto const target = read_target(*stored);
    ASSERT_FALSE(target);
    EXPECT_NE(to_string(target.error()).find(GetParam().expected_text), std::string::npos)
        << to_string(target.error());
}

INSTANTIATE_TEST_SUITE_P(
    cases, malformed_targets,
    testing::Values(
        malformed_case{"no_address", "/spec/address", nullptr, "servers/i-1/spec/address"},
        malformed_case{"address_of_another_form", "/spec/address", "desk:80", "IP:port"},
        malformed_case{"address_no_text", "/spec/address", 7, "expected text"},
        malformed_case{"no_info", "/spec/info", nullptr, "info"},
        malformed_case{"no_service", "/spec/info/service", nullptr, "info/service"},
        malformed_case{"slots_text", "/spec/info/slots", "3", "info/slots"},
        malformed_case{"slots_zero", "/spec/info/slots", 0, "info/slots"},
        malformed_case{"slots_fraction", "/spec/info/slots", 2.5, "info/slots"},
        malformed_case{"unknown_state", "/spec/status/state", "sleeping", "ready or draining"},
        malformed_case{"no_status", "/spec/status", nullptr, "status"},
        malformed_case{"cold_without_unit", "/spec/status/cold_remaining", "15", "unit"},
        malformed_case{"born_text", "/spec/born", "today", "born"},
        malformed_case{"spec_list", "/spec", json::array(), "spec"}),
    [](auto const& info) { return info.param.name; });

TEST(read_named_object, rejects_objects_without_a_name)
{
    EXPECT_FALSE(read_named_object(json("text")));
    EXPECT_FALSE(read_named_object(json{{"metadata", json::object()}}));
}

TEST(read_object_page, ends_with_the_last_name_of_a_page_that_has_more)
{
    json const first{{"metadata", {{"name", "a"}}}};
    auto const page = read_object_page(json{{"items", {first, "unreadable"}}, {"has_more", true}});
    ASSERT_TRUE(page);
    EXPECT_EQ(page->items.size(), 2U);
    EXPECT_EQ(page->next_after, "a");
    EXPECT_TRUE(read_object_page(json{{"items", {first}}})->next_after.empty());
}

TEST(read_object_page, rejects_bodies_of_another_form)
{
    for (json const& body :
         {json("text"), json{{"items", "a"}}, json{{"items", json::array()}, {"has_more", "yes"}},
          json{{"items", {"unreadable"}}, {"has_more", true}}}) {
        EXPECT_FALSE(read_object_page(body)) << body;
    }
}

TEST(read_object_events, reads_events_and_leaves_out_what_is_none)
{
    json const object{{"metadata", {{"name", "a"}}}};
    auto const events = read_object_events(
        json{{"events", {{{"object", object}, {"deleted", true}}, "unreadable"}}});
    ASSERT_TRUE(events);
    ASSERT_EQ(events->size(), 2U);
    EXPECT_TRUE((*events)[0].deleted);
    EXPECT_EQ((*events)[0].object, object);
    EXPECT_TRUE((*events)[1].object.is_null());
    EXPECT_TRUE(read_object_events(json::object())->empty());
}

TEST(read_object_events, rejects_bodies_of_another_form)
{
    for (json const& body :
         {json("text"), json{{"events", 7}}, json{{"events", {{{"deleted", "yes"}}}}}}) {
        EXPECT_FALSE(read_object_events(body)) << body;
    }
}

json route_resource(std::string const& name, json const& spec)
{
    json base{{"host", "desk.example"}, {"path_prefix", "/" + name + "/"}, {"kind", "idempotent"},
              {"timeout", "800ms"},     {"target_latency", "0.3s"},        {"priority", 1},
              {"max_attempts", 2}};
    base.update(spec);
    return {{"resource_kind", "routes"}, {"metadata", {{"name", name}}}, {"spec", base}};
}

json config_spec(std::string const& version = "0000001a")
{
    return {
        {"version", version},
        {"resources",
         {route_resource("one", {{"service", "desk"}, {"sticky_sessions", true}}),
          route_resource("two", {{"traffic_split",
                                  {{{"service", "desk"}, {"weight", 90}},
                                   {{"service", "store"}, {"weight", 10}}}},
                                 {"kind", "non_idempotent"},
                                 {"home_regions", {"east"}}}),
          {{"resource_kind", "services"},
           {"metadata", {{"name", "desk"}}},
           {"spec",
            {{"health_path", "/h"}, {"max_conns", 9}, {"cold_start", "3s"}, {"cold_per_s", 1.5}}}},
          {{"resource_kind", "limits"},
           {"metadata", json::object()},
           {"spec",
            {{"max_header_bytes", 1000},
             {"max_body_bytes", 2000},
             {"header_timeout", "3s"},
             {"idle_timeout", "15s"}}}}}}};
}

TEST(read_config, decodes_routes_services_and_limits)
{
    auto const document = read_config_document(config_spec().dump());
    ASSERT_TRUE(document) << to_string(document.error());
    routing_config const& config = document->config;
    EXPECT_EQ(config.version, generation(26));
    ASSERT_EQ(config.routes.size(), 2U);
    EXPECT_TRUE(config.routes[0].idempotent);
    EXPECT_TRUE(config.routes[0].sticky);
    EXPECT_EQ(config.routes[0].objective, milliseconds{300});
    EXPECT_EQ(config.routes[1].services.size(), 2U);
    EXPECT_FALSE(config.routes[1].idempotent);
    EXPECT_EQ(config.routes[1].home_regions, std::vector{region_id("east")});
    EXPECT_EQ(config.services.at(service_id("desk")).cold_period, milliseconds{3000});
    EXPECT_EQ(config.limits.idle_timeout, milliseconds{15'000});
}

TEST(read_config, reports_the_place_of_an_error)
{
    for (auto const& [field, value] :
         std::map<std::string, json>{{"kind", "sometimes"},
                                     {"timeout", 800},
                                     {"priority", -1},
                                     {"traffic_split", json::array()}}) {
        json spec = config_spec();
        json& route = spec["resources"][1]["spec"];
        route[field] = value;
        auto const document = read_config_document(spec.dump());
        ASSERT_FALSE(document) << field;
        EXPECT_NE(to_string(document.error()).find("resources/1/spec/" + field), std::string::npos)
            << to_string(document.error());
    }
    EXPECT_FALSE(read_config_document("{cut short"));
    EXPECT_FALSE(read_config_document(config_spec("xyz").dump()));
}

json workspace_resource(json const& name, json const& spec)
{
    json base{{"api_keys", {"key-1"}}, {"rate_per_s", 5}, {"burst", 7}};
    base.update(spec);
    return {{"resource_kind", "tenants"}, {"metadata", {{"name", name}}}, {"spec", base}};
}

struct odd_workspace {
    char const* name;
    json workspace_name;
    json spec;
    char const* place; ///< text that the error contains
};

class odd_workspaces : public testing::TestWithParam<odd_workspace> {};

// Guards against a malformed workspace that makes the whole configuration unusable, or that is
// taken over in part, so that its keys are valid without its limit.
TEST_P(odd_workspaces, are_left_out_with_the_place_of_the_error)
{
    json spec = config_spec();
    spec["resources"].push_back(workspace_resource(GetParam().workspace_name, GetParam().spec));
    spec["resources"].push_back(workspace_resource("good", {{"api_keys", {"key-2"}}}));
    auto const document = read_config_document(spec.dump());
    ASSERT_TRUE(document) << to_string(document.error());
    EXPECT_EQ(document->config.routes.size(), 2U);
    EXPECT_TRUE(document->config.has_workspaces);
    ASSERT_EQ(document->config.workspaces.size(), 1U);
    EXPECT_EQ(document->config.workspaces.front().name, workspace_id("good"));
    ASSERT_EQ(document->left_out.size(), 1U);
    EXPECT_NE(to_string(document->left_out.front()).find(GetParam().place), std::string::npos)
        << to_string(document->left_out.front());
}

INSTANTIATE_TEST_SUITE_P(
    cases, odd_workspaces,
    testing::Values(
        odd_workspace{"no_name", nullptr, json::object(), "resources/4/metadata/name"},
        odd_workspace{"empty_name", "", json::object(), "resources/4/metadata/name"},
        odd_workspace{"name_with_control", "a\r\nX: y", json::object(),
                      "resources/4/metadata/name"},
        odd_workspace{"name_with_blank_at_its_end", "a ", json::object(),
                      "resources/4/metadata/name"},
        odd_workspace{"no_keys", "a", {{"api_keys", nullptr}}, "resources/4/spec/api_keys"},
        odd_workspace{
            "empty_keys", "a", {{"api_keys", json::array()}}, "resources/4/spec/api_keys"},
        odd_workspace{"empty_key", "a", {{"api_keys", {""}}}, "resources/4/spec/api_keys"},
        odd_workspace{"key_no_text", "a", {{"api_keys", {7}}}, "resources/4/spec/api_keys"},
        odd_workspace{"key_with_space", "a", {{"api_keys", {"a b"}}}, "api_keys"},
        odd_workspace{"key_with_control", "a", {{"api_keys", {"a\r\nb"}}}, "api_keys"},
        odd_workspace{"rate_below_zero", "a", {{"rate_per_s", -1}}, "spec/rate_per_s"},
        odd_workspace{"rate_huge", "a", {{"rate_per_s", 1e12}}, "spec/rate_per_s"},
        odd_workspace{"burst_text", "a", {{"burst", "many"}}, "spec/burst"},
        odd_workspace{"priority_below_zero", "a", {{"priority", -1}}, "spec/priority"},
        odd_workspace{"homes_no_list", "a", {{"home_regions", "east"}}, "home_regions"}),
    [](auto const& info) { return info.param.name; });

TEST(read_config, leaves_out_a_second_workspace_of_the_same_name)
{
    json spec = config_spec();
    spec["resources"].push_back(workspace_resource("a", {{"api_keys", {"key-1"}}}));
    spec["resources"].push_back(workspace_resource("a", {{"api_keys", {"key-2"}}}));
    auto const document = read_config_document(spec.dump());
    ASSERT_TRUE(document);
    ASSERT_EQ(document->config.workspaces.size(), 1U);
    EXPECT_EQ(document->config.workspaces.front().keys, std::vector<std::string>{"key-1"});
    EXPECT_EQ(document->left_out.size(), 1U);
}

} // namespace
} // namespace cove
