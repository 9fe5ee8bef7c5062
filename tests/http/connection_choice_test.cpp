#include "http/connection_choice.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr mono_time now{seconds{100}};

waiting_connection came(milliseconds ago, std::size_t bytes)
{
    return {now - ago, bytes};
}

TEST(connection_choice, the_one_that_brought_least_in_its_time_goes_first)
{
    EXPECT_EQ(choose_to_close({came(seconds{2}, 4000), came(seconds{10}, 5000)}, now), 1U);
}

TEST(connection_choice, the_longest_idle_one_goes_before_any_that_sends)
{
    EXPECT_EQ(choose_to_close({came(seconds{9}, 1), came(seconds{3}, 0), came(seconds{4}, 0)}, now),
              2U);
}

// A crowd that came again and again displaced ordinary clients that had just connected.
TEST(connection_choice, a_newcomer_is_spared_while_there_are_others)
{
    EXPECT_EQ(choose_to_close({came(milliseconds{5}, 0), came(seconds{3}, 1'000'000)}, now), 1U);
    EXPECT_EQ(choose_to_close({came(milliseconds{5}, 0), came(milliseconds{9}, 0)}, now), 1U);
    EXPECT_EQ(choose_to_close({came(milliseconds{5}, 10)}, now), std::nullopt);
    EXPECT_EQ(choose_to_close({}, now), std::nullopt);
}

} // namespace
} // namespace cove
