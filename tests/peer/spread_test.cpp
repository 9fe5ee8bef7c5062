/** @file How large messages are divided among hosts, and which of them answer pulls. */

#include "peer/byte_budget.h"
#include "peer/host_view.h"
#include "peer/relay_tree.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

/** Sends to @p receivers as divide_for_relay() says, and lets each pass the message on. */
void relay(std::vector<std::string> const& receivers, std::map<std::string, int>& copies)
{
    auto const branches = divide_for_relay(receivers);
    RC_ASSERT(branches.size() <= relay_fanout);
    for (relay_branch const& branch : branches) {
        ++copies[branch.receiver];
        relay(branch.relay_to, copies);
    }
}

RC_GTEST_PROP(relay_tree, every_host_gets_one_copy_and_sends_few, ())
{
    auto const count = *rc::gen::inRange(0, 200);
    std::vector<std::string> receivers;
    for (int i = 0; i < count; ++i) {
        receivers.push_back("10.0.0." + std::to_string(i));
    }
    std::map<std::string, int> copies;
    relay(receivers, copies);
    RC_ASSERT(copies.size() == receivers.size());
    for (auto const& [receiver, received] : copies) {
        RC_ASSERT(received == 1);
    }
}

TEST(byte_budget, passes_messages_up_to_its_rate_and_a_larger_one_when_full)
{
    mono_time const start{seconds{10}};
    byte_budget budget(1000);
    EXPECT_TRUE(budget.take(600, start));
    EXPECT_FALSE(budget.take(600, start));
    EXPECT_TRUE(budget.take(400, start));
    EXPECT_FALSE(budget.take(600, start + milliseconds{500}));
    EXPECT_TRUE(budget.take(5000, start + seconds{2}));
    EXPECT_FALSE(budget.take(10, start + seconds{4})); // the larger message is paid for first
    EXPECT_TRUE(budget.take(10, start + seconds{7}));
}

host_report report_of(std::string const& name, std::uint64_t config)
{
    host_report out;
    out.name = node_id(name);
    out.zone = zone_id("a");
    out.ip = "ip-" + name;
    out.sequence = 1;
    out.versions.config = generation(config);
    return out;
}

TEST(host_view, pulls_are_shared_by_the_hosts_with_the_newest_data)
{
    constexpr int draws = 200;
    mono_time const now{seconds{10}};
    host_view view(report_of("h0", 1), 1);
    view.receive({node_id("h1"),
                  "ip-h1",
                  {report_of("h1", 3), report_of("h2", 2), report_of("h3", 3), report_of("h4", 1)},
                  {},
                  false},
                 now);
    known_versions own;
    own.config = generation(1);
    std::map<std::string, int> pulls;
    random_engine random(1);
    for (int i = 0; i < draws; ++i) {
        ++pulls[choose_pull_source(view.reported_copies(now), own, random)->ip];
    }
    EXPECT_EQ(pulls.size(), 2U);
    EXPECT_GT(pulls["ip-h1"], draws / 4);
    EXPECT_GT(pulls["ip-h3"], draws / 4);
    own.config = generation(3);
    EXPECT_FALSE(choose_pull_source(view.reported_copies(now), own, random));
    EXPECT_EQ(view.zone_peer_ips_before(generation(3), now),
              (std::vector<std::string>{"ip-h2", "ip-h4"}));
}

} // namespace
} // namespace cove
