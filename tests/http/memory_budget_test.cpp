#include "http/counted_body.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::uint64_t mb = 1 << 20;
constexpr std::uint64_t limit = 8 * mb;

class memory_budget_of_bodies : public testing::Test {
protected:
    std::shared_ptr<std::string> body(std::uint64_t bytes, holding what)
    {
        return count_body(std::string(bytes, 'b'), budget, what, [this] { ++given_back; });
    }

    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(limit);
    int given_back = 0;
};

// Bodies of requests whose clients had left were not counted while targets worked on them.
TEST_F(memory_budget_of_bodies, a_body_counts_until_its_last_owner_frees_it)
{
    auto kept = body(mb, holding::request);
    auto sent = kept;
    kept.reset();
    EXPECT_GE(budget->held(), mb);
    sent.reset();
    EXPECT_EQ(budget->held(), 0U);
}

TEST_F(memory_budget_of_bodies, an_empty_body_is_not_counted)
{
    auto const empty = body(0, holding::committed);
    ASSERT_TRUE(empty);
    EXPECT_EQ(budget->held(), 0U);
}

TEST_F(memory_budget_of_bodies, what_was_given_back_is_not_given_back_again)
{
    auto large = body(5 * mb, holding::request);
    auto const other = body(4 * mb, holding::committed);
    EXPECT_EQ(given_back, 1);
    std::uint64_t const held = budget->held();
    large.reset();
    EXPECT_EQ(budget->held(), held);
}

TEST_F(memory_budget_of_bodies, a_committed_body_is_never_asked_for)
{
    auto const first = body(6 * mb, holding::committed);
    auto const second = body(6 * mb, holding::committed);
    EXPECT_EQ(given_back, 0);
    auto const arriving = budget->join([this] { ++given_back; });
    budget->hold(arriving, 1, holding::incomplete_request);
    EXPECT_EQ(given_back, 1);
}

TEST_F(memory_budget_of_bodies, committed_bodies_leave_room_for_others)
{
    EXPECT_TRUE(budget->may_commit(limit)); // a single one may take all
    auto const first = body(4 * mb, holding::committed);
    EXPECT_TRUE(budget->may_commit(mb));
    EXPECT_FALSE(budget->may_commit(3 * mb));
    auto const second = body(3 * mb, holding::committed);
    EXPECT_TRUE(budget->may_commit(1000)); // ordinary requests are that small
}

} // namespace
} // namespace cove
