#include "node/node.h"

#include <gtest/gtest.h>

namespace {

using namespace cove;

instant at(milliseconds offset)
{
    return {mono_time(seconds(100)) + offset, wall_time(seconds(1000)) + offset};
}

template <class Effect>
std::vector<Effect> only(node_effects const& effects)
{
    std::vector<Effect> out;
    for (node_effect const& effect : effects) {
        if (auto const* found = std::get_if<Effect>(&effect)) {
            out.push_back(*found);
        }
    }
    return out;
}

node_state one_node()
{
    auto state = make_node({node_id{"e1"}, zone_id{"z"}, incarnation_id{7}}, 1);
    host_list hosts;
    hosts.version = 1;
    hosts.entry_hosts.push_back({node_id{"e1"}, zone_id{"z"}, "127.0.0.1:1", "127.0.0.1:2"});
    hosts.targets.push_back({target_id{"t1"}, service_id{"s"}, zone_id{"z"}, "127.0.0.1:3"});
    deployment config;
    config.zones.push_back({zone_id{"z"}, region_id{"r"}});
    config.services.push_back(
        {service_id{"s"}, 1, 10, {{class_id{"read"}, true}, {class_id{"write"}, false}}});
    reduce(state, {at({}), host_list_changed{std::make_shared<host_list>(hosts)}});
    reduce(state, {at({}), config_changed{generation{1}, std::make_shared<deployment>(config)}});
    reduce(state, {at({}), wake_due{}});
    return state;
}

caller_request write_request(request_key key, std::uint64_t nonce)
{
    return {key,
            operation_id{incarnation_id{7}, period_id{1}, nonce},
            service_id{"s"},
            class_id{"write"},
            seconds(1),
            make_payload("x")};
}

TEST(node, request_reaches_the_target_and_comes_back)
{
    auto state = one_node();
    auto const calls = only<call_target>(reduce(state, {at(milliseconds(1)), write_request(1, 1)}));
    ASSERT_EQ(calls.size(), 1U);
    auto const replies = only<reply>(
        reduce(state, {at(milliseconds(2)), call_result{calls[0].key, call_verdict::answered, 200,
                                                        make_payload("y"), ""}}));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].answer.result, outcome::done);
    EXPECT_EQ(*replies[0].answer.body, "y");
}

TEST(node, repeated_request_joins_and_later_gets_the_stored_answer)
{
    auto state = one_node();
    auto const first = only<call_target>(reduce(state, {at(milliseconds(1)), write_request(1, 1)}));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(
        only<call_target>(reduce(state, {at(milliseconds(2)), write_request(2, 1)})).empty());
    auto const both = only<reply>(
        reduce(state, {at(milliseconds(3)), call_result{first[0].key, call_verdict::answered, 200,
                                                        make_payload("y"), ""}}));
    EXPECT_EQ(both.size(), 2U);
    auto const third = only<reply>(reduce(state, {at(milliseconds(4)), write_request(3, 1)}));
    ASSERT_EQ(third.size(), 1U);
    EXPECT_EQ(third[0].answer.result, outcome::done);
}

TEST(node, broken_call_of_a_write_is_unknown_at_once)
{
    auto state = one_node();
    auto const calls = only<call_target>(reduce(state, {at(milliseconds(1)), write_request(1, 1)}));
    ASSERT_EQ(calls.size(), 1U);
    auto const replies = only<reply>(
        reduce(state, {at(milliseconds(2)),
                       call_result{calls[0].key, call_verdict::broken, 0, nullptr, "reset"}}));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].answer.result, outcome::unknown);
    EXPECT_EQ(replies[0].answer.peer, "t1");
}

} // namespace
