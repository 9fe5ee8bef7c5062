#include "json/json_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

using json = nlohmann::json;

std::string nested(int levels)
{
    auto const count = static_cast<std::size_t>(levels);
    return std::string(count, '[') + std::string(count, ']');
}

TEST(parse_json, refuses_text_that_is_nested_too_deep)
{
    EXPECT_TRUE(parse_json(nested(max_json_depth), "test"));
    EXPECT_FALSE(parse_json(nested(max_json_depth + 1), "test"));
    EXPECT_FALSE(parse_json(nested(1'000'000), "test"));
    EXPECT_TRUE(parse_json(R"(["[[[[\"[[[["])", "test"));
    EXPECT_EQ(nesting_depth(R"({"a":[1,"]]\\"],"b":{"c":[]}})"), 3);
}

TEST(parse_json, reports_numbers_out_of_range)
{
    auto const got = parse_json("[1e999]", "desk.json");
    ASSERT_FALSE(got);
    EXPECT_EQ(got.error().peer, "desk.json");
}

TEST(salvage_json, keeps_what_is_valid)
{
    EXPECT_EQ(salvage_json(R"({"a":1})", 2), json::parse(R"({"a":1})"));
    EXPECT_EQ(salvage_json(R"({"a":[1,1e999,{"b":2}],"c":"x"})", 2),
              json::parse(R"({"a":[1,null,{"b":2}],"c":"x"})"));
    EXPECT_EQ(salvage_json(R"({"a":[1,1e999],"c":"x"})", 1), json::parse(R"({"a":null,"c":"x"})"));
    EXPECT_EQ(salvage_json("[1,", 2), json());
    EXPECT_EQ(salvage_json("", 2), json());
    EXPECT_EQ(salvage_json("{,:,}", 2), json::object());
}

/** A value that costs the whole text if it is parsed as one. */
rc::Gen<std::string> malformed_value()
{
    return rc::gen::oneOf(
        rc::gen::map(rc::gen::inRange(max_json_depth, 300'000), nested),
        rc::gen::map(rc::gen::inRange(310, 5000),
                     [](int exponent) { return "1e" + std::to_string(exponent); }),
        rc::gen::map(rc::gen::inRange(0x80, 0x100),
                     [](int byte) { return '"' + std::string(2, static_cast<char>(byte)) + '"'; }),
        rc::gen::element<std::string>("nul", "01", "+1", "\"\\x\"", "\"\n\"", "{1:2}", "[1 2]",
                                      "{\"a\"}", "\"\\ud800\"", "tru e", "{\"a\":1 \"b\":2}"));
}

RC_GTEST_PROP(salvage_json, a_malformed_member_costs_only_itself, ())
{
    auto const count = *rc::gen::inRange(1, 20);
    auto const bad = *rc::gen::inRange(0, count);
    std::string const value = *malformed_value();
    std::string text = R"({"items":[)";
    for (int i = 0; i < count; ++i) {
        text += std::string(i == 0 ? "" : ",") + R"({"name":")" + std::to_string(i) +
                R"(","slots":)" + (i == bad ? value : std::to_string(i)) + "}";
    }
    text += R"(],"revision":7})";
    json const got = salvage_json(text, 3);
    RC_ASSERT(got.at("revision") == 7);
    RC_ASSERT(got.at("items").size() == static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        json const& item = got.at("items").at(static_cast<std::size_t>(i));
        RC_ASSERT(item.at("name") == std::to_string(i));
        RC_ASSERT(item.at("slots") == (i == bad ? json() : json(i)));
    }
}

RC_GTEST_PROP(salvage_json, takes_any_text, (std::string const& text))
{
    for (std::string const& wrapped : {text, "{" + text + "}", "[" + text + "]"}) {
        json const got = salvage_json(wrapped, 4);
        RC_ASSERT(nesting_depth(got.dump(-1, ' ', false, json::error_handler_t::replace)) <=
                  max_json_depth + 4);
    }
}

} // namespace
} // namespace cove
