#include "crowd/crowd_check.h"
#include "platform/wire_names.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

constexpr std::size_t long_body = 16 << 20;

crowd_plan bodies(std::size_t clients)
{
    return {.clients = clients,
            .head = post_head(declared(2 * long_body)),
            .repeated = "b",
            .bytes = long_body};
}

crowd_plan headers()
{
    return {.clients = 24,
            .head = "GET / HTTP/1.1\r\n",
            .repeated = "X-Field: " + std::string(1000, 'f') + "\r\n",
            .bytes = 4 << 20};
}

/** Expects that a host withstands @p plan at @p where and answers GET @p path there afterwards. */
void expect_answers(listener where, std::string const& path, crowd_plan const& plan)
{
    crowd_limits const limits;
    crowd_host host(limits);
    ASSERT_TRUE(host.start());
    crowd_usage const seen = run_crowds(host, {{where, plan}});
    expect_sound(host, limits, seen);
    EXPECT_EQ(host.get(where, path), 200);
}

std::string lookup_path()
{
    return std::string(wire::resolve_path) + "?name=" + crowd_host::host_name + "&zone=zone-1";
}

// The address for look-ups had no limit on bodies and connections.
TEST(listener_crowd, look_up_bodies)
{
    expect_answers(listener::directory, lookup_path(), bodies(12));
}

TEST(listener_crowd, look_up_headers)
{
    expect_answers(listener::directory, lookup_path(), headers());
}

TEST(listener_crowd, look_up_connections)
{
    expect_answers(listener::directory, lookup_path(), {.clients = 500});
}

TEST(listener_crowd, readiness_bodies)
{
    expect_answers(listener::readiness, wire::ready_path, bodies(12));
}

TEST(listener_crowd, readiness_headers)
{
    expect_answers(listener::readiness, wire::ready_path, headers());
}

TEST(listener_crowd, readiness_connections)
{
    expect_answers(listener::readiness, wire::ready_path, {.clients = 500});
}

TEST(listener_crowd, metrics_bodies)
{
    expect_answers(listener::metrics, "/metrics", bodies(12));
}

TEST(listener_crowd, metrics_headers)
{
    expect_answers(listener::metrics, "/metrics", headers());
}

TEST(listener_crowd, metrics_connections)
{
    expect_answers(listener::metrics, "/metrics", {.clients = 500});
}

TEST(listener_crowd, relayed_bodies)
{
    expect_withstands_all({{listener::relays,
                            {.clients = 150,
                             .head = post_head(declared(body_limit)),
                             .repeated = "b",
                             .bytes = body_limit - 1}}});
}

TEST(listener_crowd, relayed_headers)
{
    expect_withstands_all({{listener::relays, headers()}});
}

TEST(listener_crowd, relay_connections)
{
    expect_withstands_all({{listener::relays, {.clients = 500}}});
}

// Two addresses shared no limit.
TEST(listener_crowd, bodies_at_two_addresses)
{
    expect_withstands_all({{listener::clients,
                            {.clients = 150,
                             .head = post_head(declared(body_limit)),
                             .repeated = "b",
                             .bytes = body_limit - 1}},
                           {listener::directory, bodies(8)}});
}

TEST(listener_crowd, connections_at_two_addresses)
{
    expect_withstands_all(
        {{listener::clients, {.clients = 400}}, {listener::directory, {.clients = 400}}});
}

} // namespace
} // namespace cove
