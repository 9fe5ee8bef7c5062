#include "operation/operation_id.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

RC_GTEST_PROP(operation_id, text_round_trip,
              (std::uint64_t home, std::uint64_t period, std::uint64_t nonce))
{
    cove::operation_id const id{cove::incarnation_id{home}, cove::period_id{period}, nonce};
    auto const parsed = cove::parse_operation_id(to_string(id));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == id);
}

TEST(operation_id, malformed_text_is_rejected)
{
    for (char const* bad : {"", "1", "1.2", "1.2.", "1.2.3.4", "x.2.3", "1.a.3", "1.2.3 "}) {
        EXPECT_FALSE(cove::parse_operation_id(bad)) << bad;
    }
}

} // namespace
