#include "host/listener_limits.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(listener_limits, a_crowd_at_one_address_leaves_descriptors_to_the_others)
{
    for (std::uint64_t const all : {400U, 1024U, 4100U}) {
        connection_bounds const bounds = divide_descriptors(all);
        for (std::size_t const each :
             {bounds.clients, bounds.relays, bounds.lookups, bounds.operators}) {
            EXPECT_GT(each, 0U);
            EXPECT_LE(each, all / 4 * 3);
        }
        EXPECT_LT(bounds.clients + bounds.lookups + 2 * bounds.operators, all);
    }
}

TEST(listener_limits, an_address_keeps_some_connections_however_few_descriptors_there_are)
{
    connection_bounds const bounds = divide_descriptors(1);
    EXPECT_EQ(bounds.clients, 1U);
    EXPECT_GT(bounds.operators, 1U);
}

} // namespace
} // namespace cove
