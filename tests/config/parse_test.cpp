#include "config/config_check.h"
#include "config/config_json.h"
#include "config/config_section.h"
#include "config/sample.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;
using json = nlohmann::json;

deployment any_deployment(int zones, int services, int moves, int blocks, int seed)
{
    deployment out = sample_deployment();
    for (int i = 0; i < zones; ++i) {
        out.zones.push_back({zone_id{"zone " + std::to_string(i)}, region_id{"north"}});
    }
    for (int i = 0; i < services; ++i) {
        out.services.push_back(
            {service_id{"\"\u00e9/~" + std::to_string(i)},
             1 + i,
             10,
             {{class_id{"c"}, i % 2 == 0, i, milliseconds(1 + seed % 600'000)}}});
    }
    for (int i = 0; i < moves; ++i) {
        out.moves.push_back({move_id{std::to_string(i)}, service_id{"desk"}, zone_id{"s1"},
                             zone_id{"n1"}, wall_time(seconds(100'000 + i * 200)), 1.0 / (1 + i),
                             0.1 / (1 + seed % 7), seconds(10 + i)});
        out.moves.back().step = std::max(0.05, out.moves.back().step);
    }
    add_blocks(out, blocks);
    normalize(out);
    return out;
}

RC_GTEST_PROP(config, what_is_printed_is_read_back, ())
{
    auto const config =
        any_deployment(*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9),
                       *rc::gen::inRange(0, 2000), *rc::gen::inRange(0, 1'000'000));
    auto const read = parse_deployment(print_deployment(config), "print");
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == config);
    auto const joined = join_sections(split_sections(config).value(), "sections");
    RC_ASSERT(joined.has_value());
    RC_ASSERT(*joined == config);
}

TEST(config, every_error_names_its_location_and_what_is_expected)
{
    struct {
        char const* patch; ///< JSON patch of the sample
        char const* place;
        char const* form;
    } const cases[] = {
        {R"([{"op":"add","path":"/extra","value":1}])", "/extra", "unknown key"},
        {R"([{"op":"remove","path":"/services"}])", "/services", "missing"},
        {R"([{"op":"remove","path":"/services/0/slots"}])", "/services/0/slots", "whole number"},
        {R"([{"op":"replace","path":"/services/0/slots","value":"2"}])", "/services/0/slots",
         "whole number"},
        {R"([{"op":"replace","path":"/services/0/slots","value":0}])", "/services/0/slots", "1 to"},
        {R"([{"op":"replace","path":"/services/0/slots","value":18446744073709551615}])",
         "/services/0/slots", "1 to"},
        {R"([{"op":"add","path":"/services/0/classes/0/deadline_s","value":1}])",
         "/services/0/classes/0/deadline_s", "deadline_ms"},
        {R"([{"op":"replace","path":"/services/0/classes","value":[]}])", "/services/0/classes",
         "at least one"},
        {R"([{"op":"copy","from":"/services/0","path":"/services/1"}])", "/services/1/id", "once"},
        {R"([{"op":"replace","path":"/zones/0/region","value":"east"}])", "/zones/0/region",
         "region"},
        {R"([{"op":"replace","path":"/links/0/to","value":"north"}])", "/links/0/to", "different"},
        {R"([{"op":"replace","path":"/events/0/classes/0","value":"x"}])", "/events/0/classes/0",
         "class of desk"},
        {R"([{"op":"replace","path":"/events/0/end","value":"1970-01-01T00:16:40Z"}])",
         "/events/0/end", "after start"},
        {R"([{"op":"replace","path":"/events/0/start","value":"1970-01-01T00:16:40+01:00"}])",
         "/events/0/start", "2026-12-04T08:00:00Z"},
        {R"([{"op":"replace","path":"/events/0/start","value":"1970-02-30T00:16:40Z"}])",
         "/events/0/start", "2026-12-04T08:00:00Z"},
        {R"([{"op":"replace","path":"/events/0/reserve","value":1.5}])", "/events/0/reserve",
         "0 to 1"},
        {R"([{"op":"replace","path":"/shift/cap","value":1.1}])", "/shift/cap", "at most 1"},
        {R"([{"op":"replace","path":"/moves/0/to","value":"x"}])", "/moves/0/to", "zone"},
        {R"([{"op":"replace","path":"/moves/0/step","value":0.2}])", "/moves/0/step", "shift/cap"},
        {R"([{"op":"copy","from":"/moves/0","path":"/moves/1"},
             {"op":"replace","path":"/moves/1/id","value":"n"}])",
         "/moves/1/start", "overlaps m"},
        {R"([{"op":"replace","path":"/client_blocks/0/site","value":"x"}])",
         "/client_blocks/0/site", "site"},
        {R"([{"op":"replace","path":"/client_blocks/0/prefix","value":"10.0.0.0/33"}])",
         "/client_blocks/0/prefix", "192.0.2.0/24"},
    };
    json const sample = json::parse(print_deployment(sample_deployment()));
    for (auto const& c : cases) {
        auto const read = parse_deployment(sample.patch(json::parse(c.patch)).dump(), "file");
        ASSERT_FALSE(read) << c.patch;
        EXPECT_EQ(read.error().peer, std::string("file#") + c.place) << c.patch;
        EXPECT_NE(read.error().message.find(c.form), std::string::npos) << read.error().message;
    }
}

TEST(config, key_given_twice_is_an_error)
{
    auto const read = parse_deployment(R"({"name":"a","zones":[{"id":"z","id":"y"}]})", "file");
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().peer, "file#/zones/0/id");
}

RC_GTEST_PROP(config, damaged_text_is_rejected_with_its_location, ())
{
    std::string text = print_deployment(sample_deployment());
    auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
    auto const length = *rc::gen::inRange<std::size_t>(0, 40);
    text.replace(at, length, *rc::gen::string<std::string>());
    auto const read = parse_deployment(text, "file");
    RC_ASSERT(read.has_value() || read.error().peer.starts_with("file#"));
}

TEST(config, small_change_changes_only_its_section)
{
    deployment before = sample_deployment();
    add_blocks(before, 120'000);
    normalize(before);
    deployment after = before;
    auto blocks = *before.client_blocks[7].blocks;
    blocks[3].site = site_id{blocks[3].site == site_id{"a"} ? "b" : "a"};
    after.client_blocks[7].blocks = std::make_shared<std::vector<client_block> const>(blocks);
    auto const old_sections = split_sections(before).value();
    auto const new_sections = split_sections(after).value();
    std::size_t changed = 0;
    std::size_t changed_bytes = 0;
    std::size_t all_bytes = 0;
    for (std::size_t i = 0; i < new_sections.size(); ++i) {
        all_bytes += new_sections[i].text->size();
        if (new_sections[i].ref != old_sections[i].ref) {
            ++changed;
            changed_bytes += new_sections[i].text->size();
        }
    }
    EXPECT_EQ(changed, 1U);
    EXPECT_LT(changed_bytes * 100, all_bytes);
    RecordProperty("changed_bytes", static_cast<int>(changed_bytes));
    RecordProperty("all_bytes", static_cast<int>(all_bytes));
    EXPECT_EQ(diff_deployments(before, after).size(), 1U);
}

TEST(config, difference_is_one_line_per_part)
{
    deployment after = sample_deployment();
    after.services[0].slots = 3;
    after.moves.clear();
    after.zones.push_back({zone_id{"n2"}, region_id{"north"}});
    EXPECT_EQ(diff_deployments(sample_deployment(), after),
              (std::vector<std::string>{R"(+ zones n2 {"id":"n2","region":"north"})",
                                        "~ services desk slots: 2 -> 3", "- moves m"}));
}

TEST(config, manifest_is_read_back)
{
    config_manifest const manifest{generation{7}, "submit", {{"services", "abc"}}};
    EXPECT_EQ(parse_manifest(print_manifest(manifest), "m").value(), manifest);
    EXPECT_EQ(parse_manifest(R"({"generation":0,"submit_id":"x","sections":[]})", "m").error().peer,
              "m#/generation");
}

} // namespace
