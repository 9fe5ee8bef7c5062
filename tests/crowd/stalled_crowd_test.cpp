#include "crowd/crowd_check.h"

#include <atomic>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace cove {
namespace {

constexpr milliseconds settle_time{2000}; ///< after which all of a crowd has connected and sent
constexpr milliseconds crowd_time{25'000};

/** A crowd that stays until the end of the scope. */
class lasting_crowd {
public:
    lasting_crowd(crowd_host const& host, crowd_plan plan)
        : thread_([this, &host, plan = std::move(plan)]() mutable {
              plan.time = crowd_time;
              plan.hold = crowd_time;
              plan.until = [this] { return over_.load(); };
              run_crowd(host.port(listener::clients), plan, [this, &host] {
                  seen_.descriptors = std::max(seen_.descriptors, host.usage().descriptors);
              });
          })
    {
        std::this_thread::sleep_for(settle_time);
    }
    ~lasting_crowd() { end(); }
    lasting_crowd(lasting_crowd const&) = delete;
    lasting_crowd& operator=(lasting_crowd const&) = delete;
    lasting_crowd(lasting_crowd&&) = delete;
    lasting_crowd& operator=(lasting_crowd&&) = delete;

    /** Ends the crowd. @return the usage while it was there. */
    crowd_usage end()
    {
        over_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
        return seen_;
    }

private:
    std::atomic<bool> over_ = false;
    crowd_usage seen_;
    std::thread thread_;
};

crowd_plan one_byte_short(std::size_t clients, std::size_t bytes)
{
    return {.clients = clients,
            .head = post_head(declared(bytes)),
            .repeated = "b",
            .bytes = bytes - 1};
}

/** Expects that an ordinary request is answered while the crowd is there. */
void expect_served_beside(crowd_plan const& plan)
{
    crowd_limits const limits;
    crowd_host host(limits);
    ASSERT_TRUE(host.start());
    crowd_usage seen;
    {
        lasting_crowd crowd(host, plan);
        EXPECT_EQ(host.post("ordinary", false), 200);
        seen = crowd.end();
    }
    expect_sound(host, limits, seen);
}

TEST(stalled_crowd, ordinary_request_beside_large_bodies)
{
    expect_served_beside(one_byte_short(150, body_limit));
}

// Requests that stopped short of their end kept their places, so that no other client got one.
TEST(stalled_crowd, ordinary_request_beside_small_bodies_at_the_bound_on_connections)
{
    expect_served_beside(one_byte_short(400, 1000));
}

TEST(stalled_crowd, ordinary_request_beside_bodies_piece_by_piece_at_the_bound_on_connections)
{
    expect_served_beside({.clients = 400,
                          .head = post_head(declared(body_limit)),
                          .repeated = "b",
                          .bytes = body_limit,
                          .piece = 1,
                          .pause = milliseconds{500}});
}

// Bodies of the largest size that the memory allows on all connections together.
TEST(stalled_crowd, ordinary_request_beside_bodies_spread_over_all_connections)
{
    expect_served_beside(one_byte_short(400, 256 << 10));
}

/** Expects that the host ends by itself after SIGTERM while the crowd is there. */
void expect_stops_beside(crowd_plan const& plan)
{
    crowd_host host({});
    ASSERT_TRUE(host.start());
    lasting_crowd const crowd(host, plan);
    EXPECT_EQ(host.stop(), 0);
}

TEST(stalled_crowd, stop_beside_bodies_one_byte_short)
{
    expect_stops_beside(one_byte_short(150, body_limit));
}

TEST(stalled_crowd, stop_beside_clients_that_do_not_read)
{
    std::string const get =
        std::string("GET /a/large HTTP/1.1\r\nHost: ") + crowd_host::host_name + "\r\n\r\n";
    expect_stops_beside({.clients = 100, .head = get, .reads = false});
}

} // namespace
} // namespace cove
