#include "config/config_json.h"
#include "examples/fundusz.h"
#include "examples/mreznik.h"

#include <gtest/gtest.h>

namespace {

using namespace cove;

/** @return the configuration that @p described prints, parsed again. */
deployment print_and_parse(ops::deployment_builder const& described)
{
    return parse_deployment(described.print().value(), "example").value();
}

TEST(oplib, examples_print_valid_configurations)
{
    struct {
        deployment config;
        std::uint64_t link_bytes_per_second = 0;
        milliseconds latency{};
        std::vector<int> slots;
    } const cases[] = {
        {print_and_parse(examples::mreznik()), 500'000'000, milliseconds(12), {6, 3}},
        {print_and_parse(examples::fundusz()), 37'500'000, milliseconds(55), {7, 4}},
    };
    for (auto const& c : cases) {
        EXPECT_EQ(c.config.regions.size(), 3U);
        EXPECT_EQ(c.config.zones.size(), 6U);
        EXPECT_EQ(c.config.links.size(), 3U);
        EXPECT_FALSE(c.config.events.empty());
        EXPECT_FALSE(c.config.moves.empty());
        EXPECT_EQ(c.config.links[0].bytes_per_second, c.link_bytes_per_second);
        EXPECT_EQ(c.config.links[0].latency, c.latency);
        for (std::size_t i = 0; i < c.slots.size(); ++i) {
            EXPECT_EQ(c.config.services[i].slots, c.slots[i]);
        }
    }
}

TEST(oplib, only_read_only_classes_are_idempotent)
{
    for (deployment const& config :
         {print_and_parse(examples::mreznik()), print_and_parse(examples::fundusz())}) {
        for (service_config const& service : config.services) {
            for (class_config const& item : service.classes) {
                bool const read_only = item.id.value == "read" || item.id.value == "balance-check";
                EXPECT_EQ(item.idempotent, read_only) << item.id.value;
            }
        }
    }
}

TEST(oplib, invalid_declarations_fail_with_their_json_pointer)
{
    auto const start = ops::utc(2026, 12, 4, 8, 0);
    struct {
        std::function<void(ops::deployment_builder&)> add;
        char const* place = "";
    } const cases[] = {
        {[&](auto& d) { d.event("e", "desk", {"x"}, start, seconds(1), 0.1); },
         "d#/events/0/classes/0"},
        {[&](auto& d) { d.move("m", "desk", "z1", "z1", start, 1, 0.1, seconds(10)); },
         "d#/moves/0/to"},
        {[&](auto& d) { d.move("m", "desk", "z1", "z2", start, 1, 0.5, seconds(10)); },
         "d#/moves/0/step"},
        {[](auto& d) { d.site("s", "z1", {"10.0.0.0"}); }, "d#/client_blocks/0/prefix"},
        {[](auto& d) { d.site("s", "z9", {}); }, "d#/sites/0/zone"},
    };
    for (auto const& c : cases) {
        ops::deployment_builder described("d");
        described.region("r", {"z1", "z2"});
        described.service("desk", 1, 1).idempotent("read", 0, seconds(1));
        ASSERT_TRUE(described.print());
        c.add(described);
        auto const printed = described.print();
        ASSERT_FALSE(printed) << c.place;
        EXPECT_EQ(printed.error().peer, c.place);
    }
}

} // namespace
