#include "crowd/crowd_check.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::size_t order_bytes = 16 << 20;
constexpr int waves = 7; ///< the target has a slot more

crowd_plan wave()
{
    return {.clients = 1,
            .head = post_head(declared(order_bytes), crowd_host::slow_order_path),
            .repeated = "b",
            .bytes = order_bytes,
            .hold = milliseconds{300}};
}

// The bodies of requests that run on without their clients counted towards no limit.
TEST(departed_crowd, orders_of_clients_that_leave)
{
    crowd_limits const limits{.body_bytes = order_bytes};
    crowd_host host(limits);
    ASSERT_TRUE(host.start());
    crowd_usage seen;
    for (int i = 0; i < waves; ++i) {
        auto const part = run_crowds(host, {{listener::clients, wave()}});
        seen.descriptors = std::max(seen.descriptors, part.descriptors);
    }
    expect_sound(host, limits, seen);
}

// The same for idempotent requests, which end with their clients.
TEST(departed_crowd, idempotent_requests_of_clients_that_leave)
{
    crowd_limits const limits{.body_bytes = order_bytes};
    crowd_host host(limits);
    ASSERT_TRUE(host.start());
    crowd_plan plan = wave();
    plan.head = post_head(declared(order_bytes));
    crowd_usage seen;
    for (int i = 0; i < waves; ++i) {
        auto const part = run_crowds(host, {{listener::clients, plan}});
        seen.descriptors = std::max(seen.descriptors, part.descriptors);
    }
    expect_sound(host, limits, seen);
}

} // namespace
} // namespace cove
