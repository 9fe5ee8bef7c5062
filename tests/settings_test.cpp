#include "settings/settings_table.h"

#include <gtest/gtest.h>

namespace {

struct sample {
    std::string name;
    std::string address = "127.0.0.1:1";
    int count = 3;
};

cove::settings_table<sample> sample_table()
{
    cove::settings_table<sample> t;
    t.text("name", &sample::name, "a name");
    t.ip_port("address", &sample::address, "an address").optional();
    t.integer("count", &sample::count, 1, 5, "a count").optional();
    return t;
}

TEST(settings_table, parses_given_settings_and_keeps_defaults)
{
    auto const parsed = sample_table().parse(R"({"name":"x","count":5})", "file");
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->name, "x");
    EXPECT_EQ(parsed->count, 5);
    EXPECT_EQ(parsed->address, "127.0.0.1:1");
}

TEST(settings_table, errors_name_the_json_pointer)
{
    struct {
        char const* text;
        char const* place;
    } const cases[] = {
        {R"({"name":"x","extra":1})", "file#/extra"},
        {R"({})", "file#/name"},
        {R"({"name":7})", "file#/name"},
        {R"({"name":"x","count":6})", "file#/count"},
        {R"({"name":"x","count":"3"})", "file#/count"},
        {R"({"name":"x","address":"localhost:1"})", "file#/address"},
        {R"([])", "file"},
        {R"({)", "file"},
    };
    for (auto const& c : cases) {
        auto const parsed = sample_table().parse(c.text, "file");
        ASSERT_FALSE(parsed) << c.text;
        EXPECT_EQ(parsed.error().peer, c.place) << c.text;
    }
}

} // namespace
