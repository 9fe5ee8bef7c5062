/** @file Guards against answers that make clients wait beyond their time, and against limits that
 * concern other requests. */

#include "host/workspace_quotas.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

mono_time const start{seconds{10}};

class workspace_quotas_test : public testing::Test {
protected:
    workspace_quotas_test() : quotas(host_settings(), log, 1, start)
    {
        routing_config config;
        workspace_config limited;
        limited.name = workspace_id("limited");
        limited.limit = {1, 1};
        workspace_config free;
        free.name = workspace_id("free");
        config.workspaces = {limited, free};
        quotas.set_config(config, start);
    }

    log_limiter log;
    workspace_quotas quotas;
};

TEST_F(workspace_quotas_test, over_quota_gets_a_wait_within_a_third_of_the_time_left)
{
    for (int i = 0; i < 100; ++i) {
        auto const ticket = quotas.take(workspace_id("limited"), milliseconds{900}, start);
        EXPECT_FALSE(ticket.admitted);
        EXPECT_GT(ticket.retry_after, milliseconds{0});
        EXPECT_LE(ticket.retry_after, milliseconds{300});
    }
    EXPECT_NE(quotas.prometheus().find("cove_over_quota{workspace=\"limited\"} 100"),
              std::string::npos);
}

TEST_F(workspace_quotas_test, requests_without_limit_are_admitted)
{
    EXPECT_TRUE(quotas.take(workspace_id("free"), milliseconds{900}, start).admitted);
    EXPECT_TRUE(quotas.take(workspace_id(), milliseconds{900}, start).admitted);
}

} // namespace
} // namespace cove
