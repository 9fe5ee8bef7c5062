/** @file Entries that other writers leave among those of the targets. */

#include "platform/store_client.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

std::string entry(std::string const& name, std::string const& slots, std::string const& address,
                  std::string const& more = "")
{
    return R"({"metadata":{"name":")" + name + R"("},"spec":{"address":)" + address +
           R"(,"info":{"service":"desk","slots":)" + slots +
           R"(,"zone":"east"},"status":{"cold_remaining":"0ms","seq":1,"state":"ready"})" + more +
           "}}";
}

struct odd_case {
    char const* name;
    std::string odd; ///< an entry named i-2
};

/** The list and the watch of a store whose second target has an odd entry. */
class odd_entries : public testing::TestWithParam<odd_case> {
protected:
    odd_entries()
        : timers(loop),
          store(loop,
                [](std::string const& head) {
                    std::string const body =
                        head.find("watch=") == std::string::npos ? list() : watch();
                    return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body};
                }),
          client(loop, timers, store.address(), hooks()), calls(client.calls().targets)
    {
    }

    static std::string good(std::string const& name) { return entry(name, "3", "\"10.0.0.1:80\""); }

    static std::string list()
    {
        return R"({"items":[)" + good("i-1") + "," + GetParam().odd + "," + good("i-3") +
               R"(],"has_more":false,"store_revision":5})";
    }

    static std::string watch()
    {
        return R"({"events":[{"object":)" + good("i-1") + R"(,"deleted":true},{"object":)" +
               GetParam().odd + R"(,"deleted":false},{"object":)" + good("i-4") +
               R"(,"deleted":false}],"store_revision":6})";
    }

    store_hooks hooks()
    {
        store_hooks out;
        out.targets_listed = [this](target_snapshot const& got) { listed = got; };
        out.targets_changed = [this](target_changes const& got) { changed = got; };
        out.malformed = [this](std::string const&, std::string const&) { ++malformed; };
        return out;
    }

    boost::asio::io_context loop;
    loop_timers timers;
    scripted_server store;
    store_client client;
    follow_calls calls;
    std::optional<target_snapshot> listed;
    std::optional<target_changes> changed;
    int malformed = 0;
};

TEST_P(odd_entries, cost_only_themselves)
{
    std::optional<follow_result> ended;
    calls.list(read_freshness::current, [&](follow_result const& got) { ended = got; });
    ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
    ASSERT_EQ(ended->status, follow_status::done) << ended->detail;
    EXPECT_EQ(ended->at, position(5, 0));
    ASSERT_EQ(listed->entries.size(), 2U);
    EXPECT_EQ(listed->entries[0].id, target_id("i-1"));
    EXPECT_EQ(listed->entries[1].id, target_id("i-3"));
    EXPECT_EQ(malformed, 1);

    ended.reset();
    calls.watch(position(5, 0), {milliseconds{0}, milliseconds{1500}},
                [&](follow_result const& got) { ended = got; });
    ASSERT_TRUE(run_until(loop, [&] { return ended.has_value(); }));
    ASSERT_EQ(ended->status, follow_status::done) << ended->detail;
    ASSERT_EQ(changed->changes.size(), 3U); // the odd entry is one that names no target any more
    EXPECT_EQ(changed->changes[0].id, target_id("i-1"));
    EXPECT_EQ(changed->changes[1].id, target_id("i-2"));
    EXPECT_FALSE(changed->changes[1].entry);
    EXPECT_EQ(changed->changes[2].id, target_id("i-4"));
    EXPECT_TRUE(changed->changes[2].entry);
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

INSTANTIATE_TEST_SUITE_P(
    cases, odd_entries,
    testing::Values(
        odd_case{"deep_slots", entry("i-2", nested(200'000), "\"10.0.0.1:80\"")},
        odd_case{"deep_objects", entry(
                                     "i-2", "3", "\"10.0.0.1:80\"",
                                     ",\"odd\":" +
                                         [] {
                                             std::string text;
                                             for (int i = 0; i < 100'000; ++i) {
                                                 text += "{\"a\":";
                                             }
                                             return text + "1" + std::string(100'000, '}');
                                         }())},
        odd_case{"huge_exponent", entry("i-2", "1e999", "\"10.0.0.1:80\"")},
        odd_case{"forty_digits", entry("i-2", std::string(40, '9'), "\"10.0.0.1:80\"")},
        odd_case{"more_slots_than_an_int", entry("i-2", "4294967299", "\"10.0.0.1:80\"")},
        odd_case{"largest_int", entry("i-2", "2147483647", "\"10.0.0.1:80\"")},
        odd_case{"port_out_of_range", entry("i-2", "3", "\"10.0.0.1:99999\"")},
        odd_case{"port_beyond_int", entry("i-2", "3", "\"10.0.0.1:99999999999\"")},
        odd_case{"negative_born", entry("i-2", "3", "\"10.0.0.1:80\"", R"(,"born":-1)")},
        odd_case{"huge_born", entry("i-2", "3", "\"10.0.0.1:80\"", R"(,"born":1e400)")},
        odd_case{"no_utf8", entry("i-2", "3", "\"\xff\xfe:80\"")},
        odd_case{"bad_escape", entry("i-2", "3", R"("\x10")")},
        odd_case{"control_byte", entry("i-2", "3", "\"\x01\"")},
        odd_case{"half_a_surrogate", entry("i-2", "3", R"("\ud800")")},
        odd_case{"no_json", R"({"metadata":{"name":"i-2"},"spec":what})"},
        odd_case{"list_as_spec", R"({"metadata":{"name":"i-2"},"spec":[1]})"},
        odd_case{"duplicate_spec",
                 R"({"metadata":{"name":"i-2"},"spec":{"address":"10.0.0.1:80"},"spec":7})"}),
    [](auto const& info) { return info.param.name; });

} // namespace
} // namespace cove
