/** @file A connection to another host that acknowledges and loses all messages. */

#include "support/cut_link.h"
#include "support/host_case.h"

namespace cove {
namespace {

/** A host with one zone peer, which the test plays; the host reaches it over a link. */
class mute_peer : public testing::Test {
protected:
    mute_peer()
        : timers(loop), inbox(loop, inbox_port, [this](std::string const&) { ++received; }),
          link(loop, endpoint_of(loopback(inbox_port))),
          peer_port(endpoint_of(link.address()).port()),
          outbox(loop, peer_port, [](std::string const&) {})
    {
        EXPECT_TRUE(inbox.start("127.0.0.1"));
        auto settings = host_settings_table().parse(settings_text(), "test");
        EXPECT_TRUE(settings);
        settings->ip = host_ip;
        settings->peer_port = peer_port;
        host = std::make_unique<entry_host>(
            loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
            [](store_hooks const&) { return silent_store(); });
        EXPECT_TRUE(host->start());
        timers.every(host_view::tick_interval, [this] { report(false); });
    }

    /** Sends a report of the peer. @param answer_wanted whether it is a question as well. */
    void report(bool answer_wanted)
    {
        host_report own;
        own.name = node_id("h0");
        own.zone = zone_id("east");
        own.ip = "127.0.0.1";
        own.incarnation = host_incarnation(1);
        own.sequence = ++reports;
        outbox.send(host_ip,
                    encode_host_message(gossip{own.name, own.ip, {own}, {}, answer_wanted}));
    }

    /** @return whether a message of the host arrives within @p time. */
    bool is_heard_within(milliseconds time)
    {
        int const known = received;
        return run_until(
            loop, [&] { return received > known; }, time);
    }

    static constexpr char const* host_ip = "127.0.0.2";

    boost::asio::io_context loop;
    loop_timers timers;
    int received = 0;
    std::uint64_t reports = 0;
    int const inbox_port = free_port();
    loop_transport inbox;
    cut_link link;
    int peer_port;
    loop_transport outbox;
    std::unique_ptr<entry_host> host;
};

TEST_F(mute_peer, is_answered_over_a_new_connection_when_it_asks)
{
    ASSERT_TRUE(is_heard_within(milliseconds{5000}));
    link.cut(link_cut::mute);
    is_heard_within(milliseconds{250}); // what was under way
    ASSERT_FALSE(is_heard_within(milliseconds{2000}));
    report(true);
    EXPECT_TRUE(is_heard_within(milliseconds{1000}));
}

} // namespace
} // namespace cove
